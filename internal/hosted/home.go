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
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// homes runs the homes of pools for which this instance is asked. It serves whether or not it
// considers itself the home: two homes at once overcommit slightly and break no promise.
type homes struct {
	server  *server
	metrics *metrics.Metrics
	log     hclog.Logger
	self    string
	send    func(to string, m msg.Message)
	// dataCentreOf returns an instance's data centre, or "" if it is unknown.
	dataCentreOf func(instance string) string
	// begun is called when a home starts.
	begun func()
	// without lists disabled mechanisms.
	without mechanism.Set
	ways    mechanism.Ways
	// local delivers messages to this instance itself.
	local func(from string, m msg.Message)

	mu    sync.Mutex
	pools map[string]*pool.Home
	used  map[string]time.Time
}

const (
	// homeIdle is how long an unused home is kept.
	homeIdle = 10 * time.Second
	// syncInterval is the interval at which homes compare their ledger with the list and give
	// orders.
	syncInterval = 100 * time.Millisecond
)

// on runs a function on a pool's home, creating it if needed.
func (h *homes) on(name string, f func(now time.Time, p *pool.Home)) {
	now := boottime.Now()
	l := h.listed(name)
	if l.service == nil || l.service.Engine == nil {
		return // not known here yet: the entry chooses by itself
	}
	began := false
	h.mu.Lock()
	p := h.pools[name]
	if p == nil && !l.current {
		h.mu.Unlock()
		return // the service was divided anew, as the entry will know soon, too
	}
	if p == nil {
		p = pool.NewHome(name, *l.service.Engine, h.without, h.ways)
		h.pools[name] = p
		began = true
		p.Sync(now, l.Listing)
		h.log.Info("home_began", "pool", name, "upstreams", len(l.Upstreams))
	}
	h.used[name] = now
	f(now, p)
	done := h.collect(name, p)
	h.mu.Unlock()
	h.deliver(done)
	if began {
		h.begun() // it may know too few of the pool's upstreams
	}
}

// groups lists the groups of upstreams that the homes use.
func (h *homes) groups() []roster.Group {
	var out []roster.Group
	for _, name := range h.names() {
		if g := roster.ParseGroup(name); g.Of > 0 {
			out = append(out, g)
		}
	}
	return out
}

// collected is a home's output.
type collected struct {
	pool   string
	out    []pool.Out
	notes  []pool.Note
	probes []pool.Probe
}

func (h *homes) collect(name string, p *pool.Home) collected {
	return collected{pool: name, out: p.Take(), notes: p.Notes(), probes: p.Probes()}
}

// listing is this instance's knowledge of a pool.
type listing struct {
	// service is nil if the configuration lacks it.
	service *route.Service
	// Listing holds copies of the upstreams, which may change concurrently.
	pool.Listing
	// current is unset once the service is divided into other pools.
	current bool
}

// listed returns this instance's knowledge of a pool.
func (h *homes) listed(name string) (l listing) {
	group := roster.ParseGroup(name)
	h.server.decide(func(_ time.Time, g *forward.Gate) {
		if g.Table() == nil {
			return
		}
		layout, _ := g.Roster().Layout()
		l.current = layout.Has(group)
		l.service, l.Answered, l.Cordons = g.Table().Service(group.Service), g.Roster().Confirmed(), g.Cordons()
		if g.Confirmed().After(l.Answered) {
			l.Answered = g.Confirmed()
		}
		if l.service != nil {
			l.ColdRate = l.service.ColdRate
		}
		for _, u := range g.Roster().In(group) {
			c := *u
			c.ColdUntil = g.ColdUntil(u)
			l.Upstreams = append(l.Upstreams, &c)
		}
	})
	return l
}

func (h *homes) deliver(c collected) {
	for _, q := range c.probes {
		go h.probe(c.pool, q)
	}
	for _, n := range c.notes {
		h.metrics.Count("home_decisions_total", n.Event)
		h.log.Info(n.Event, n.Pairs...)
	}
	for _, o := range c.out {
		if o.To == h.self {
			h.local(h.self, o.Msg)
		} else {
			h.send(o.To, o.Msg)
		}
	}
}

// probe asks an upstream for its state and tells the home if it is leaving.
func (h *homes) probe(name string, l pool.Probe) {
	h.metrics.Count("upstream_questions_total", name)
	r, err := h.server.askLeaving(context.Background(), l.Address)
	switch {
	case errors.Is(err, errUnreadable):
		h.log.Warn("upstream_report_unreadable", "upstream", l.ID, "pool", name, "error", err)
		return
	case err != nil:
		h.log.Info("upstream_silent", "upstream", l.ID, "pool", name, "error", err)
		h.on(name, func(now time.Time, p *pool.Home) { p.Unreachable(now, l.ID) })
		return
	}
	if r.Leaving || r.Known {
		h.on(name, func(now time.Time, p *pool.Home) { p.Leaves(now, l.ID, r.LeavesIn, r.Known) })
	}
}

// sync passes the current list to every home.
func (h *homes) sync() {
	for _, name := range h.names() {
		l := h.listed(name)
		h.mu.Lock()
		p := h.pools[name]
		if p == nil {
			h.mu.Unlock()
			continue
		}
		now := boottime.Now()
		if l.current { // else its upstreams have not gone: other pools have them
			p.Sync(now, l.Listing)
		}
		p.Tick(now)
		done := h.collect(name, p)
		if now.Sub(h.used[name]) > homeIdle {
			delete(h.pools, name)
		}
		h.mu.Unlock()
		h.deliver(done)
	}
}

func (h *homes) names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.pools))
	for name := range h.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// take handles a message for a home and returns false for any other.
func (h *homes) take(from string, m msg.Message) bool {
	entry := pool.Entry{Name: from, DataCentre: h.dataCentreOf(from)}
	switch m := m.(type) {
	case msg.GrantAsk:
		h.on(m.Pool, func(now time.Time, p *pool.Home) { p.Ask(now, entry, m) })
	case msg.GrantEnd:
		h.on(m.Pool, func(now time.Time, p *pool.Home) { p.End(now, m) })
	case msg.Announce:
		h.on(m.Pool, func(now time.Time, p *pool.Home) { p.Announce(now, entry, m) })
	case msg.Begun:
		h.on(m.Pool, func(now time.Time, p *pool.Home) { p.Begun(now, m) })
	case msg.Moved:
		h.on(m.Pool, func(now time.Time, p *pool.Home) { p.Moved(now, m) })
	default:
		return false
	}
	return true
}
