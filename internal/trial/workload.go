package trial

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/prefixcache"

	"github.com/cespare/xxhash/v2"
)

// Request is one caller's request. Output is known only to the engine and the oracle.
type Request struct {
	Number int
	ID     string
	Org    string
	// Account is the organisation that the system sees. It differs from Org if
	// Workload.Accounts is set: each account then sends requests of all kinds.
	Account string
	// Entry is the index of the entry that the caller is connected to.
	Entry int
	// At is when the caller first sent the request, from the start of the run.
	At time.Duration
	// Prompt and Output are the lengths of the prompt and of the response, in tokens; MaxOutput
	// is the limit on Output.
	Prompt    int
	Output    int
	MaxOutput int
	// Expected is the caller's own estimate of Output, 0 if it gives none.
	Expected int
	// Prefix lists the hashes of the prompt's blocks that other requests share.
	Prefix []uint64
	// Fingerprint identifies the body; it is the same when the caller sends the request again.
	Fingerprint uint64
	// Worth is the value for the caller of a complete response that is on time. LateShare is
	// the fraction of that value that a late response keeps. FirstTarget is the longest time
	// from At to the first token of a response that is on time.
	Worth       float64
	LateShare   float64
	FirstTarget time.Duration
	// Repeatable is set if the request is sent again, once, when its attempt is lost.
	Repeatable bool

	// lastSent is when the caller last sent the request, returnCount how often the caller came
	// back after a refusal, and attempts how many attempts were made.
	lastSent time.Duration
	// askedAt is when a decision was last requested from a home.
	askedAt     time.Duration
	returnCount int
	attempts    int

	// rank is the urgency; 0 is the most urgent. timeout is the time limit from At; 0 means none.
	rank    int
	timeout time.Duration
	// record is what the caller experiences. It is recorded if Workload.Callers is set.
	record CallerRecord
}

// Org describes the requests of one organisation. Lengths, in tokens, are log-normally
// distributed.
type Org struct {
	Name string
	// Share is this organisation's share of the requests, relative to the other shares.
	Share        float64
	PromptMedian float64
	PromptSigma  float64
	// Median and Sigma describe the output lengths.
	Median float64
	Sigma  float64
	// Shared is the number of prompt tokens that all its requests have in common.
	Shared int
	// MaxPrompt and MaxOutput limit its prompts and responses in tokens; the defaults are
	// defaultMaxPrompt and Workload.MaxOutput.
	MaxPrompt int
	MaxOutput int
	// Worth is the value of a response of mean size; the value of others is proportional to
	// their size. Values below 1 count as 1.
	Worth float64
	// LateShare is the fraction of its value that a late response keeps. FirstTarget is the
	// longest wait for the first token of a response that is on time; the default is
	// FirstTokenTarget.
	LateShare   float64
	FirstTarget time.Duration
	// Repeatable is set if its requests are sent again, once, when their attempt is lost.
	Repeatable bool
	// Rank is the urgency of its requests; 0 is the most urgent. Timeout is their time limit from
	// the first send; 0 means none.
	Rank    int
	Timeout time.Duration
}

// outputTokenValue is the value of an output token in prompt tokens: decoding one takes an
// engine about ten times as long as computing a prompt token.
const outputTokenValue = 10

// valueOf returns the value of a response with the given numbers of tokens.
func (o Org) valueOf(prompt, output int) float64 {
	mean := logNormalMean(o.PromptMedian, o.PromptSigma) + outputTokenValue*logNormalMean(o.Median, o.Sigma)
	return max(o.Worth, 1) * float64(prompt+outputTokenValue*output) / mean
}

// logNormalMean returns the mean of a log-normal distribution.
func logNormalMean(median, sigma float64) float64 { return median * math.Exp(sigma*sigma/2) }

// Workload describes a run: its engines, its callers and its faults.
type Workload struct {
	Name    string
	Engines []EngineSpec
	// Entries is the number of instances that callers are connected to.
	Entries int
	Orgs    []Org
	// Accounts is the number of organisations that send the requests of all Orgs; the first
	// ones send more. If it is 0, each of Orgs is an organisation.
	Accounts int
	// Rate is the arrival rate in requests per second; Length is how long requests arrive.
	Rate   float64
	Length time.Duration
	// MaxOutput limits each response, in tokens.
	MaxOutput int
	// BurstFactor multiplies the rate during the first burstOn of each burstEvery. In the
	// remaining time the rate is lower, so that the mean rate stays the same. 0 or 1 means no
	// bursts.
	BurstFactor float64
	// ShiftAt is the time from which on the median output lengths are multiplied by
	// ShiftFactor; 0 means never.
	ShiftAt     time.Duration
	ShiftFactor float64
	// ReclaimAt is when the first engine gets notice, 0 for never; the engine ends
	// reclaimNotice later.
	ReclaimAt time.Duration
	// MaxWait is the longest time that a request may queue before its first token.
	MaxWait time.Duration
	// Leaving makes engines leave and join, Links carries copies of their generations.
	Leaving Leaving
	Links   Links
	// Failing, Crashes and Slowing are other faults of engines.
	Failing Failing
	Crashes Crashes
	// Cordoning cordons a data centre.
	Cordoning Cordoning
	Slowing   Slowing
	// Spells makes engines slow for short times, which they state.
	Spells Spells
	// Shutdown and EntryLoss are faults of the instances.
	Shutdown  Shutdown
	EntryLoss EntryLoss
	HomeLoss  HomeLoss
	// HintSigma is the sigma of the log-normal error of the callers' estimates of their
	// outputs; 0 means that they give none.
	HintSigma float64
	// Return makes refused callers come back after the retry delay.
	Return bool
	// Callers describes callers with a time limit; they replace those of Return.
	Callers Callers
	// Surge is a period of a higher rate.
	Surge Surge
	// ReportLag is the age of the load in an engine's report.
	ReportLag time.Duration
}

const (
	burstEvery    = 40 * time.Second
	burstOn       = 10 * time.Second
	reclaimNotice = 5 * time.Second
	// unlimitedWait is a MaxWait that is longer than any run.
	unlimitedWait = time.Hour
	// defaultMaxPrompt limits prompts, in tokens, where Org.MaxPrompt is 0.
	defaultMaxPrompt = 4_000
)

// standardEngine is the engine for which docs/PLACEMENT.md gives figures.
var standardEngine = EngineSpec{
	Capacity: 16_000, MaxBatch: 64, Chunk: 512,
	Base: 12 * time.Millisecond, PerDecode: 400 * time.Microsecond, PerPrompt: 30 * time.Microsecond,
}

// standardEngines returns n standard engines.
func standardEngines(n int) []EngineSpec {
	out := make([]EngineSpec, n)
	for i := range out {
		out[i] = standardEngine
	}
	return out
}

// tenOrgs returns organisations whose responses differ in length, from short classifications to
// long texts.
func tenOrgs() []Org {
	medians := []float64{30, 50, 80, 120, 160, 200, 260, 350, 500, 700}
	out := make([]Org, len(medians))
	for i, m := range medians {
		out[i] = Org{
			Name: fmt.Sprintf("org-%d", i), Share: 1, PromptMedian: 200, PromptSigma: 0.8,
			Median: m, Sigma: 1.1,
		}
	}
	return out
}

// Heavy returns a workload with a heavy-tailed distribution of output lengths.
func Heavy() Workload {
	return Workload{
		Name: "heavy", Engines: standardEngines(12), Entries: 12, Orgs: tenOrgs(), Length: 300 * time.Second,
		MaxOutput: 8_000, MaxWait: unlimitedWait, ReportLag: time.Second,
	}
}

// Steady returns Heavy with responses of similar length.
func Steady() Workload {
	w := Heavy()
	w.Name = "steady"
	for i := range w.Orgs {
		w.Orgs[i].Median, w.Orgs[i].Sigma = 250, 0.4
	}
	return w
}

// Bursty returns Heavy with twice the rate for a quarter of the time.
func Bursty() Workload {
	w := Heavy()
	w.Name, w.BurstFactor = "bursty", 2
	return w
}

// Shift returns Heavy with output lengths that double in mid-run.
func Shift() Workload {
	w := Heavy()
	w.Name, w.ShiftAt, w.ShiftFactor = "shift", w.Length/2, 2
	return w
}

// Prefixes returns Heavy with long shared prompt prefixes.
func Prefixes() Workload {
	w := Heavy()
	w.Name = "prefixes"
	for i := range w.Orgs {
		w.Orgs[i].Shared = 512
	}
	return w
}

// GreedyOrg is the organisation that sends half of all requests in Greedy.
const GreedyOrg = "org-4"

// Greedy returns Heavy with one organisation that sends as much as all others together.
func Greedy() Workload {
	w := Heavy()
	w.Name = "greedy"
	w.Orgs[4].Share = 9
	return w
}

// Unequal returns Heavy with engines of three memory sizes.
func Unequal() Workload {
	w := Heavy()
	w.Name = "unequal"
	for i := range w.Engines {
		w.Engines[i].Capacity = []int{8_000, 16_000, 24_000}[i%3]
	}
	return w
}

// Reclaimed returns Heavy with an engine that leaves at short notice in mid-run.
func Reclaimed() Workload {
	w := Heavy()
	w.Name, w.ReclaimAt = "reclaimed", w.Length/2
	return w
}

// Overload returns Heavy with a short maximum wait and with refused callers that come back
// after the retry delay.
func Overload() Workload {
	w := Heavy()
	w.Name, w.MaxWait, w.Return = "overload", 1500*time.Millisecond, true
	return w
}

// Surging returns the generations of deployment H: long streams of rank 2 and short streams of rank
// 0 at 2.5 times their rate for 14 s, on engines that leave. Sizes are log-normal with the means of
// the deployment.
func Surging() Workload {
	engine := EngineSpec{
		Capacity: 26_893, MaxBatch: 24, Chunk: 112,
		Base: 7 * time.Millisecond, PerDecode: 120 * time.Microsecond, PerPrompt: time.Millisecond / 14,
	}
	w := Workload{
		Name: "surging", Entries: 96, Accounts: 40, Rate: 18.2 + 35.4, Length: 60 * time.Second,
		Surge: Surge{At: 8 * time.Second, For: 14 * time.Second, Factor: 2.5},
		Orgs: []Org{
			{
				Name: "long", Share: 18.2, PromptMedian: 2830, PromptSigma: 0.35, Median: 650, Sigma: 0.54, MaxPrompt: 8_000, MaxOutput: 2_200,
				FirstTarget: 4 * time.Second, Timeout: 39 * time.Second, Rank: 2,
			},
			{
				Name: "short", Share: 35.4, PromptMedian: 1980, PromptSigma: 0.46, Median: 7.5, Sigma: 0.36, MaxPrompt: 8_000, MaxOutput: 50,
				FirstTarget: 1500 * time.Millisecond, Timeout: 6 * time.Second, Repeatable: true,
			},
		},
		HintSigma: 1.2, Callers: Callers{Retries: true},
		Leaving: Leaving{First: time.Second, Every: 3300 * time.Millisecond, Count: 7, Notice: 1800 * time.Millisecond, Replace: 5800 * time.Millisecond, NewsLag: 10 * time.Millisecond},
		Links:   Links{TokenBytes: 18_432, Mbps: 2_700, Setup: 1300 * time.Microsecond, DataCentres: 3},
	}
	for range 44 {
		w.Engines = append(w.Engines, engine)
	}
	return w
}

// Requests draws the workload's requests. The same seed gives the same requests.
func (w Workload) Requests(seed uint64) []*Request {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(w.Name)))
	var out []*Request
	for at := w.arrivalGap(rng, 0); at < w.Length; at += w.arrivalGap(rng, at) {
		out = append(out, w.newRequest(rng, len(out), at))
	}
	return out
}

// arrivalGap draws the time from at until the next arrival.
func (w Workload) arrivalGap(rng *rand.Rand, at time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() / w.rateAt(at) * float64(time.Second))
}

// rateAt returns the arrival rate at a point in time, in requests per second.
func (w Workload) rateAt(at time.Duration) float64 {
	if w.Surge.has(at) {
		return w.Rate * w.Surge.Factor
	}
	if w.BurstFactor <= 1 {
		return w.Rate
	}
	if at%burstEvery < burstOn {
		return w.Rate * w.BurstFactor
	}
	quiet := 1 - (w.BurstFactor-1)*float64(burstOn)/float64(burstEvery-burstOn)
	return w.Rate * max(quiet, 0.1)
}

func (w Workload) newRequest(rng *rand.Rand, n int, at time.Duration) *Request {
	o := w.drawOrg(rng)
	median := o.Median
	if w.ShiftAt > 0 && at >= w.ShiftAt {
		median *= w.ShiftFactor
	}
	prompt := o.Shared + logNormal(rng, o.PromptMedian, o.PromptSigma, cmp.Or(o.MaxPrompt, defaultMaxPrompt))
	maxOutput := cmp.Or(o.MaxOutput, w.MaxOutput)
	r := &Request{
		Number: n, ID: fmt.Sprintf("r%d", n), Org: o.Name, Entry: rng.IntN(w.Entries), At: at, lastSent: at,
		Prompt: prompt, MaxOutput: maxOutput, Output: logNormal(rng, median, o.Sigma, maxOutput),
		Fingerprint: rng.Uint64(), LateShare: o.LateShare, FirstTarget: cmp.Or(o.FirstTarget, FirstTokenTarget), Repeatable: o.Repeatable,
		rank: o.Rank, timeout: o.Timeout,
	}
	r.Worth = o.valueOf(r.Prompt, r.Output)
	if w.HintSigma > 0 {
		r.Expected = logNormal(rng, float64(r.Output), w.HintSigma, maxOutput)
	}
	r.Account = o.Name
	if w.Accounts > 0 {
		r.Account = fmt.Sprintf("account-%d", w.drawAccount(rng))
	}
	for i := range o.Shared / prefixcache.BlockTokens {
		r.Prefix = append(r.Prefix, xxhash.Sum64String(fmt.Sprintf("%s/%d", o.Name, i)))
	}
	return r
}

// drawAccount draws the index of an organisation. The distribution is skewed: a few
// organisations send most of the requests.
func (w Workload) drawAccount(rng *rand.Rand) int {
	return int(math.Exp(rng.Float64()*math.Log(float64(w.Accounts+1)))) - 1
}

// drawOrg draws one of Orgs by their shares.
func (w Workload) drawOrg(rng *rand.Rand) Org {
	total := 0.0
	for _, o := range w.Orgs {
		total += o.Share
	}
	x := rng.Float64() * total
	for _, o := range w.Orgs {
		if x -= o.Share; x < 0 {
			return o
		}
	}
	return w.Orgs[len(w.Orgs)-1]
}

// logNormal draws a log-normally distributed number, limited to 1 to limit.
func logNormal(rng *rand.Rand, median, sigma float64, limit int) int {
	n := int(median * math.Exp(sigma*rng.NormFloat64()))
	return max(1, min(n, limit))
}
