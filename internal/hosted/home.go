package hosted

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/pool"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// homes runs the homes of the pools for which this instance receives messages. It creates a home
// whether or not this instance considers itself the home of the pool: two homes of a pool at the
// same time overcommit slightly and violate no guarantee.
type homes struct {
	server  *server
	metrics *metrics.Metrics
	log     hclog.Logger
	// self is this instance's name.
	self string
	// send sends a message to another instance.
	send func(to string, m msg.Message)
	// dataCentreOf returns an instance's data centre, or "" if it is unknown.
	dataCentreOf func(instance string) string
	// onCreated is called after a home was created.
	onCreated func()
	// without lists disabled mechanisms.
	without mechanism.Set
	ways    mechanism.Ways
	// deliverLocal delivers messages to this instance itself.
	deliverLocal func(from string, m msg.Message)

	// mu guards the homes by pool and the time of the last use of each.
	mu     sync.Mutex
	pools  map[string]*pool.Home
	usedAt map[string]time.Time
}

const (
	// homeIdleTimeout is the time after which an unused home is dropped.
	homeIdleTimeout = 10 * time.Second
	// syncInterval is the interval at which homes reconcile their ledgers with the list of
	// upstreams and issue orders.
	syncInterval = 100 * time.Millisecond
)

// withHome runs a function on a pool's home, which it creates if needed.
func (h *homes) withHome(name string, f func(now time.Time, p *pool.Home)) {
	now := boottime.Now()
	view := h.viewOf(name)
	if view.service == nil || view.service.Engine == nil {
		return // the service is not known here yet; the entry chooses an upstream itself
	}
	created := false
	h.mu.Lock()
	p := h.pools[name]
	if p == nil && !view.inLayout {
		h.mu.Unlock()
		return // the service now has another layout, which the entry will receive soon
	}
	if p == nil {
		p = pool.NewHome(name, *view.service.Engine, h.without, h.ways)
		h.pools[name] = p
		created = true
		p.Sync(now, view.Listing)
		h.log.Info("home_began", "pool", name, "upstreams", len(view.Upstreams))
	}
	h.usedAt[name] = now
	f(now, p)
	output := h.takeOutput(name, p)
	h.mu.Unlock()
	h.deliver(output)
	if created {
		h.onCreated() // this instance may not know all of the pool's upstreams yet
	}
}

// groups lists the groups of upstreams that the homes use.
func (h *homes) groups() []roster.Group {
	var out []roster.Group
	for _, name := range h.poolNames() {
		if g := roster.ParseGroup(name); g.Count > 0 {
			out = append(out, g)
		}
	}
	return out
}

// homeOutput is the output of a pool's home.
type homeOutput struct {
	pool     string
	messages []pool.OutgoingMessage
	notes    []pool.Note
	counts   []pool.Count
	probes   []pool.Probe
}

// takeOutput removes the pending output of a home and returns it.
func (h *homes) takeOutput(name string, p *pool.Home) homeOutput {
	return homeOutput{pool: name, messages: p.TakeMessages(), notes: p.Notes(), counts: p.Counts(), probes: p.Probes()}
}

// poolView is the state of a pool as known to this instance.
type poolView struct {
	// service is nil if it is not in the configuration.
	service *route.Service
	// Listing holds copies of the upstreams, because the originals may change concurrently.
	pool.Listing
	// inLayout is unset if the service is now divided into other pools.
	inLayout bool
}

// viewOf returns the state of a pool as known to this instance.
func (h *homes) viewOf(name string) (view poolView) {
	group := roster.ParseGroup(name)
	h.server.decide(func(_ time.Time, g *forward.Gate) {
		if g.Table() == nil {
			return
		}
		layout, _ := g.Roster().Layout()
		view.inLayout = layout.Has(group)
		view.service, view.Answered, view.Cordons = g.Table().Service(group.Service), g.Roster().Confirmed(), g.Cordons()
		if g.Confirmed().After(view.Answered) {
			view.Answered = g.Confirmed()
		}
		if view.service != nil {
			view.ColdRate = view.service.ColdRate
		}
		view.RateLimits = map[string]ratelimit.Limit{}
		for _, u := range g.Roster().UpstreamsIn(group) {
			c := *u
			c.ColdUntil = g.ColdUntil(u)
			if limit := g.RateLimit(u.Run()); limit.Stated {
				view.RateLimits[u.ID] = limit
			}
			view.Upstreams = append(view.Upstreams, &c)
		}
	})
	return view
}

// deliver sends the messages of a home, logs its notes and starts its probes.
func (h *homes) deliver(output homeOutput) {
	for _, q := range output.probes {
		go h.probe(output.pool, q)
	}
	for _, n := range output.notes {
		h.metrics.Count("home_decisions_total", n.Event)
		h.log.Info(n.Event, n.Pairs...)
	}
	for _, c := range output.counts {
		h.metrics.Count(c.Metric, c.Label)
	}
	for _, o := range output.messages {
		if o.To == h.self {
			h.deliverLocal(h.self, o.Msg)
		} else {
			h.send(o.To, o.Msg)
		}
	}
}

// probe requests an upstream's state and notifies the home if the upstream is leaving or cannot
// be reached.
func (h *homes) probe(name string, target pool.Probe) {
	h.metrics.Count("upstream_questions_total", name)
	r, err := h.server.probeLeaving(context.Background(), target.Address)
	switch {
	case errors.Is(err, errNotPermitted):
		return // nothing is known about the upstream
	case errors.Is(err, errUnreadable):
		h.log.Warn("upstream_report_unreadable", "upstream", target.ID, "pool", name, "error", err)
		return
	case err != nil:
		f := h.server.paths.check(target.Address)
		h.log.Info("upstream_silent", "upstream", target.ID, "pool", name, "finding", f, "error", err)
		if f.isAboutUpstream() {
			h.withHome(name, func(now time.Time, p *pool.Home) { p.Unreachable(now, target.ID) })
		}
		return
	}
	h.passSpeed(name, target)
	if r.Leaving || r.Known {
		h.withHome(name, func(now time.Time, p *pool.Home) { p.NoticeLeaving(now, target.ID, r.LeavesIn, r.Known) })
	}
}

// passSpeed passes what a probed upstream has stated about its current speed to a home of this instance.
func (h *homes) passSpeed(name string, target pool.Probe) {
	var m msg.UpstreamSpeed
	stated := false
	h.server.decide(func(now time.Time, g *forward.Gate) {
		if u := g.Roster().FindAt(target.Address); u != nil && u.ID == target.ID {
			m, stated = g.StatedSpeed(now, u)
		}
	})
	if stated {
		h.withHome(name, func(now time.Time, p *pool.Home) { p.OnUpstreamSpeed(now, m) })
	}
}

// sync passes the current list to every home.
func (h *homes) sync() {
	for _, name := range h.poolNames() {
		view := h.viewOf(name)
		h.mu.Lock()
		p := h.pools[name]
		if p == nil {
			h.mu.Unlock()
			continue
		}
		now := boottime.Now()
		if view.inLayout { // otherwise its upstreams are not removed but belong to other pools
			p.Sync(now, view.Listing)
		}
		p.Tick(now)
		output := h.takeOutput(name, p)
		if now.Sub(h.usedAt[name]) > homeIdleTimeout {
			delete(h.pools, name)
		}
		h.mu.Unlock()
		h.deliver(output)
	}
}

// poolNames lists the pools that have a home here, in order.
func (h *homes) poolNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.pools))
	for name := range h.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// handle processes a message for a home and returns false for any other message.
func (h *homes) handle(from string, m msg.Message) bool {
	entry := pool.Entry{Name: from, DataCentre: h.dataCentreOf(from)}
	switch m := m.(type) {
	case msg.GrantRequest:
		h.withHome(m.Pool, func(now time.Time, p *pool.Home) { p.Place(now, entry, m) })
	case msg.RankedGrantRequest:
		h.withHome(m.Grant.Pool, func(now time.Time, p *pool.Home) { p.PlaceRanked(now, entry, m) })
	case msg.GrantEnd:
		h.withHome(m.Pool, func(now time.Time, p *pool.Home) { p.End(now, m) })
	case msg.Announce:
		h.withHome(m.Pool, func(now time.Time, p *pool.Home) { p.Announce(now, entry, m) })
	case msg.FirstToken:
		h.withHome(m.Pool, func(now time.Time, p *pool.Home) { p.OnFirstToken(now, m) })
	case msg.UpstreamSpeed:
		h.withHome(m.Pool, func(now time.Time, p *pool.Home) { p.OnUpstreamSpeed(now, m) })
	case msg.MoveResult:
		h.withHome(m.Pool, func(now time.Time, p *pool.Home) { p.OnMoveResult(now, m) })
	default:
		return false
	}
	return true
}
