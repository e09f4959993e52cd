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

// Request is one caller's request with what only the engine may know: Output.
type Request struct {
	Number int
	ID     string
	Org    string
	// Account is the organisation that the system sees, if that is not Org: each
	// sends requests of all kinds then.
	Account string
	Entry   int
	// At is when the caller sent it, counted from the start of the run.
	At time.Duration
	// Prompt, Output and MaxOutput are in tokens.
	Prompt    int
	Output    int
	MaxOutput int
	// Expected is the caller's own estimate of Output, 0 if it gives none.
	Expected int
	Prefix   []uint64
	// Fingerprint names the body, also when the caller comes back with it.
	Fingerprint uint64
	// Worth is what its caller has of a whole answer that is on time, LateShare
	// the part of that if it is late, FirstTarget when the first token is due.
	Worth       float64
	LateShare   float64
	FirstTarget time.Duration
	// Repeatable requests are sent again if they are lost.
	Repeatable bool

	// asked is when the caller last asked, returns how often it came back.
	asked   time.Duration
	returns int
	tries   int
}

// Org describes the requests of one organisation. Lengths are log-normal.
type Org struct {
	Name string
	// Share is this organisation's part of the requests, relative to the others'.
	Share        float64
	PromptMedian float64
	PromptSigma  float64
	Median       float64
	Sigma        float64
	// Shared is how many prompt tokens all its requests have in common.
	Shared int
	// MaxPrompt and MaxOutput bound its prompts and answers in tokens; 0 takes
	// promptMost and the workload's.
	MaxPrompt int
	MaxOutput int
	// Worth is what an answer of mean size is worth; others are worth more or
	// less as they are longer or shorter. 0 counts as 1.
	Worth float64
	// LateShare is the part of its worth that a late answer keeps, FirstTarget
	// when the first token is due; 0 takes FirstTokenTarget.
	LateShare   float64
	FirstTarget time.Duration
	// Repeatable requests are sent again, once, if their attempt is lost.
	Repeatable bool
}

// outputWorth is how many prompt tokens an output token is worth: making it takes
// an engine about ten times as long.
const outputWorth = 10

// worthOf returns what an answer with so many tokens is worth.
func (o Org) worthOf(prompt, output int) float64 {
	mean := logNormalMean(o.PromptMedian, o.PromptSigma) + outputWorth*logNormalMean(o.Median, o.Sigma)
	return max(o.Worth, 1) * float64(prompt+outputWorth*output) / mean
}

func logNormalMean(median, sigma float64) float64 { return median * math.Exp(sigma*sigma/2) }

// Workload describes a run: its engines, its callers and what goes wrong.
type Workload struct {
	Name    string
	Engines []EngineSpec
	Entries int
	Orgs    []Org
	// Accounts is the number of organisations that the requests of all Orgs come
	// from, the first ones larger; 0 makes each of Orgs one.
	Accounts int
	// Rate is in requests a second, Length how long requests arrive.
	Rate   float64
	Length time.Duration
	// MaxOutput bounds each answer in tokens.
	MaxOutput int
	// BurstFactor multiplies the rate during BurstOn of each BurstEvery, with
	// the mean rate kept. 0 or 1 means none.
	BurstFactor float64
	// ShiftAt multiplies each median by ShiftFactor from then on.
	ShiftAt     time.Duration
	ShiftFactor float64
	// ReclaimAt is when the first engine gets notice; it dies reclaimNotice later.
	ReclaimAt time.Duration
	// MaxWait is the longest a request may queue before its first token.
	MaxWait time.Duration
	// Leaving makes engines leave and join, Links carry what runs on them.
	Leaving Leaving
	Links   Links
	// Failing and Crashes are what engines do besides.
	Failing Failing
	Crashes Crashes
	// Cordoning takes a data centre out of service.
	Cordoning Cordoning
	Slowing   Slowing
	// Shutdown and EntryLoss are what happens to the instances.
	Shutdown  Shutdown
	EntryLoss EntryLoss
	// HintSigma spreads the callers' estimates of their outputs around the
	// truth; 0 means that they give none.
	HintSigma float64
	// Return makes refused callers come back when told.
	Return bool
	// ReportLag is the age of the load in an engine's report.
	ReportLag time.Duration
}

const (
	burstEvery    = 40 * time.Second
	burstOn       = 10 * time.Second
	reclaimNotice = 5 * time.Second
	// patient is a MaxWait that no run reaches.
	patient = time.Hour
	// promptMost bounds prompts in tokens where their organisation does not.
	promptMost = 4_000
)

// standardEngine is the engine that the figures in docs/PLACEMENT.md are for.
var standardEngine = EngineSpec{
	Capacity: 16_000, MaxBatch: 64, Chunk: 512,
	Base: 12 * time.Millisecond, PerDecode: 400 * time.Microsecond, PerPrompt: 30 * time.Microsecond,
}

func engines(n int) []EngineSpec {
	out := make([]EngineSpec, n)
	for i := range out {
		out[i] = standardEngine
	}
	return out
}

// tenOrgs are organisations whose answers differ in length, as clerks who
// classify and designers who draft do.
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

// Heavy is the workload with heavy-tailed answers.
func Heavy() Workload {
	return Workload{
		Name: "heavy", Engines: engines(12), Entries: 12, Orgs: tenOrgs(), Length: 300 * time.Second,
		MaxOutput: 8_000, MaxWait: patient, ReportLag: time.Second,
	}
}

// Steady has answers of similar length.
func Steady() Workload {
	w := Heavy()
	w.Name = "steady"
	for i := range w.Orgs {
		w.Orgs[i].Median, w.Orgs[i].Sigma = 250, 0.4
	}
	return w
}

// Bursty multiplies the rate for a quarter of the time.
func Bursty() Workload {
	w := Heavy()
	w.Name, w.BurstFactor = "bursty", 2
	return w
}

// Shift doubles the answers' lengths in mid-run.
func Shift() Workload {
	w := Heavy()
	w.Name, w.ShiftAt, w.ShiftFactor = "shift", w.Length/2, 2
	return w
}

// Prefixes has long shared prompts.
func Prefixes() Workload {
	w := Heavy()
	w.Name = "prefixes"
	for i := range w.Orgs {
		w.Orgs[i].Shared = 512
	}
	return w
}

// GreedyOrg is the organisation that Greedy makes greedy.
const GreedyOrg = "org-4"

// Greedy has one organisation that sends as much as all others together.
func Greedy() Workload {
	w := Heavy()
	w.Name = "greedy"
	w.Orgs[4].Share = 9
	return w
}

// Unequal has engines of three sizes.
func Unequal() Workload {
	w := Heavy()
	w.Name = "unequal"
	for i := range w.Engines {
		w.Engines[i].Capacity = []int{8_000, 16_000, 24_000}[i%3]
	}
	return w
}

// Reclaimed loses an engine at short notice.
func Reclaimed() Workload {
	w := Heavy()
	w.Name, w.ReclaimAt = "reclaimed", w.Length/2
	return w
}

// Overload has callers who accept a refusal and come back when told.
func Overload() Workload {
	w := Heavy()
	w.Name, w.MaxWait, w.Return = "overload", 1500*time.Millisecond, true
	return w
}

// Requests draws the workload's requests. The same seed gives the same ones.
func (w Workload) Requests(seed uint64) []*Request {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(w.Name)))
	var out []*Request
	for at := w.gap(rng, 0); at < w.Length; at += w.gap(rng, at) {
		out = append(out, w.request(rng, len(out), at))
	}
	return out
}

func (w Workload) gap(rng *rand.Rand, at time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() / w.rateAt(at) * float64(time.Second))
}

func (w Workload) rateAt(at time.Duration) float64 {
	if w.BurstFactor <= 1 {
		return w.Rate
	}
	if at%burstEvery < burstOn {
		return w.Rate * w.BurstFactor
	}
	quiet := 1 - (w.BurstFactor-1)*float64(burstOn)/float64(burstEvery-burstOn)
	return w.Rate * max(quiet, 0.1)
}

func (w Workload) request(rng *rand.Rand, n int, at time.Duration) *Request {
	o := w.pick(rng)
	median := o.Median
	if w.ShiftAt > 0 && at >= w.ShiftAt {
		median *= w.ShiftFactor
	}
	prompt := o.Shared + logNormal(rng, o.PromptMedian, o.PromptSigma, cmp.Or(o.MaxPrompt, promptMost))
	most := cmp.Or(o.MaxOutput, w.MaxOutput)
	r := &Request{
		Number: n, ID: fmt.Sprintf("r%d", n), Org: o.Name, Entry: rng.IntN(w.Entries), At: at, asked: at,
		Prompt: prompt, MaxOutput: most, Output: logNormal(rng, median, o.Sigma, most),
		Fingerprint: rng.Uint64(), LateShare: o.LateShare, FirstTarget: cmp.Or(o.FirstTarget, FirstTokenTarget), Repeatable: o.Repeatable,
	}
	r.Worth = o.worthOf(r.Prompt, r.Output)
	if w.HintSigma > 0 {
		r.Expected = logNormal(rng, float64(r.Output), w.HintSigma, most)
	}
	r.Account = o.Name
	if w.Accounts > 0 {
		r.Account = fmt.Sprintf("account-%d", w.account(rng))
	}
	for i := range o.Shared / prefixcache.BlockTokens {
		r.Prefix = append(r.Prefix, xxhash.Sum64String(fmt.Sprintf("%s/%d", o.Name, i)))
	}
	return r
}

// account draws an organisation: a few send much, most little.
func (w Workload) account(rng *rand.Rand) int {
	return int(math.Exp(rng.Float64()*math.Log(float64(w.Accounts+1)))) - 1
}

func (w Workload) pick(rng *rand.Rand) Org {
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

func logNormal(rng *rand.Rand, median, sigma float64, most int) int {
	n := int(median * math.Exp(sigma*rng.NormFloat64()))
	return max(1, min(n, most))
}
