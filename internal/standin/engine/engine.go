// Package engine is a small stand-in for a model engine: it does continuous
// batching, caches prompt prefixes in limited memory, preempts generations when
// memory fills up during decoding, honours priorities, resumes and cancels
// streams, and reports its load with a delay.
package engine

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/prefixcache"

	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// Settings configures an Engine. A field that is zero takes its default, if its comment
// states one.
type Settings struct {
	Name string
	// Capacity is the memory in tokens. Default 16000.
	Capacity int
	// MaxBatch is the maximum number of running generations. Default 64.
	MaxBatch int
	// Step is the duration of one decode step. Default 10ms.
	Step time.Duration
	// Prefill is the number of prompt tokens computed in one step, over all
	// generations. Default 512.
	Prefill int
	// Median, in tokens, and Sigma are the parameters of the log-normal
	// distribution of output lengths. If Median is zero, they are 60 and 0.8.
	Median float64
	Sigma  float64
	// ReportLag is the age of the load that the engine reports. Default 200ms.
	ReportLag time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing number is not
	// greater than the highest one it has accepted.
	ChecksFencing bool
	// CrashOn is a text that crashes the engine when a prompt contains it. If it is
	// empty, no prompt crashes the engine.
	CrashOn string
	// OnCrash is called, without locks held, when a prompt contains CrashOn.
	OnCrash func()
}

func (s *Settings) setDefaults() {
	def := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	def(&s.Capacity, 16_000)
	def(&s.MaxBatch, 64)
	def(&s.Prefill, 512)
	if s.Step == 0 {
		s.Step = 10 * time.Millisecond
	}
	if s.Median == 0 {
		s.Median, s.Sigma = 60, 0.8
	}
	if s.ReportLag == 0 {
		s.ReportLag = 200 * time.Millisecond
	}
}

// state is the state of a generation.
type state int

const (
	waiting state = iota
	running
	finished
	cancelled
	lost // ended by a crash of the engine
)

// generation is one generation with its prompt and the tokens produced so far.
type generation struct {
	id         string
	prompt     int // tokens in the prompt
	length     int // tokens in the complete output
	priority   int // a lower number is served first
	arrival    int // sequence number of the generation at this engine
	prefill    int // tokens still to be computed before decoding continues
	tokens     int // output tokens produced so far
	state      state
	blocks     []uint64 // hashes of the prompt's blocks in the prompt cache
	promptText string
	// boot is the id of the engine's boot that produces the generation.
	boot string
	// salt is set on a generation that was started again under an old id, so that
	// its tokens differ from those of the first one.
	salt string
}

// text returns the text of the generation's token at an index.
func (g *generation) text(index int) string { return TokenText(g.id+g.salt, index) }

// memory returns the memory that the generation takes, in tokens.
func (g *generation) memory() int { return g.prompt + g.tokens }

// Record describes one accepted generation, for comparison with the tokens that
// callers received.
type Record struct {
	Attempt string
	// PromptText is the prompt. Prompt is its length in tokens.
	PromptText string
	Prompt     int
	// Tokens is the number of tokens produced so far.
	Tokens int
	// Text is the first token's text without its index. It identifies the
	// generation even if the engine used the id twice.
	Text string
	// Cancelled is set if a request cancelled the generation before its end.
	Cancelled bool
	// Complete is set if the generation reached its full length.
	Complete bool
}

// Engine is the stand-in engine. Its HTTP handlers are in http.go.
type Engine struct {
	settings Settings

	// mu guards the fields below it. changed is signalled whenever a generation
	// may have advanced or ended.
	mu          sync.Mutex
	changed     *sync.Cond
	boot        string
	leaving     bool      // about to be reclaimed
	frozenUntil time.Time // zero or past if the engine is not frozen
	slow        spell     // makes decode steps rarer for a moment
	faults      StreamFaults
	lostGens    map[string]*generation // those of the boot before the last crash, for StreamFaults.RerunLost
	gens        map[string]*generation // those of the present boot, by id
	order       []*generation          // waiting and running, by arrival
	records     []*generation          // all generations ever accepted, over all boots
	reports     []timedReport          // oldest first
	cache       *prefixcache.Cache
	events      eventLog
	orders      orderBook

	arrivals    int   // number of accepted generations
	preemptions int64 // number of preemptions, over all boots
}

// timedReport is a load report with the time at which it was recorded.
type timedReport struct {
	at     time.Time
	report placement.Report
}

// New returns an engine without generations. Run makes it decode.
func New(s Settings) *Engine {
	s.setDefaults()
	e := &Engine{settings: s, gens: map[string]*generation{}, cache: prefixcache.New(s.Capacity / 4)}
	e.changed = sync.NewCond(&e.mu)
	e.boot = newBoot()
	return e
}

// newBoot returns a random id for a boot of the engine.
func newBoot() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Run executes decode steps at the interval Settings.Step until stop is closed.
func (e *Engine) Run(stop <-chan struct{}) {
	t := time.NewTicker(e.settings.Step)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			e.step(now)
		}
	}
}

// Reboot drops all generations, load reports and the prompt cache, as a crash
// does, and begins a new boot.
func (e *Engine) Reboot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.gens {
		if g.state == waiting || g.state == running {
			g.state = lost
		}
	}
	e.boot = newBoot()
	e.lostGens = e.gens
	e.gens = map[string]*generation{}
	e.order = nil
	e.reports = nil
	e.cache = prefixcache.New(e.settings.Capacity / 4)
	e.changed.Broadcast()
}

// SetLeaving marks the engine as about to be reclaimed.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Leaving reports whether the engine is about to be reclaimed.
func (e *Engine) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Freeze stops decoding, streams and load reports for the duration d. Connections
// stay open.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = time.Now().Add(d)
}

// Records returns a record of each accepted generation, over all boots, in the
// order in which they were accepted.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, 0, len(e.records))
	for _, g := range e.records {
		out = append(out, Record{
			Attempt: g.id, PromptText: g.promptText, Prompt: g.prompt, Tokens: g.tokens, Text: textHash(g),
			Cancelled: g.state == cancelled, Complete: g.state == finished,
		})
	}
	return out
}

// TokenText returns the text of an attempt's token at an index. The text begins
// with a hash of the attempt's id, so that a stream that mixes the tokens of two
// generations can be detected.
func TokenText(attempt string, index int) string {
	h := fnv.New32a()
	h.Write([]byte(attempt))
	return fmt.Sprintf("%08x-%d ", h.Sum32(), index)
}

// recordLoad stores the present load. Reports older than the newest one that is at
// least Settings.ReportLag old are dropped. The caller holds the lock.
func (e *Engine) recordLoad(now time.Time) {
	r := placement.Report{
		Upstream: e.settings.Name, Boot: e.boot, Leaving: e.leaving, Capacity: e.settings.Capacity,
		Used: e.usedTokens(), MaxBatch: e.settings.MaxBatch, Running: e.runningCount(), Preemptions: e.preemptions,
	}
	r.Waiting = len(e.order) - r.Running
	for _, g := range e.order {
		r.Gens = append(r.Gens, placement.GenLoad{Attempt: g.id, Tokens: g.tokens})
	}
	if factor := e.slow.at(now); factor != slowdown.Usual {
		r.Slowdown.Factor = factor
	}
	e.reports = append(e.reports, timedReport{at: now, report: r})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.settings.ReportLag {
		e.reports = e.reports[1:]
	}
}

// load returns the delayed load report. Its boot, leaving mark and version are
// current.
func (e *Engine) load() placement.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := placement.Report{
		Upstream: e.settings.Name, Capacity: e.settings.Capacity, MaxBatch: e.settings.MaxBatch,
	}
	if len(e.reports) > 0 {
		r = e.reports[0].report
	}
	r.Boot, r.Leaving, r.Version = e.boot, e.leaving, e.orders.current[orderVersion]
	if rate := e.faults.RateLimit; rate > 0 {
		r.StatedRate = &rate
	}
	return r
}

// cancel stops a generation and returns the number of tokens that it produced. ok is
// false if the id is unknown.
func (e *Engine) cancel(id string) (tokens int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.gens[id]
	if g == nil {
		return 0, false
	}
	if g.state == waiting || g.state == running {
		g.state = cancelled
	}
	e.changed.Broadcast()
	return g.tokens, true
}
