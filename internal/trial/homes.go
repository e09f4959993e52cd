package trial

import (
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// announceInterval is the interval at which entries announce their attempts' token counts
// to the home.
const announceInterval = time.Second

// simHome runs the production placement.Home for all engines, with a message delay between
// home and entries. Homes has one home for all entries, homePerEntry one for each.
type simHome struct {
	run  *Run
	home *placement.Home
	// waiting holds the requests without a decision, by attempt id.
	waiting       map[string]*Request
	lastAnnounced time.Duration
}

// Homes returns the production placement.Home as a policy, with a deployment's weights.
func Homes(name string, weights config.Weights) Maker {
	return Maker{Name: name, Make: func(r *Run) Policy {
		return newSimHome(r, placement.Settings{Weights: weights, Engine: true})
	}}
}

func newSimHome(r *Run, s placement.Settings) *simHome {
	return &simHome{run: r, waiting: map[string]*Request{}, home: placement.NewHome(s)}
}

func (h *simHome) now() time.Time { return time.Unix(0, int64(h.run.now)) }

func (h *simHome) placementRequest(q *Request, id string) placement.Request {
	return placement.Request{
		Attempt: id, Org: q.Org, Fingerprint: q.Fingerprint, Prompt: q.Prompt, MaxOutput: q.MaxOutput,
		Prefix: q.Prefix, MaxWait: h.run.work.MaxWait,
	}
}

// Arrive implements Policy.
func (h *simHome) Arrive(q *Request) {
	id := q.nextAttempt()
	h.waiting[id] = q
	h.run.after(hop, func() { h.apply(h.home.Place(h.now(), h.placementRequest(q, id))) })
}

// Report implements Policy.
func (h *simHome) Report(_ int, r placement.Report) { h.apply(h.home.Report(h.now(), h.now(), r)) }

// Ended implements Policy.
func (h *simHome) Ended(_ *Request, id string, _, tokens int, complete bool) {
	h.run.after(hop, func() { h.apply(h.home.End(h.now(), id, tokens, complete)) })
}

// Tick implements Policy.
func (h *simHome) Tick() {
	h.apply(h.home.Tick(h.now()))
	h.announce(announceInterval, func(*Request) bool { return true })
}

// announce sends the home the token counts of the running attempts for which include is
// true, unless the last announcement is more recent than interval.
func (h *simHome) announce(interval time.Duration, include func(*Request) bool) {
	if h.run.now-h.lastAnnounced < interval {
		return
	}
	if interval > 0 {
		h.lastAnnounced = h.run.now
	}
	for _, id := range slices.Sorted(maps.Keys(h.run.live)) {
		g := h.run.live[id]
		if include(g.req) && !h.run.engines[g.engine].dead {
			h.home.RecordRunning(h.now(), h.placementRequest(g.req, id), h.run.engines[g.engine].name, placement.Progress{Tokens: g.tokens})
		}
	}
}

// apply sends the home's final decisions to the entries.
func (h *simHome) apply(ds []placement.Decision) {
	for _, d := range ds {
		q := h.waiting[d.Attempt]
		if q == nil || d.Kind == placement.Queued {
			continue
		}
		delete(h.waiting, d.Attempt)
		h.run.after(hop, func() { h.applyOne(q, d) })
	}
}

func (h *simHome) applyOne(q *Request, d placement.Decision) {
	if d.Kind == placement.Refused {
		h.run.refuse(q, d.RetryAfter)
		return
	}
	h.run.dispatch(q, d.Attempt, h.run.byName[d.Upstream], d.Priority)
}
