package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// FirstTokenTarget is the wait for the first token that is no stall.
	FirstTokenTarget = 1800 * time.Millisecond
	// GapThreshold is the gap between tokens that is no stall: a reader does
	// not notice it, and a preempted answer's gap is many times as long.
	GapThreshold = 200 * time.Millisecond

	// SteadyGap is the longest gap of an answer that is on time: what the
	// users' sheets allow between two events.
	SteadyGap = 180 * time.Millisecond

	// gapLowest, gapHighest and gapDigits shape the histogram of gaps, in
	// microseconds.
	gapLowest  = 1
	gapHighest = int64(time.Hour / time.Microsecond)
	gapDigits  = 3
)

// Result holds the figures of one run.
type Result struct {
	Policy string
	// Stall sums, over all requests, the wait for the first token beyond
	// FirstTokenTarget and the part of each later gap beyond GapThreshold.
	Stall time.Duration
	// GapStall is the part of Stall that later gaps make up.
	GapStall    time.Duration
	Preemptions int64
	// P95, P99 and P999 are over all gaps between tokens; LongestP99 is over
	// each answer's longest gap.
	P95, P99, P999 time.Duration
	LongestP99     time.Duration
	// FirstP95 is over the waits for the first token.
	FirstP95 time.Duration
	// Done counts whole answers, Partial those cut by a reclaimed engine,
	// Refused refusals (a caller that comes back may be refused again).
	Done, Partial, Refused int
	// InTime counts whole answers whose first token and whose every gap were
	// on time, Moved the moves of generations to another engine.
	InTime, Moved int
	// Late counts refusals that did not come at once.
	Late int
	// Returned counts callers that came back when told, Served those of them
	// that got a whole answer.
	Returned, Served int
	// Unanswered counts requests that had no outcome when the run ended.
	Unanswered int
	// Goodput is whole answers a second whose first token met its target.
	Goodput float64
	// Backlog is how many requests had no first token when the last arrived.
	Backlog int
	// Drained is how long after the last arrival the last request got its
	// first token.
	Drained time.Duration
	// ByOrg sums the stall of each organisation.
	ByOrg map[string]time.Duration
	// Worth is what callers were owed and lost.
	Worth Worth
	// FirstP50 and FirstP99 are over the waits for the first token.
	FirstP50, FirstP99 time.Duration
	// TokenTime is the mean time between the tokens of long answers.
	TokenTime time.Duration
	// NoRun counts orders to move a generation that could not be moved yet, or
	// no longer.
	NoRun int
}

// longAnswer is the number of tokens from which on an answer's pace counts in
// TokenTime.
const longAnswer = 100

// measure collects a run's figures.
type measure struct {
	result  Result
	gaps    *hdrhistogram.Histogram
	firsts  *hdrhistogram.Histogram
	longest []time.Duration
	good    int
	// lastFirst is when the latest first token came out.
	lastFirst time.Duration
	// decoding is the time between the first and last tokens of long answers,
	// decoded how many tokens followed the first.
	decoding time.Duration
	decoded  int
}

func newMeasure(policy string) *measure {
	return &measure{
		result: Result{Policy: policy, ByOrg: map[string]time.Duration{}, Worth: Worth{Lost: map[Fate]float64{}}},
		gaps:   hdrhistogram.New(gapLowest, gapHighest, gapDigits),
		firsts: hdrhistogram.New(gapLowest, gapHighest, gapDigits),
	}
}

// regular records n gaps of one step's length.
func (m *measure) regular(step time.Duration, n int64) {
	if n > 0 {
		_ = m.gaps.RecordValues(step.Microseconds(), n)
	}
}

// token records a token that did not follow its predecessor by one step.
func (m *measure) token(g *generation, end time.Duration) {
	if g.last == 0 {
		m.first(g, end)
		return
	}
	gap := end - g.last
	g.longest = max(g.longest, gap)
	_ = m.gaps.RecordValue(gap.Microseconds())
	m.stall(g.req, gap-GapThreshold)
	m.result.GapStall += max(gap-GapThreshold, 0)
}

func (m *measure) first(g *generation, end time.Duration) {
	wait := end - g.req.asked
	g.first, g.firstAt = wait, end
	_ = m.firsts.RecordValue(wait.Microseconds())
	m.stall(g.req, wait-FirstTokenTarget)
	m.lastFirst = max(m.lastFirst, end)
	if wait <= FirstTokenTarget {
		m.good++
	}
}

func (m *measure) stall(r *Request, over time.Duration) {
	if over <= 0 {
		return
	}
	m.result.Stall += over
	m.result.ByOrg[r.Org] += over
}

func (m *measure) done(now time.Duration, g *generation) {
	m.result.Done++
	m.result.Worth.end(now, g.req, g.fate())
	if g.tokens >= longAnswer {
		m.decoding += g.last - g.firstAt
		m.decoded += g.tokens - 1
	}
	m.longest = append(m.longest, g.longest)
	if g.first <= FirstTokenTarget && g.longest <= SteadyGap {
		m.result.InTime++
	}
	if g.req.returns > 0 {
		m.result.Served++
	}
}

// finish works the figures out at the end of a run in which requests arrived
// for the given time.
func (m *measure) finish(length time.Duration) Result {
	r := m.result
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	r.P95, r.P99, r.P999 = at(m.gaps, 95), at(m.gaps, 99), at(m.gaps, 99.9)
	r.FirstP50, r.FirstP95, r.FirstP99 = at(m.firsts, 50), at(m.firsts, 95), at(m.firsts, 99)
	r.TokenTime = m.decoding / time.Duration(max(m.decoded, 1))
	slices.Sort(m.longest)
	if n := len(m.longest); n > 0 {
		r.LongestP99 = m.longest[min(n-1, n*99/100)]
	}
	r.Goodput = float64(m.good) / max(length, m.lastFirst).Seconds()
	r.Drained = max(m.lastFirst-length, 0)
	return r
}

// Line formats a result as one line of key=value pairs.
func (r Result) Line(weights string, load float64) string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("policy=%s weights=%s stall_s=%.0f preemptions=%d itl_p95_ms=%.1f itl_p99_ms=%.1f "+
		"itl_p999_ms=%.1f longest_gap_p99_ms=%.0f done=%d refused=%d goodput=%.2f load=%.2f gap_stall_s=%.0f first_p95_ms=%.0f "+
		"drained_s=%.1f late=%d returned=%d served=%d partial=%d unanswered=%d",
		r.Policy, weights, r.Stall.Seconds(), r.Preemptions, ms(r.P95), ms(r.P99),
		ms(r.P999), ms(r.LongestP99), r.Done, r.Refused, r.Goodput, load, r.GapStall.Seconds(), ms(r.FirstP95),
		r.Drained.Seconds(), r.Late, r.Returned, r.Served, r.Partial, r.Unanswered)
}
