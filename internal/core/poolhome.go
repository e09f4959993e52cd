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
	// pollInterval is the interval at which a home polls the load of each upstream.
	pollInterval = 250 * time.Millisecond
	// homeIdleTimeout is how long a home continues to poll without grant requests and
	// announcements.
	homeIdleTimeout = 10 * time.Second
)

// poolHome is this instance's role as the home of a pool.
type poolHome struct {
	pool string
	home *placement.Home
	// version is the number of the configuration version from which home has its settings.
	version   int64
	createdAt time.Time
	// lastUsed is the time of the last grant request or announcement.
	lastUsed   time.Time
	lastPolled time.Time
	// entries maps attempts to the entries that requested or announced them.
	entries map[string]requester
	// boots maps upstreams to the boot stated in their last report. A boot identifies one run of
	// an upstream's process.
	boots  map[string]string
	orders map[string]*order.Machine
	// crashedBoots maps upstreams to the boot that ended in their last crash.
	crashedBoots map[string]string
	// leaving records for each upstream whether its last report, or the instance list at that time,
	// said that it is leaving.
	leaving map[string]bool
	limits  upstreamLimits
	speeds  upstreamSpeeds
	// leavingRuns holds the runs of upstreams of whose leaving an entry was notified.
	leavingRuns leavingRuns
	guard       crashGuard
	failures    upstreamFailures
	orphans     orphans
}

// requester is an entry and the number of its last grant request for an attempt.
type requester struct {
	name       string
	lastNumber int
}

// poolHomeFor returns the home of a pool and creates it if needed. An instance serves grant requests
// whether or not it considers itself the home: two homes at the same time overcommit the upstreams
// slightly but break no promise.
func (i *Instance) poolHomeFor(now time.Time, name string) *poolHome {
	h := i.pools[name]
	if h == nil {
		p := i.version.Pool(name)
		h = &poolHome{
			pool: name, createdAt: now, entries: map[string]requester{}, boots: map[string]string{},
			orders: map[string]*order.Machine{}, crashedBoots: map[string]string{}, leaving: map[string]bool{}, limits: upstreamLimits{}, speeds: newUpstreamSpeeds(), leavingRuns: leavingRuns{},
			guard: newCrashGuard(), failures: upstreamFailures{}, orphans: newOrphans(),
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
	h.lastUsed = now
	return h
}

// placementSettings returns the settings of a pool's home. The learned answer lengths belong to the
// instance and are kept when a home ends.
func (i *Instance) placementSettings(p *config.Pool) placement.Settings {
	return placement.Settings{
		Weights: i.version.Config.Deployment.Weights,
		Engine:  i.version.Service(p.Service).Kind == config.KindEngine,
		Service: p.Service,
		Lengths: i.lengths,
		Without: i.without,
	}
}

func (i *Instance) onGrantRequest(now time.Time, from string, m msg.GrantRequest) {
	if i.version == nil || i.version.Pool(m.Pool) == nil {
		return // the version with this pool is not in force here yet; the entry repeats its request
	}
	h := i.poolHomeFor(now, m.Pool)
	h.entries[m.Request.Attempt] = requester{name: from, lastNumber: max(h.entries[m.Request.Attempt].lastNumber, m.Number)}
	if i.screen(now, h, from, &m) {
		i.sendDecisions(now, h, h.home.Place(now, m.Request))
	}
}

// sendDecisions sends decisions to their entries. The end of a withdrawn grant may lead to further
// decisions.
func (i *Instance) sendDecisions(now time.Time, h *poolHome, ds []placement.Decision) {
	for _, d := range ds {
		d, withdrawn := i.recheckGrant(now, h, d)
		i.sendDecision(h, d)
		if withdrawn {
			i.sendDecisions(now, h, h.home.End(now, d.Attempt, 0, false))
		}
	}
}

func (i *Instance) sendDecision(h *poolHome, d placement.Decision) {
	m := msg.GrantResponse{Pool: h.pool, Decision: d, TTL: grantTTL, Number: h.entries[d.Attempt].lastNumber}
	if d.Kind == placement.Granted {
		up, _ := i.view.Member(d.Upstream)
		m.Address = up.Address
		m.Boot = h.boots[d.Upstream]
		h.guard.markGranted(d.Attempt, d.Upstream)
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
		v.dropRequest(m.Attempt)
	}
	h.failures.attemptEnded(now, m.Upstream, m.Failed)
	if !i.holdFailedGrant(now, h, m) {
		i.releaseGrant(now, h, m)
	}
}

func (i *Instance) releaseGrant(now time.Time, h *poolHome, m msg.GrantEnd) {
	h.guard.forget(m.Attempt)
	i.sendDecisions(now, h, h.home.End(now, m.Attempt, m.Tokens, !m.Failed && !m.CallerDisconnected))
}

func (i *Instance) onAnnounce(now time.Time, from string, m msg.Announce) {
	if i.version == nil || i.version.Pool(m.Pool) == nil {
		return
	}
	h := i.poolHomeFor(now, m.Pool)
	for _, a := range m.Running {
		h.entries[a.Request.Attempt] = requester{name: from, lastNumber: h.entries[a.Request.Attempt].lastNumber}
		h.home.RecordRunning(now, a.Request, a.Upstream, placement.Progress{Tokens: a.Tokens})
		if h.boots[a.Upstream] != "" { // otherwise the upstream has crashed or has not reported yet
			h.guard.track(now, a.Request)
			h.guard.markGranted(a.Request.Attempt, a.Upstream)
		}
	}
}

func (i *Instance) tickPools(now time.Time) {
	for _, name := range i.poolNames {
		h := i.pools[name]
		i.sendDecisions(now, h, h.home.Tick(now))
		i.tickVerdicts(now, h)
		if now.Sub(h.lastPolled) < pollInterval {
			continue
		}
		if now.Sub(h.lastUsed) > homeIdleTimeout {
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
	h.lastPolled = now
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
		delete(h.limits, name)
		h.speeds.forget(name)
	}
	h.boots[name] = e.Report.Boot
	h.recordGenerations(now, e.Report)
	if m, ok := i.view.Member(name); ok && m.State == membership.Leaving {
		e.Report.Leaving = true
	}
	if h.leavingRuns.has(name, e.Report.Boot) {
		e.Report.Leaving = true
	}
	h.leaving[name] = e.Report.Leaving
	i.limitOnReport(h, &e)
	i.slowdownOnReport(now, h, &e)
	if u := i.version.Upstream(name); u != nil {
		e.Report.DataCentre = u.DataCentre
	}
	if i.orderOnReport(now, h, e.Report) {
		e.Report.Leaving = true // it gets no new work before it loads another version
	}
	i.resolveVerdict(now, h, name, e.Report.Boot, e.PolledAt)
	i.sendDecisions(now, h, h.home.Report(now, e.PolledAt, e.Report))
}

func (i *Instance) onPollFailed(now time.Time, e PollFailed) {
	h := i.homeOf(e.Upstream)
	if h == nil {
		return
	}
	i.count("polls_failed_total", e.Upstream)
	if e.Refused {
		i.onConnectionRefused(now, h, e.Upstream)
	}
}

// homeOf returns the home of the upstream's pool, nil if it is not at this instance.
func (i *Instance) homeOf(upstream string) *poolHome {
	if i.version == nil {
		return nil
	}
	return i.pools[i.version.PoolOf(upstream)]
}
