package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// FirstTokenTarget is the longest wait for the first token that does not count as a
	// stall.
	FirstTokenTarget = 1800 * time.Millisecond
	// GapThreshold is the longest gap between tokens that does not count as a stall: a
	// reader does not notice it, and a preempted response's gap is many times as long.
	GapThreshold = 200 * time.Millisecond

	// SteadyGap is the longest gap in a response that counts as on time: the users'
	// requirements allow that much time between two events.
	SteadyGap = 180 * time.Millisecond

	// minGapMicros and maxGapMicros are the range of the histograms of gaps and waits in
	// microseconds, gapDigits the number of significant digits.
	minGapMicros = 1
	maxGapMicros = int64(time.Hour / time.Microsecond)
	gapDigits    = 3
)

// Result holds the measured results of one run.
type Result struct {
	Policy string
	// Stall sums, over all requests, the wait for the first token beyond
	// FirstTokenTarget and the part of each later gap beyond GapThreshold.
	Stall time.Duration
	// GapStall is the part of Stall that is caused by gaps after the first token.
	GapStall time.Duration
	// Preemptions is the number of preemptions on all engines.
	Preemptions int64
	// P95, P99 and P999 are percentiles of all gaps between tokens. LongestP99 is the 99th
	// percentile of the longest gap in each response.
	P95, P99, P999 time.Duration
	LongestP99     time.Duration
	// FirstP95 is the 95th percentile of the waits for the first token.
	FirstP95 time.Duration
	// Done is the number of complete responses, Partial that of requests that were lost by a
	// fault, and Refused that of refusals (a caller that comes back may be refused again).
	Done, Partial, Refused int
	// InTime is the number of complete responses whose first token and gaps were all on time,
	// Moved that of moves of generations to another engine.
	InTime, Moved int
	// Late is the number of refusals that came more than four hops after the request was sent.
	Late int
	// Returned is the number of callers that came back after a refusal, Served the number of
	// these callers that got a complete response.
	Returned, Served int
	// Unanswered is the number of requests that had no outcome when the run ended.
	Unanswered int
	// Goodput is the number of requests per second whose first token met FirstTokenTarget.
	Goodput float64
	// Backlog is how many open requests had no first token at Workload.Length, when arrivals
	// end.
	Backlog int
	// Drained is the time from the end of the arrivals until the last first token.
	Drained time.Duration
	// ByOrg is the stall of each organisation.
	ByOrg map[string]time.Duration
	// Kinds holds results by organisation.
	Kinds map[string]*Kind
	// ToLeaving is the number of attempts that were granted on an engine after the policy was notified
	// that it leaves.
	ToLeaving int
	// Worth is the value of the requests for their callers and the part of it that was lost.
	Worth Worth
	// FirstP50 and FirstP99 are percentiles of the waits for the first token.
	FirstP50, FirstP90, FirstP99 time.Duration
	// TokenTime is the mean interval between the tokens of responses with at least
	// longResponseTokens tokens.
	TokenTime time.Duration
	// NoRun is the number of move orders for generations that were still in prefill or no
	// longer ran on the source engine.
	NoRun int
	// Callers holds what each caller experienced, if Workload.Callers is set.
	Callers []CallerRecord
}

// Kind holds the results of the requests of one organisation.
type Kind struct {
	// Done, Refused and Lost are the numbers of complete responses, of refusals, and of responses
	// that were broken off by an engine that left or crashed. InTime is the number of complete
	// responses whose first token met the request's own target, counted from when the request was
	// last sent.
	Done, Refused, Lost, InTime int
	// LongestHold is the longest time that a request waited for a decision.
	LongestHold time.Duration
}

// kind returns the results of a request's organisation.
func (m *measure) kind(q *Request) *Kind {
	k := m.result.Kinds[q.Org]
	if k == nil {
		k = &Kind{}
		m.result.Kinds[q.Org] = k
	}
	return k
}

// longResponseTokens is the minimum number of tokens of a response that counts in TokenTime.
const longResponseTokens = 100

// measure collects the measured results of a run.
type measure struct {
	result      Result
	gaps        *hdrhistogram.Histogram
	firsts      *hdrhistogram.Histogram
	longestGaps []time.Duration
	// firstOnTime is the number of first tokens that met FirstTokenTarget.
	firstOnTime int
	// lastFirstToken is when the latest first token was produced.
	lastFirstToken time.Duration
	// decodeTime is the sum of the times between the first and last tokens of long responses;
	// decodedTokens is the number of tokens of these responses after the first.
	decodeTime    time.Duration
	decodedTokens int
}

func newMeasure(policy string) *measure {
	return &measure{
		result: Result{Policy: policy, ByOrg: map[string]time.Duration{}, Kinds: map[string]*Kind{}, Worth: Worth{Lost: map[Fate]float64{}}},
		gaps:   hdrhistogram.New(minGapMicros, maxGapMicros, gapDigits),
		firsts: hdrhistogram.New(minGapMicros, maxGapMicros, gapDigits),
	}
}

// recordStepGaps records n gaps that are as long as one step.
func (m *measure) recordStepGaps(step time.Duration, n int64) {
	if n > 0 {
		_ = m.gaps.RecordValues(step.Microseconds(), n)
	}
}

// recordToken records a token that is the first of its response, or whose gap is not exactly
// one step.
func (m *measure) recordToken(g *generation, end time.Duration) {
	if g.lastTokenAt == 0 {
		m.recordFirstToken(g, end)
		return
	}
	gap := end - g.lastTokenAt
	g.longestGap = max(g.longestGap, gap)
	_ = m.gaps.RecordValue(gap.Microseconds())
	m.addStall(g.req, gap-GapThreshold)
	m.result.GapStall += max(gap-GapThreshold, 0)
}

func (m *measure) recordFirstToken(g *generation, end time.Duration) {
	wait := end - g.req.lastSent
	g.firstTokenWait, g.firstTokenAt = wait, end
	g.req.record.First, g.req.record.FirstOfAttempt = end-g.req.At, wait
	_ = m.firsts.RecordValue(wait.Microseconds())
	m.addStall(g.req, wait-FirstTokenTarget)
	m.lastFirstToken = max(m.lastFirstToken, end)
	if wait <= FirstTokenTarget {
		m.firstOnTime++
	}
}

// addStall adds the time beyond a threshold, if positive, to the stall of a request's
// organisation.
func (m *measure) addStall(r *Request, over time.Duration) {
	if over <= 0 {
		return
	}
	m.result.Stall += over
	m.result.ByOrg[r.Org] += over
}

// done records a complete generation.
func (m *measure) done(now time.Duration, g *generation) {
	m.result.Done++
	k := m.kind(g.req)
	k.Done++
	if g.firstTokenWait <= g.req.FirstTarget {
		k.InTime++
	}
	m.result.Worth.add(now, g.req, g.fate())
	if g.tokens >= longResponseTokens {
		m.decodeTime += g.lastTokenAt - g.firstTokenAt
		m.decodedTokens += g.tokens - 1
	}
	m.longestGaps = append(m.longestGaps, g.longestGap)
	if g.firstTokenWait <= FirstTokenTarget && g.longestGap <= SteadyGap {
		m.result.InTime++
	}
	if g.req.returnCount > 0 {
		m.result.Served++
	}
}

// finish returns the measured results of a run in which requests arrived for the given time.
func (m *measure) finish(length time.Duration) Result {
	r := m.result
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	r.P95, r.P99, r.P999 = at(m.gaps, 95), at(m.gaps, 99), at(m.gaps, 99.9)
	r.FirstP50, r.FirstP90, r.FirstP95, r.FirstP99 = at(m.firsts, 50), at(m.firsts, 90), at(m.firsts, 95), at(m.firsts, 99)
	r.TokenTime = m.decodeTime / time.Duration(max(m.decodedTokens, 1))
	slices.Sort(m.longestGaps)
	if n := len(m.longestGaps); n > 0 {
		r.LongestP99 = m.longestGaps[min(n-1, n*99/100)]
	}
	r.Goodput = float64(m.firstOnTime) / max(length, m.lastFirstToken).Seconds()
	r.Drained = max(m.lastFirstToken-length, 0)
	return r
}

// Line formats a result as one line of key=value pairs. weights and load describe the run.
func (r Result) Line(weights string, load float64) string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("policy=%s weights=%s stall_s=%.0f preemptions=%d itl_p95_ms=%.1f itl_p99_ms=%.1f "+
		"itl_p999_ms=%.1f longest_gap_p99_ms=%.0f done=%d refused=%d goodput=%.2f load=%.2f gap_stall_s=%.0f first_p95_ms=%.0f "+
		"drained_s=%.1f late=%d returned=%d served=%d partial=%d unanswered=%d",
		r.Policy, weights, r.Stall.Seconds(), r.Preemptions, ms(r.P95), ms(r.P99),
		ms(r.P999), ms(r.LongestP99), r.Done, r.Refused, r.Goodput, load, r.GapStall.Seconds(), ms(r.FirstP95),
		r.Drained.Seconds(), r.Late, r.Returned, r.Served, r.Partial, r.Unanswered)
}
