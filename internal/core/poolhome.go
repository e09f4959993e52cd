package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/order"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

const (
	// pollInterval is the interval at which a home polls each upstream's load.
	pollInterval = 250 * time.Millisecond
	// homeIdle is how long a home without asks continues to poll.
	homeIdle = 10 * time.Second
)

// poolHome is this instance's role as the home of a pool.
type poolHome struct {
	pool string
	home *placement.Home
	// version is the configuration version of its settings.
	version int64
	begun   time.Time
	asked   time.Time
	polled  time.Time
	// entries maps attempts to the requesting entries.
	entries map[string]asker
	boots   map[string]string
	orders  map[string]*order.Machine
	// crashed maps upstreams to the run that ended in their last crash.
	crashed map[string]string
	// leaving holds the upstreams whose last report said so.
	leaving map[string]bool
	guard   guard
	failing failing
	orphans orphans
}

// asker is an entry and the number of its last ask.
type asker struct {
	name string
	asks int
}

// poolHomeFor returns the role for a pool, creating it if needed. An instance that is asked
// serves whether or not it considers itself the home: two homes at once overcommit slightly
// and break no promise.
func (i *Instance) poolHomeFor(now time.Time, name string) *poolHome {
	h := i.pools[name]
	if h == nil {
		p := i.version.Pool(name)
		h = &poolHome{
			pool: name, begun: now, entries: map[string]asker{}, boots: map[string]string{},
			orders: map[string]*order.Machine{}, crashed: map[string]string{}, leaving: map[string]bool{},
			guard: newGuard(), failing: failing{}, orphans: newOrphans(),
			version: i.version.Number, home: placement.NewHome(i.placementSettings(p)),
		}
		h.home.SetCordons(now, i.cordons)
		i.pools[name] = h
		i.poolNames = sortedNames(i.pools)
		i.pollPool(now, h)
	}
	if h.version != i.version.Number {
		h.version = i.version.Number
		h.home.Configure(i.placementSettings(i.version.Pool(name)))
	}
	h.asked = now
	return h
}

// placementSettings returns the settings of a pool's home. Learned lengths outlive the homes.
func (i *Instance) placementSettings(p *config.Pool) placement.Settings {
	return placement.Settings{
		Weights: i.version.Config.Deployment.Weights,
		Engine:  i.version.Service(p.Service).Kind == config.KindEngine,
		Service: p.Service,
		Lengths: i.lengths,
		Without: i.without,
	}
}

func (i *Instance) onGrantAsk(now time.Time, from string, m msg.GrantAsk) {
	if i.version == nil || i.version.Pool(m.Pool) == nil {
		return // not known here yet: the entry asks again
	}
	h := i.poolHomeFor(now, m.Pool)
	h.entries[m.Ask.Attempt] = asker{name: from, asks: max(h.entries[m.Ask.Attempt].asks, m.Number)}
	if i.screen(now, h, from, &m) {
		i.answerGrants(now, h, h.home.Ask(now, m.Ask))
	}
}

func (i *Instance) answerGrants(now time.Time, h *poolHome, ds []placement.Decision) {
	for _, d := range ds {
		d, vetoed := i.vetoes(now, h, d)
		i.answerGrant(h, d)
		if vetoed {
			i.answerGrants(now, h, h.home.End(now, d.Attempt, 0, false))
		}
	}
}

func (i *Instance) answerGrant(h *poolHome, d placement.Decision) {
	m := msg.GrantAnswer{Pool: h.pool, Decision: d, TTL: grantTTL, Number: h.entries[d.Attempt].asks}
	if d.Kind == placement.Granted {
		up, _ := i.view.Member(d.Upstream)
		m.Address = up.Address
		m.Boot = h.boots[d.Upstream]
		h.guard.granted(d.Attempt, d.Upstream)
	}
	i.count("decisions_total", d.Kind.String())
	i.send(h.entries[d.Attempt].name, m)
	if d.Kind == placement.Refused {
		delete(h.entries, d.Attempt)
		h.guard.forget(d.Attempt)
	}
}

func (i *Instance) onGrantEnd(now time.Time, m msg.GrantEnd) {
	h := i.pools[m.Pool]
	if h == nil {
		return
	}
	delete(h.entries, m.Attempt)
	for _, v := range h.guard.verdicts {
		v.drop(m.Attempt)
	}
	h.failing.ended(now, m.Upstream, m.Failed)
	if !i.keepFailed(now, h, m) {
		i.endGranted(now, h, m)
	}
}

func (i *Instance) endGranted(now time.Time, h *poolHome, m msg.GrantEnd) {
	h.guard.forget(m.Attempt)
	i.answerGrants(now, h, h.home.End(now, m.Attempt, m.Tokens, !m.Failed && !m.Cut))
}

func (i *Instance) onAnnounce(now time.Time, from string, m msg.Announce) {
	if i.version == nil || i.version.Pool(m.Pool) == nil {
		return
	}
	h := i.poolHomeFor(now, m.Pool)
	for _, a := range m.Running {
		h.entries[a.Ask.Attempt] = asker{name: from, asks: h.entries[a.Ask.Attempt].asks}
		h.home.Running(now, a.Ask, a.Upstream, placement.Sighting{Tokens: a.Tokens})
		if h.boots[a.Upstream] != "" { // else it has crashed, or is not known yet
			h.guard.note(now, a.Ask)
			h.guard.granted(a.Ask.Attempt, a.Upstream)
		}
	}
}

func (i *Instance) tickPools(now time.Time) {
	for _, name := range i.poolNames {
		h := i.pools[name]
		i.answerGrants(now, h, h.home.Tick(now))
		i.tickVerdicts(now, h)
		if now.Sub(h.polled) < pollInterval {
			continue
		}
		if now.Sub(h.asked) > homeIdle {
			delete(i.pools, name)
			i.poolNames = sortedNames(i.pools)
			continue
		}
		i.pollPool(now, h)
		i.tickOrders(now, h)
		i.cancelOrphans(now, h)
		h.guard.expire(now, i.version.Config.Deployment.ResumeWindow.D()+cancelGrace)
	}
}

func (i *Instance) pollPool(now time.Time, h *poolHome) {
	h.polled = now
	p := i.version.Pool(h.pool)
	if p == nil {
		return
	}
	for _, name := range p.Upstreams {
		i.pollUpstream(name)
	}
}

func (i *Instance) pollUpstream(name string) {
	if m, ok := i.view.Member(name); ok {
		i.emit(Poll{Upstream: name, Address: m.Address})
	}
}

func (i *Instance) onReport(now time.Time, e UpstreamReport) {
	h := i.homeOf(e.Report.Upstream)
	if h == nil {
		return
	}
	name := e.Report.Upstream
	if boot := h.boots[name]; boot != "" && boot != e.Report.Boot {
		i.upstreamCrashed(now, h, name)
	}
	h.boots[name] = e.Report.Boot
	h.sighted(now, e.Report)
	if m, ok := i.view.Member(name); ok && m.State == membership.Leaving {
		e.Report.Leaving = true
	}
	h.leaving[name] = e.Report.Leaving
	if u := i.version.Upstream(name); u != nil {
		e.Report.DataCentre = u.DataCentre
	}
	if i.orderOnReport(now, h, e.Report) {
		e.Report.Leaving = true // about to load another version
	}
	i.judge(now, h, name, e.Report.Boot, e.Asked)
	i.answerGrants(now, h, h.home.Report(now, e.Asked, e.Report))
}

func (i *Instance) onSilent(now time.Time, e UpstreamSilent) {
	h := i.homeOf(e.Upstream)
	if h == nil {
		return
	}
	i.count("polls_failed_total", e.Upstream)
	if e.Refused {
		i.upstreamGone(now, h, e.Upstream)
	}
}

func (i *Instance) homeOf(upstream string) *poolHome {
	if i.version == nil {
		return nil
	}
	return i.pools[i.version.PoolOf(upstream)]
}
