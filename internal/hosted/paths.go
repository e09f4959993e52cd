package hosted

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/reach"
	"mulberrylug.example/mulberrylug/internal/metrics"
	"mulberrylug.example/mulberrylug/internal/peer"
)

const (
	// directHeadStart is how long a direct connection attempt has before a tunnel is requested, too. A
	// connection within a region takes a few milliseconds, one between regions 20 ms more.
	directHeadStart = 150 * time.Millisecond
	// tunnelHeadStart is how long an instance that was asked for a tunnel has before another one is asked.
	tunnelHeadStart = 100 * time.Millisecond
	// tunnelTimeout limits the connection attempt of the instance that is asked.
	tunnelTimeout = 500 * time.Millisecond
	// maxTunnelRequests is the maximum number of instances that are asked for one connection.
	maxTunnelRequests = 4
	// checkTimeout limits the check of a path.
	checkTimeout = 900 * time.Millisecond
	// pathProbeInterval is the interval between checks for due probes of lost paths.
	pathProbeInterval = reach.ProbeInterval / 2
)

// errUpstreamDown reports that an upstream does not accept connections, not only those of this instance.
var errUpstreamDown = errors.New("upstream is down")

// paths makes the connections to upstreams: directly, or through another instance if this one's own path
// is lost.
type paths struct {
	// direct makes direct connections.
	direct conn.DialFunc
	// tunnelPeers lists the instances to be asked for tunnels to an upstream of a data centre. open requests
	// a tunnel.
	tunnelPeers func(dataCentre string, open map[string]int) []msg.Heartbeat
	open        func(ctx context.Context, via, address string, m msg.TunnelRequest) (net.Conn, error)
	// upstreamAt returns the id and the data centre of the upstream at an address, "" if unknown.
	// witness returns the address of another upstream, near that one if possible, or "".
	upstreamAt func(address string) (id, dataCentre string)
	witness    func(address string) string
	pool       *conn.Pool
	metrics    *metrics.Metrics
	log        hclog.Logger

	mu    sync.Mutex
	state *reach.Paths
	// tunnels counts the open tunnels by the instance that they pass.
	tunnels map[string]int
}

func newPaths(s *server, m *metrics.Metrics, log hclog.Logger) *paths {
	p := &paths{pool: s.conns, metrics: m, log: log, state: reach.New(), tunnels: map[string]int{}, direct: s.conns.Dial}
	p.upstreamAt = func(address string) (id, dataCentre string) {
		s.decide(func(_ time.Time, g *forward.Gate) {
			if u := g.Roster().FindAt(address); u != nil {
				id, dataCentre = u.ID, u.DataCentre
			}
		})
		return id, dataCentre
	}
	p.witness = func(address string) (witness string) {
		s.decide(func(_ time.Time, g *forward.Gate) { witness = g.Roster().Neighbour(address, rand.IntN) })
		return witness
	}
	s.conns.Dial = p.dial
	return p
}

// with runs a function on the state of the paths while holding the lock.
func (p *paths) with(f func(now time.Time, state *reach.Paths)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(boottime.Now(), p.state)
}

// attempt is the result of one attempt to connect to an upstream.
type attempt struct {
	conn net.Conn
	err  error
	// via is the instance through which the connection passes, "" for a direct one.
	via string
}

// dial connects to an upstream on the fastest way that works: directly and, if that fails or takes long,
// through other instances. If the path is known to be lost it begins with those. The error wraps
// errUpstreamDown if the upstream itself does not accept connections.
func (p *paths) dial(ctx context.Context, address string) (net.Conn, error) {
	var way reach.Way
	var down bool
	headStart := directHeadStart
	p.with(func(now time.Time, s *reach.Paths) {
		way, down = s.Way(now, address), s.Down(now, address)
		if s.RecentlyHeard(now, address) {
			headStart = reach.SilenceLimit
		}
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &dialRace{
		paths: p, ctx: ctx, address: address, results: make(chan attempt, maxTunnelRequests+1), directHeadStart: headStart,
		peers: sync.OnceValue(func() []msg.Heartbeat { return p.peersFor(address) }), confirmedDown: down, wasDown: down,
	}
	return r.run(way)
}

// peersFor lists the instances to be asked for a tunnel to an upstream.
func (p *paths) peersFor(address string) []msg.Heartbeat {
	_, dataCentre := p.upstreamAt(address)
	p.mu.Lock()
	open := make(map[string]int, len(p.tunnels))
	for via, n := range p.tunnels {
		open[via] = n
	}
	p.mu.Unlock()
	list := p.tunnelPeers(dataCentre, open)
	return list[:min(len(list), maxTunnelRequests)]
}

// dialRace is a connection attempt in several ways, of which the first that succeeds is used.
type dialRace struct {
	paths   *paths
	ctx     context.Context
	address string
	results chan attempt
	// directHeadStart is how long the direct attempt has before a tunnel is requested.
	directHeadStart time.Duration
	// peers lists the instances to be asked for a tunnel. It is called only if the direct attempt is not fast:
	// in a large fleet the list is long. asked counts those that were asked.
	peers func() []msg.Heartbeat
	asked int
	// directStarted is set once a direct attempt was started, and pending counts all attempts in progress.
	directStarted bool
	pending       int
	// directErr is the error of the direct attempt, err that of the last attempt. confirmedDown is set if
	// the upstream was found to be down, by another instance or a moment ago.
	// wasDown is set if that was known before.
	directErr, err         error
	confirmedDown, wasDown bool
}

// run starts attempts until one succeeds or all have failed.
func (r *dialRace) run(way reach.Way) (net.Conn, error) {
	if way == reach.Direct || !r.next() {
		r.startDirect()
	}
	timer := time.NewTimer(r.headStart())
	defer timer.Stop()
	for r.pending > 0 || r.next() {
		select {
		case <-r.ctx.Done():
			r.abandon()
			return nil, fmt.Errorf("dial %s: %w", r.address, r.ctx.Err())
		case <-timer.C:
			r.next()
			timer.Reset(r.headStart())
		case a := <-r.results:
			r.pending--
			if a.err == nil {
				return r.won(a), nil
			}
			if r.failed(a); r.confirmedDown && r.directErr != nil {
				r.abandon()
				return nil, r.down()
			}
			r.next()
			timer.Reset(r.headStart())
		}
	}
	return nil, r.allFailed()
}

// headStart returns how long the attempts in progress have before the next one is started.
func (r *dialRace) headStart() time.Duration {
	if r.directStarted && r.pending == 1 {
		return r.directHeadStart
	}
	return tunnelHeadStart
}

// next starts the next attempt and reports whether there was one left. An upstream that another instance
// found to be down is still tried directly, as that instance's path may be the reason.
func (r *dialRace) next() bool {
	switch {
	case !r.confirmedDown && r.asked < len(r.peers()):
		via := r.peers()[r.asked]
		r.asked++
		r.start(via.Name, func() (net.Conn, error) { return r.paths.tunnel(r.ctx, via, r.address) })
	case !r.directStarted:
		r.startDirect()
	default:
		return false
	}
	return true
}

// startDirect starts the direct attempt. It goes on if a tunnel is faster: a connection that is made
// later shows that the path works, and is kept.
func (r *dialRace) startDirect() {
	r.directStarted = true
	ctx := context.WithoutCancel(r.ctx)
	r.start("", func() (net.Conn, error) { return r.paths.direct(ctx, r.address) })
}

// start makes an attempt in the background. The channel has room for all results.
func (r *dialRace) start(via string, dial func() (net.Conn, error)) {
	r.pending++
	go func() {
		c, err := dial()
		if err == nil && via == "" {
			r.paths.connected(r.address)
		}
		r.results <- attempt{conn: c, err: err, via: via}
	}()
}

// won processes the first successful attempt.
func (r *dialRace) won(a attempt) net.Conn {
	if a.via != "" && r.directStarted {
		r.paths.bypassed(r.address, a.via, r.directErr)
	}
	r.abandon()
	if a.via == "" {
		return a.conn
	}
	return r.paths.count(a)
}

// abandon leaves the other attempts: their connections are closed, except a direct one, which is kept for
// the next request.
func (r *dialRace) abandon() {
	pending, address := r.pending, r.address
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			switch a := <-r.results; {
			case a.err != nil:
			case a.via == "":
				r.paths.pool.Adopt(a.conn, address)
			default:
				a.conn.Close()
			}
		}
	}()
}

// failed processes a failed attempt.
func (r *dialRace) failed(a attempt) {
	r.err = a.err
	if a.via == "" {
		r.directErr = a.err
		return
	}
	var refused *peer.TunnelError
	status := "unreachable"
	if errors.As(a.err, &refused) {
		status = string(refused.Status)
		r.confirmedDown = r.confirmedDown || refused.Status == msg.TunnelDown
	}
	r.paths.metrics.Count("tunnels_total", status)
}

// down returns the error for an upstream that is down. What was known before is not recorded again: this
// instance alone would otherwise keep it for ever.
func (r *dialRace) down() error {
	if !r.wasDown {
		r.paths.with(func(now time.Time, s *reach.Paths) { s.FoundDown(now, r.address) })
	}
	return fmt.Errorf("%w: %w", errUpstreamDown, r.directErr)
}

// allFailed returns the error if no attempt succeeded. Without another instance's word, the upstream counts
// as down if this instance reaches others.
func (r *dialRace) allFailed() error {
	if r.directErr != nil && r.paths.credible(r.address, r.directErr) {
		return r.down()
	}
	return r.err
}

// credible reports whether a failed direct attempt shows that the upstream is down, and not that this
// instance's own path to it is lost: this instance connects to another upstream at that moment.
func (p *paths) credible(address string, err error) (ok bool) {
	if conn.ResultOf(err) == conn.ProbeFailed {
		return false
	}
	p.with(func(now time.Time, s *reach.Paths) { ok = s.Down(now, address) || s.ReachesOthers(now, address) })
	if ok {
		return true
	}
	witness := p.witness(address)
	if witness == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), directHeadStart)
	defer cancel()
	c, err := p.direct(ctx, witness)
	if err != nil {
		return false
	}
	p.connected(witness)
	p.pool.Adopt(c, witness)
	return true
}

// tunnel requests a connection to an upstream through another instance.
func (p *paths) tunnel(ctx context.Context, via msg.Heartbeat, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout+directHeadStart+tunnelHeadStart)
	defer cancel()
	id, _ := p.upstreamAt(address)
	return p.open(ctx, via.Name, via.PeerAddress, msg.TunnelRequest{Upstream: id, Address: address, Timeout: tunnelTimeout})
}

// count counts a tunnel until it is closed.
func (p *paths) count(a attempt) net.Conn {
	p.metrics.Count("tunnels_total", string(msg.TunnelOpen))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tunnels[a.via]++
	return &countedTunnel{Conn: a.conn, via: a.via, closed: sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.tunnels[a.via]--; p.tunnels[a.via] == 0 {
			delete(p.tunnels, a.via)
		}
	})}
}

// countedTunnel is a connection through another instance.
type countedTunnel struct {
	net.Conn
	via    string
	closed func()
}

// Close implements net.Conn.
func (c *countedTunnel) Close() error {
	c.closed()
	return c.Conn.Close()
}

// isTunnel reports whether a connection passes another instance.
func isTunnel(c net.Conn) bool {
	_, ok := c.(*countedTunnel)
	return ok
}

// viaOf returns the instance that a connection passes, "" for a direct one.
func viaOf(c net.Conn) string {
	if t, ok := c.(*countedTunnel); ok {
		return t.via
	}
	return ""
}

// connected records a direct connection to an upstream. Tunnels that are idle are no longer needed.
func (p *paths) connected(address string) {
	var change reach.Change
	isolated := false
	p.with(func(now time.Time, s *reach.Paths) {
		isolated = s.Isolated()
		change = s.Connected(now, address)
	})
	if change != reach.Restored {
		return
	}
	id, _ := p.upstreamAt(address)
	p.metrics.Count("paths_total", "restored")
	p.log.Info("path_restored", "upstream", id, "address", address, "was_isolated", isolated)
	p.pool.Drop(func(a string, c net.Conn) bool { return isTunnel(c) && (isolated || a == address) })
}

// bypassed records that another instance reached an upstream while a direct attempt did not. Idle
// connections on the lost path would fail the requests that are sent on them.
func (p *paths) bypassed(address, via string, directErr error) {
	change := reach.None
	p.with(func(now time.Time, s *reach.Paths) { change = s.Bypassed(now, address) })
	if change == reach.None {
		return
	}
	id, _ := p.upstreamAt(address)
	p.metrics.Count("paths_total", "lost")
	p.log.Info("path_lost", "upstream", id, "address", address, "via", via, "isolated", change == reach.Isolated, "error", directErr)
	p.pool.Drop(func(a string, c net.Conn) bool { return !isTunnel(c) && (change == reach.Isolated || a == address) })
}

// heard records a response of an upstream on a connection.
func (p *paths) heard(c *conn.Conn, address string) {
	if !isTunnel(c.Conn) {
		p.with(func(now time.Time, s *reach.Paths) { s.Heard(now, address) })
	}
}

// isolated reports whether this instance reaches no upstream itself.
func (p *paths) isolated() (isolated bool) {
	p.with(func(_ time.Time, s *reach.Paths) { isolated = s.Isolated() })
	return isolated
}

// finding is what is known about an upstream after a check.
type finding string

// Findings about upstreams.
const (
	// findingListening: the upstream accepts connections of this instance.
	findingListening finding = "listening"
	// findingPathLost: only other instances reach the upstream.
	findingPathLost finding = "path_lost"
	// findingDown: the upstream refuses connections. findingSilent: it does not respond to them, as if it were
	// down, but it may be sound and go on.
	findingDown   finding = "down"
	findingSilent finding = "silent"
	// findingUnknown: this instance does not reach the upstream, and that may be due to its own path.
	findingUnknown finding = "unknown"
)

// isAboutUpstream reports whether a finding is about the upstream, and not about this instance's own path to it.
func (f finding) isAboutUpstream() bool {
	return f == findingListening || f == findingDown || f == findingSilent
}

// check connects to an upstream to find out why it has failed a request or is silent. The connection is
// kept for the next request.
func (p *paths) check(address string) finding {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	f := findingUnknown
	switch {
	case errors.Is(err, errUpstreamDown) && conn.ResultOf(err) == conn.TimedOut:
		f = findingSilent
	case errors.Is(err, errUpstreamDown):
		f = findingDown
	case err == nil && isTunnel(c):
		f = findingPathLost
	case err == nil:
		f = findingListening
	}
	if err == nil {
		p.pool.Adopt(c, address)
	}
	p.metrics.Count("path_checks_total", string(f))
	return f
}

// checkSilent checks the path to an upstream if nothing was heard of it for a while.
func (p *paths) checkSilent(address string) {
	due := false
	p.with(func(now time.Time, s *reach.Paths) { due = s.CheckDue(now, address) })
	if due {
		p.log.Info("silent_path_checked", "address", address, "finding", p.check(address))
	}
}

// probeLost tries a lost path directly if that is due, and drops the state of unused paths.
func (p *paths) probeLost(ctx context.Context) {
	var address string
	p.with(func(now time.Time, s *reach.Paths) {
		s.Sweep(now)
		address = s.Probe(now)
	})
	if address == "" {
		return
	}
	c, err := p.direct(ctx, address)
	if err != nil {
		return // the path is still lost
	}
	p.connected(address)
	p.pool.Adopt(c, address)
}

// tunnelPeers lists the instances to be asked for a tunnel to an upstream of a data centre.
func (i *Instance) tunnelPeers(dataCentre string, open map[string]int) (list []msg.Heartbeat) {
	i.peers.with(func(now time.Time, v *fleet.Fleet) { list = v.TunnelPeers(now, dataCentre, rand.Shuffle, open) })
	return list
}

// openTunnel requests a tunnel from another instance.
func (i *Instance) openTunnel(ctx context.Context, via, address string, m msg.TunnelRequest) (net.Conn, error) {
	return i.peers.transport.OpenTunnel(ctx, via, address, m)
}
