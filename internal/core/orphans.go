package core

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

const (
	// probeInterval is the interval at which a home repeats its query about a generation to
	// instances that have not replied.
	probeInterval = 2 * time.Second
	// maxProbes is the maximum number of generations that a home probes at the same time.
	maxProbes = 256
)

// orphans is the state of a home's search for orphans, which are generations that no
// entry follows any more. An entry follows a generation while it reads the tokens
// for a caller. This ends if the entry dies, or if the caller disconnects and does
// not come back.
//
// Only the home cancels such generations. An entry that lost its caller must not
// do so, as the caller may have resumed at another entry. The home first probes
// every instance, because a pool can have two homes for a time, for instance
// during a partition between two instances, and each home then receives only a
// part of the announcements. It cancels a generation once every instance in the
// list has replied that it does not follow the generation.
type orphans struct {
	// unclaimed holds, by attempt, the generations that an upstream has reported but no entry has
	// announced, with the time of the first such report.
	unclaimed map[string]unclaimedGeneration
	probes    map[string]*probe
}

type unclaimedGeneration struct {
	upstream string
	since    time.Time
}

// probe is a query to every instance whether it follows a generation. unanswered holds the
// instances that have not replied yet.
type probe struct {
	upstream   string
	sentAt     time.Time
	unanswered map[string]bool
}

func newOrphans() orphans {
	return orphans{unclaimed: map[string]unclaimedGeneration{}, probes: map[string]*probe{}}
}

// recordGenerations updates the unclaimed generations with those in an upstream's report.
func (h *poolHome) recordGenerations(now time.Time, r placement.Report) {
	listed := map[string]bool{}
	for _, g := range r.Gens {
		listed[g.Attempt] = true
		if h.entries[g.Attempt].name != "" {
			delete(h.orphans.unclaimed, g.Attempt)
			continue
		}
		if _, known := h.orphans.unclaimed[g.Attempt]; !known {
			h.orphans.unclaimed[g.Attempt] = unclaimedGeneration{upstream: r.Upstream, since: now}
		}
	}
	for attempt, s := range h.orphans.unclaimed {
		if s.upstream == r.Upstream && !listed[attempt] {
			delete(h.orphans.unclaimed, attempt)
			delete(h.orphans.probes, attempt)
		}
	}
}

// cancelOrphans opens probes for generations that no entry has announced within the resume window,
// and cancels those that turn out to be orphans.
func (i *Instance) cancelOrphans(now time.Time, h *poolHome) {
	window := i.version.Config.Deployment.ResumeWindow.D()
	for _, o := range h.home.Orphans(now, window) {
		delete(h.entries, o.Attempt)
		h.guard.forget(o.Attempt)
		h.orphans.openProbe(o.Attempt, o.Upstream)
	}
	for _, attempt := range sortedNames(h.orphans.unclaimed) {
		if s := h.orphans.unclaimed[attempt]; now.Sub(s.since) > window {
			h.orphans.openProbe(attempt, s.upstream)
		}
	}
	i.sendProbes(now, h)
}

func (o *orphans) openProbe(attempt, upstream string) {
	if o.probes[attempt] == nil && len(o.probes) < maxProbes {
		o.probes[attempt] = &probe{upstream: upstream}
	}
}

// sendProbes queries the instances that have not replied, each about all generations in one
// message. It cancels a generation once every instance has replied that it does not follow it.
func (i *Instance) sendProbes(now time.Time, h *poolHome) {
	instances := i.view.Instances()
	queries := map[string][]string{}
	for _, attempt := range sortedNames(h.orphans.probes) {
		p := h.orphans.probes[attempt]
		if p.unanswered == nil {
			p.unanswered = map[string]bool{}
			for _, name := range instances {
				p.unanswered[name] = true
			}
		}
		for name := range p.unanswered {
			if !slices.Contains(instances, name) {
				delete(p.unanswered, name) // the instance died; a caller that had resumed there resumes elsewhere
			}
		}
		if len(p.unanswered) == 0 {
			i.cancelOrphan(h, attempt, p)
			continue
		}
		if now.Sub(p.sentAt) < probeInterval {
			continue
		}
		p.sentAt = now
		for name := range p.unanswered {
			queries[name] = append(queries[name], attempt)
		}
	}
	for _, name := range instances {
		if list := queries[name]; len(list) > 0 {
			i.send(name, msg.FollowRequest{Pool: h.pool, Attempts: list})
		}
	}
}

func (i *Instance) cancelOrphan(h *poolHome, attempt string, p *probe) {
	delete(h.orphans.probes, attempt)
	delete(h.orphans.unclaimed, attempt)
	i.count("orphans_total", p.upstream)
	if m, ok := i.view.Member(p.upstream); ok {
		i.emit(Cancel{Address: m.Address, Attempt: attempt})
	}
}

// onFollowRequest replies which of the requested attempts this instance follows, and announces
// these to the home, which lacks a recent announcement of them.
func (i *Instance) onFollowRequest(now time.Time, from string, m msg.FollowRequest) {
	a := msg.FollowResponse{Pool: m.Pool, Attempts: m.Attempts}
	update := msg.Announce{Pool: m.Pool}
	for _, r := range i.requests {
		if !r.isAnnounced() || !slices.Contains(m.Attempts, r.attempt) {
			continue
		}
		a.Following = append(a.Following, r.attempt)
		update.Running = append(update.Running, r.announcement(i, now))
	}
	if len(update.Running) > 0 {
		i.send(from, update)
	}
	i.send(from, a)
}

func (i *Instance) onFollowResponse(from string, m msg.FollowResponse) {
	h := i.pools[m.Pool]
	if h == nil {
		return
	}
	for _, attempt := range m.Attempts {
		p := h.orphans.probes[attempt]
		switch {
		case p == nil:
		case slices.Contains(m.Following, attempt):
			delete(h.orphans.probes, attempt)
			delete(h.orphans.unclaimed, attempt)
		default:
			delete(p.unanswered, from)
		}
	}
}

// isAnnounced reports whether the request's attempt is announced to its pool's home. An attempt
// without a caller is not announced, so that the home cancels it after the resume window unless
// the caller has resumed at another entry.
func (r *request) isAnnounced() bool {
	return r.phase == phaseRunning && len(r.place.pools) > 0 && !r.disconnected
}

func (r *request) announcement(i *Instance, now time.Time) msg.RunningAttempt {
	req := r.placementRequest(i, now)
	req.Prefix = nil
	return msg.RunningAttempt{Request: req, Upstream: r.run.upstream, Tokens: r.seq.Next()}
}

// announce announces a request's attempt to its pool's home immediately.
func (i *Instance) announce(now time.Time, r *request) {
	i.send(r.place.home, msg.Announce{
		Pool: r.currentPool().Name, Running: []msg.RunningAttempt{r.announcement(i, now)},
	})
}
