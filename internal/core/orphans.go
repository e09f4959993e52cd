package core

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

const (
	// probeInterval is the interval at which a home repeats its question about a generation to
	// instances that have not answered.
	probeInterval = 2 * time.Second
	// maxProbes bounds the generations that a home asks about at once.
	maxProbes = 256
)

// orphans is a home's search for generations that no entry follows any more:
// their entry died, or their caller left and did not come back.
//
// Only the home cancels these. An entry that lost its caller must not: the
// caller may have resumed at another entry. And the home asks every instance
// first: two homes may be at work at once, for instance while one link between
// two instances is cut, and one of them does not hear the announcements that
// the other gets. A generation is cancelled once every instance in the list
// has said that it does not follow it.
type orphans struct {
	// unclaimed maps generations in upstreams' reports that no entry has announced to the time
	// of the first such report.
	unclaimed map[string]sighting
	probes    map[string]*probe
}

type sighting struct {
	upstream string
	since    time.Time
}

// probe asks every instance whether it follows a generation.
type probe struct {
	upstream string
	asked    time.Time
	waiting  map[string]bool
}

func newOrphans() orphans {
	return orphans{unclaimed: map[string]sighting{}, probes: map[string]*probe{}}
}

// sighted records the generations in an upstream's report.
func (h *poolHome) sighted(now time.Time, r placement.Report) {
	listed := map[string]bool{}
	for _, g := range r.Gens {
		listed[g.Attempt] = true
		if h.entries[g.Attempt].name != "" {
			delete(h.orphans.unclaimed, g.Attempt)
			continue
		}
		if _, known := h.orphans.unclaimed[g.Attempt]; !known {
			h.orphans.unclaimed[g.Attempt] = sighting{upstream: r.Upstream, since: now}
		}
	}
	for attempt, s := range h.orphans.unclaimed {
		if s.upstream == r.Upstream && !listed[attempt] {
			delete(h.orphans.unclaimed, attempt)
			delete(h.orphans.probes, attempt)
		}
	}
}

// cancelOrphans searches for generations that no entry follows.
func (i *Instance) cancelOrphans(now time.Time, h *poolHome) {
	window := i.version.Config.Deployment.ResumeWindow.D()
	for _, o := range h.home.Orphans(now, window) {
		delete(h.entries, o.Attempt)
		h.guard.forget(o.Attempt)
		h.orphans.open(o.Attempt, o.Upstream)
	}
	for _, attempt := range sortedNames(h.orphans.unclaimed) {
		if s := h.orphans.unclaimed[attempt]; now.Sub(s.since) > window {
			h.orphans.open(attempt, s.upstream)
		}
	}
	i.probe(now, h)
}

func (o *orphans) open(attempt, upstream string) {
	if o.probes[attempt] == nil && len(o.probes) < maxProbes {
		o.probes[attempt] = &probe{upstream: upstream}
	}
}

// probe asks the instances that have not answered, each about all generations at once.
func (i *Instance) probe(now time.Time, h *poolHome) {
	instances := i.view.Instances()
	asks := map[string][]string{}
	for _, attempt := range sortedNames(h.orphans.probes) {
		p := h.orphans.probes[attempt]
		if p.waiting == nil {
			p.waiting = map[string]bool{}
			for _, name := range instances {
				p.waiting[name] = true
			}
		}
		for name := range p.waiting {
			if !slices.Contains(instances, name) {
				delete(p.waiting, name) // it died; who resumed there asks elsewhere
			}
		}
		if len(p.waiting) == 0 {
			i.cancelOrphan(h, attempt, p)
			continue
		}
		if now.Sub(p.asked) < probeInterval {
			continue
		}
		p.asked = now
		for name := range p.waiting {
			asks[name] = append(asks[name], attempt)
		}
	}
	for _, name := range instances {
		if list := asks[name]; len(list) > 0 {
			i.send(name, msg.FollowAsk{Pool: h.pool, Attempts: list})
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

// onFollowAsk answers which attempts this instance follows and announces them to the home that
// did not know.
func (i *Instance) onFollowAsk(now time.Time, from string, m msg.FollowAsk) {
	a := msg.FollowAnswer{Pool: m.Pool, Attempts: m.Attempts}
	told := msg.Announce{Pool: m.Pool}
	for _, r := range i.requests {
		if !r.announced() || !slices.Contains(m.Attempts, r.attempt) {
			continue
		}
		a.Following = append(a.Following, r.attempt)
		told.Running = append(told.Running, r.announcement(i, now))
	}
	if len(told.Running) > 0 {
		i.send(from, told)
	}
	i.send(from, a)
}

func (i *Instance) onFollowAnswer(from string, m msg.FollowAnswer) {
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
			delete(p.waiting, from)
		}
	}
}

// announced reports whether the request is announced to its pool's home. Without a caller it
// is not, so that the home ends it after the resume window unless the caller came back
// elsewhere.
func (r *request) announced() bool {
	return r.phase == running && len(r.place.pools) > 0 && !r.gone
}

func (r *request) announcement(i *Instance, now time.Time) msg.RunningAttempt {
	ask := r.placementAsk(i, now)
	ask.Prefix = nil
	return msg.RunningAttempt{Ask: ask, Upstream: r.run.upstream, Tokens: r.seq.Next()}
}

// announce announces one attempt to its pool's home immediately.
func (i *Instance) announce(now time.Time, r *request) {
	i.send(r.place.home, msg.Announce{
		Pool: r.currentPool().Name, Running: []msg.RunningAttempt{r.announcement(i, now)},
	})
}
