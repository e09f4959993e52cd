package placement

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// homeSim drives a home with random events and checks its decisions against a simple model.
type homeSim struct {
	home *Home
	now  time.Time
	rng  *rand.Rand
	// These maps are keyed by attempt: requests holds the request, sentAt the time at which it was
	// sent, state the kind of the last decision on it, and placedOn the upstream that was granted.
	requests map[string]Request
	sentAt   map[string]time.Time
	state    map[string]Kind
	placedOn map[string]string
	// leaving and lastReport hold the state of the upstreams by name.
	leaving    map[string]bool
	lastReport map[string]time.Time
	// count is the number of attempts so far.
	count int
	// err is the first violation found.
	err error
}

const (
	simUpstreams = 4
	simMaxWait   = 5 * time.Second
)

func newHomeSim(seed int64) *homeSim {
	return &homeSim{
		home: NewHome(Settings{Weights: config.Weights{Stall: 1, Preemptions: 1, Tail: 1}, Engine: true}),
		now:  time.Unix(1000, 0), rng: rand.New(rand.NewSource(seed)),
		requests: map[string]Request{}, sentAt: map[string]time.Time{}, state: map[string]Kind{}, placedOn: map[string]string{},
		leaving: map[string]bool{}, lastReport: map[string]time.Time{},
	}
}

func (w *homeSim) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

func (w *homeSim) upstream() string { return fmt.Sprintf("u%d", w.rng.Intn(simUpstreams)) }

// step plays one event, selected by op, with random parameters.
func (w *homeSim) step(op int) {
	w.now = w.now.Add(time.Duration(w.rng.Intn(200)) * time.Millisecond)
	switch op {
	case 0, 1, 2:
		w.placeRequest()
	case 3:
		w.repeatRequest()
	case 4, 5:
		w.end()
	case 6, 7:
		w.report(w.upstream())
	case 8:
		w.announce()
	case 9:
		w.checkDecisions(w.home.Tick(w.now))
	case 10:
		w.toggleLeaving()
	case 11:
		w.crash()
	}
	w.checkLedger()
}

func (w *homeSim) placeRequest() {
	w.count++
	id := fmt.Sprintf("a%d", w.count)
	a := Request{
		Attempt: id, Org: fmt.Sprintf("o%d", w.rng.Intn(3)), Fingerprint: uint64(1 + w.rng.Intn(30)),
		Prompt: 1 + w.rng.Intn(800), MaxOutput: 1 + w.rng.Intn(2000), MaxWait: simMaxWait,
		Suspect: w.rng.Intn(4) == 0,
	}
	if w.rng.Intn(5) == 0 {
		a.Exclude = []string{w.upstream()}
	}
	w.requests[id], w.sentAt[id] = a, w.now
	ds := w.home.Place(w.now, a)
	w.checkDecisions(ds)
	if w.state[id] == 0 {
		w.fail("%s: request was neither granted, queued nor refused", id)
	}
}

// randomAttempt returns an attempt in a state, or "" if there is none.
func (w *homeSim) randomAttempt(k Kind) string {
	for n := range w.count {
		id := fmt.Sprintf("a%d", (n+w.rng.Intn(w.count))%w.count+1)
		if w.state[id] == k {
			return id
		}
	}
	return ""
}

// takesWork reports whether an upstream may get new work.
func (w *homeSim) takesWork(name string) bool {
	reported, ok := w.lastReport[name]
	return ok && w.now.Sub(reported) < reportMaxAge && !w.leaving[name]
}

// repeatRequest repeats the request for an attempt that is granted or queued. The decision must be
// the same, unless the granted upstream must not get new work any more: then the request is
// treated as a new one, and checkDecisions checks the decision.
func (w *homeSim) repeatRequest() {
	id := w.randomAttempt(Kind(1 + w.rng.Intn(2)))
	if id == "" {
		return
	}
	kind, upstream := w.state[id], w.placedOn[id]
	ds := w.home.Place(w.now, w.requests[id])
	if kind == Granted && !w.takesWork(upstream) {
		delete(w.state, id)
		delete(w.placedOn, id)
		w.checkDecisions(ds)
		if w.state[id] == 0 {
			w.fail("%s: repeated request was neither granted, queued nor refused", id)
		}
		return
	}
	if len(ds) != 1 || ds[0].Kind != kind || ds[0].Upstream != upstream {
		w.fail("%s: decisions on the repeated request = %+v, want %s on %q as before", id, ds, kind, upstream)
	}
}

func (w *homeSim) end() {
	id := w.randomAttempt(Kind(1 + w.rng.Intn(2)))
	if id == "" {
		return
	}
	delete(w.state, id)
	w.checkDecisions(w.home.End(w.now, id, w.rng.Intn(w.requests[id].MaxOutput+1), w.rng.Intn(4) > 0))
}

func (w *homeSim) report(name string) {
	r := Report{Upstream: name, Boot: "b", Capacity: 4000, MaxBatch: 8, Leaving: w.leaving[name]}
	for id, at := range w.placedOn {
		if at == name && w.state[id] == Granted {
			r.Gens = append(r.Gens, GenLoad{Attempt: id, Tokens: w.rng.Intn(100)})
		}
	}
	w.lastReport[name] = w.now
	w.checkDecisions(w.home.Report(w.now, w.now, r))
}

func (w *homeSim) announce() {
	if id := w.randomAttempt(Granted); id != "" {
		w.home.RecordRunning(w.now, w.requests[id], w.placedOn[id], Progress{Tokens: w.rng.Intn(w.requests[id].MaxOutput)})
	}
}

// toggleLeaving makes an upstream start or stop reporting that it is leaving.
func (w *homeSim) toggleLeaving() {
	name := w.upstream()
	w.leaving[name] = !w.leaving[name]
	w.report(name)
}

func (w *homeSim) crash() {
	name := w.upstream()
	for _, a := range w.home.Remove(name) {
		if w.placedOn[a.Attempt] != name || w.state[a.Attempt] != Granted {
			w.fail("%s: removed with upstream %s, but granted on %q", a.Attempt, name, w.placedOn[a.Attempt])
		}
		delete(w.state, a.Attempt)
	}
	delete(w.lastReport, name)
}

// checkDecisions checks decisions against the requests and the state of the upstreams, and
// applies them to the model.
func (w *homeSim) checkDecisions(ds []Decision) {
	for _, d := range ds {
		if w.state[d.Attempt] == Granted && d.Kind != Granted {
			w.fail("%s: granted and later %s, want it to stay granted", d.Attempt, d.Kind)
		}
		switch d.Kind {
		case Granted:
			w.checkGrant(d)
		case Refused:
			if d.RetryAfter <= 0 || d.Reason == "" {
				w.fail("refusal = %+v, want a reason and a Retry-After", d)
			}
			delete(w.state, d.Attempt)
			w.state[d.Attempt] = Refused
		case Queued:
			w.state[d.Attempt] = Queued
		}
	}
}

func (w *homeSim) checkGrant(d Decision) {
	a := w.requests[d.Attempt]
	if w.state[d.Attempt] == Granted {
		w.fail("%s: granted twice, want once", d.Attempt)
	}
	if !w.takesWork(d.Upstream) {
		w.fail("%s: granted on %s, which is leaving, unknown or without a recent report", d.Attempt, d.Upstream)
	}
	for _, x := range a.Exclude {
		if x == d.Upstream {
			w.fail("%s: granted on the excluded upstream %s", d.Attempt, x)
		}
	}
	w.state[d.Attempt], w.placedOn[d.Attempt] = Granted, d.Upstream
}

// checkLedger compares the ledger's sums and indexes with its grants, and its grants with the
// model.
func (w *homeSim) checkLedger() {
	total := 0
	byFingerprint := map[uint64]map[string]bool{}
	for _, u := range w.home.upstreams {
		var need footprint
		suspects := 0
		for i, g := range u.grants {
			total++
			need.add(&g.need)
			if g.req.Suspect {
				suspects++
			}
			if g.index != i || g.upstream != u || w.home.granted[g.req.Attempt] != g {
				w.fail("%s: grant with a wrong index, a wrong upstream or missing in the map by attempt, want its place in the list of its upstream, that upstream, and the same grant in the map", g.req.Attempt)
			}
			p := g.req.Fingerprint
			if byFingerprint[p] == nil {
				byFingerprint[p] = map[string]bool{}
			}
			byFingerprint[p][u.name] = true
		}
		if suspects != u.suspects || suspects > 1 {
			w.fail("%s: runs %d suspects, the ledger counts %d, want the same and at most 1", u.name, suspects, u.suspects)
		}
		for i := range horizons {
			if math.Abs(need.mean[i]-u.need.mean[i]) > 1 {
				w.fail("%s: mean need at horizon %d = %g, want the sum of the grants %g", u.name, horizons[i], u.need.mean[i], need.mean[i])
			}
		}
	}
	for p, upstreams := range byFingerprint {
		if len(upstreams) > maxFingerprintSpread {
			w.fail("fingerprint %d: runs on %d upstreams, want at most maxFingerprintSpread", p, len(upstreams))
		}
	}
	granted, waiting := 0, 0
	for _, k := range w.state {
		switch k {
		case Granted:
			granted++
		case Queued:
			waiting++
		case Refused:
		}
	}
	if granted != total || granted != len(w.home.granted) || waiting != w.home.queue.len() {
		w.fail("%d granted, but %d in the ledger; %d waiting, but %d in the queue: want the same numbers", granted, total, waiting, w.home.queue.len())
	}
}

// drainQueue advances the time until all queued requests have reached their maximum wait.
func (w *homeSim) drainQueue() {
	for range 60 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.checkDecisions(w.home.Tick(w.now))
	}
	if n := w.home.queue.len(); n != 0 {
		w.fail("%d requests are still queued after their maximum wait, want 0", n)
	}
}

func TestPropertyHome(t *testing.T) {
	properties := gopter.NewProperties(testkit.Parameters())
	properties.Property("decisions and ledger are consistent for any order of events", prop.ForAll(
		func(seed int64, ops []int) (bool, error) {
			w := newHomeSim(seed)
			for i := range simUpstreams {
				w.report(fmt.Sprintf("u%d", i))
			}
			for _, op := range ops {
				w.step(op)
			}
			w.drainQueue()
			return w.err == nil, w.err
		},
		gen.Int64(), gen.SliceOf(gen.IntRange(0, 11)),
	))
	properties.TestingRun(t)
}

// Organisations queue different amounts of work. While all of them wait, the cost served for any
// two must not differ by more than slack and twice the highest cost of a request.
func TestPropertyFairness(t *testing.T) {
	properties := gopter.NewProperties(testkit.Parameters())
	properties.Property("waiting organisations are served equally", prop.ForAll(
		func(costs []float64, picks []int) (bool, error) {
			q := newQueue(tune(config.Weights{Stall: 1, Preemptions: 1, Tail: 1}))
			now := time.Unix(1000, 0)
			const orgs = 4
			for i, c := range costs {
				org := fmt.Sprintf("o%d", picks[i%len(picks)]%orgs)
				q.push(Request{Attempt: fmt.Sprint(i), Org: org}, now.Add(time.Duration(i)*time.Millisecond), c)
			}
			served := map[string]float64{}
			for len(q.waiting) == orgs {
				best := q.best(nil)
				q.remove(best)
				q.charge(best.req.Org, best.cost)
				served[best.req.Org] += best.cost
			}
			lowest, highest := math.Inf(1), 0.0
			for i := range orgs {
				s := served[fmt.Sprintf("o%d", i)]
				lowest, highest = min(lowest, s), max(highest, s)
			}
			if len(served) > 0 && highest-lowest > q.slack+2*maxFairnessCost {
				return false, fmt.Errorf("served cost is between %g and %g, want a difference of at most slack plus 2*maxFairnessCost", lowest, highest)
			}
			return true, nil
		},
		gen.SliceOfN(200, gen.Float64Range(0, maxFairnessCost)), gen.SliceOfN(50, gen.IntRange(0, 9)),
	))
	properties.TestingRun(t)
}

// maxFairnessCost is the highest cost of a request in TestPropertyFairness.
const maxFairnessCost = 4e6

// An expensive request waits while cheap ones keep arriving, enough to use the full drain rate.
// Ageing must prevent its starvation: no request that arrived more than maxAhead later may be
// served before it.
func TestPropertyNoStarvation(t *testing.T) {
	properties := gopter.NewProperties(testkit.Parameters())
	properties.Property("ageing prevents the starvation of expensive requests", prop.ForAll(
		func(cost float64, intervalMs int) (bool, error) {
			q := newQueue(tune(config.Weights{Stall: 1, Preemptions: 1, Tail: 1}))
			start := time.Unix(1000, 0)
			q.push(Request{Attempt: "old", Org: "a"}, start, cost)
			step := time.Duration(intervalMs) * time.Millisecond
			for n := 0; ; n++ {
				now := start.Add(time.Duration(n) * step)
				q.push(Request{Attempt: fmt.Sprint(n), Org: "a"}, now, 1)
				best := q.best(nil)
				if best.req.Attempt == "old" {
					return true, nil
				}
				if now.Sub(start) > maxAhead+step {
					return false, fmt.Errorf("expensive request not served after %s, want at most maxAhead", now.Sub(start))
				}
				q.remove(best)
			}
		},
		gen.Float64Range(0, 1e9), gen.IntRange(100, 5000),
	))
	properties.TestingRun(t)
}
