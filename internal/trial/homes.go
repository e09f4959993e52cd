package trial

import (
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// announceEvery is how often entries tell the home how far their attempts are.
const announceEvery = time.Second

// homes runs the real placement.Home as the one home of all engines, with the
// messages' delay between it and the entries.
type homes struct {
	run       *Run
	home      *placement.Home
	waiting   map[string]*Request
	announced time.Duration
}

// Homes is the project's own policy under a deployment's weights.
func Homes(name string, weights config.Weights) Maker {
	return Maker{Name: name, Make: func(r *Run) Policy {
		return newHomes(r, placement.Settings{Weights: weights, Engine: true})
	}}
}

func newHomes(r *Run, s placement.Settings) *homes {
	return &homes{run: r, waiting: map[string]*Request{}, home: placement.NewHome(s)}
}

func (h *homes) now() time.Time { return time.Unix(0, int64(h.run.now)) }

func (h *homes) ask(q *Request, id string) placement.Request {
	return placement.Request{
		Attempt: id, Org: q.Org, Fingerprint: q.Fingerprint, Prompt: q.Prompt, MaxOutput: q.MaxOutput,
		Prefix: q.Prefix, MaxWait: h.run.work.MaxWait,
	}
}

// Arrive implements Policy.
func (h *homes) Arrive(q *Request) {
	id := q.nextAttempt()
	h.waiting[id] = q
	h.run.after(hop, func() { h.act(h.home.Place(h.now(), h.ask(q, id))) })
}

// Report implements Policy.
func (h *homes) Report(_ int, r placement.Report) { h.act(h.home.Report(h.now(), h.now(), r)) }

// Ended implements Policy.
func (h *homes) Ended(_ *Request, id string, _, tokens int, whole bool) {
	h.run.after(hop, func() { h.act(h.home.End(h.now(), id, tokens, whole)) })
}

// Tick implements Policy.
func (h *homes) Tick() {
	h.act(h.home.Tick(h.now()))
	h.announce(announceEvery, func(*Request) bool { return true })
}

// announce tells the home how far the running attempts of some requests are.
func (h *homes) announce(every time.Duration, which func(*Request) bool) {
	if h.run.now-h.announced < every {
		return
	}
	if every > 0 {
		h.announced = h.run.now
	}
	for _, id := range slices.Sorted(maps.Keys(h.run.live)) {
		g := h.run.live[id]
		if which(g.req) && !h.run.engines[g.engine].dead {
			h.home.RecordRunning(h.now(), h.ask(g.req, id), h.run.engines[g.engine].name, placement.Progress{Tokens: g.tokens})
		}
	}
}

// act carries decisions to the entries.
func (h *homes) act(ds []placement.Decision) {
	for _, d := range ds {
		q := h.waiting[d.Attempt]
		if q == nil || d.Kind == placement.Queued {
			continue
		}
		delete(h.waiting, d.Attempt)
		h.run.after(hop, func() { h.answer(q, d) })
	}
}

func (h *homes) answer(q *Request, d placement.Decision) {
	if d.Kind == placement.Refused {
		h.run.refuse(q, d.RetryAfter)
		return
	}
	h.run.dispatch(q, d.Attempt, h.run.byName[d.Upstream], d.Priority)
}
