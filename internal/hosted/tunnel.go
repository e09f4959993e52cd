package hosted

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/reach"
	"mulberrylug.example/mulberrylug/internal/peer"
)

const (
	// tunnelBytes is the memory that a tunnel uses: its buffers and the stacks of two goroutines.
	tunnelBytes = peer.ToUpstreamBuffer + peer.FromUpstreamBuffer + 16<<10
	// tunnelShare is the maximum number of tunnels as a share of the maximum number of callers'
	// connections. A tunnel takes two descriptors.
	tunnelShare = 0.25
	// maxTunnels is the maximum number if the number of callers' connections is not limited.
	maxTunnels = 1024
)

// tunnels connects other instances, which have lost their paths, to upstreams.
type tunnels struct {
	server *server
	paths  *paths
	limit  int
	open   atomic.Int64
}

// newTunnels returns the tunnels of an instance that may have a number of callers' connections; 0 means no
// limit.
func newTunnels(s *server, p *paths, callerConnections int) *tunnels {
	t := &tunnels{server: s, paths: p, limit: maxTunnels}
	if callerConnections > 0 {
		t.limit = max(int(tunnelShare*float64(callerConnections)), 1)
	}
	return t
}

// serve handles a request for a tunnel. It connects directly only: a tunnel passes one instance.
func (t *tunnels) serve(from string, m msg.TunnelRequest, end *peer.Tunnel) {
	h := t.server.memory.newHold()
	defer h.releaseAll()
	defer t.open.Add(-1)
	status, upstream := msg.TunnelNoRoom, net.Conn(nil)
	if t.open.Add(1) <= int64(t.limit) && !t.server.isLeaving() && h.reserve(memory.Responses, tunnelBytes) {
		status, upstream = t.connect(m)
	}
	t.server.metrics.Count("tunnels_served_total", string(status))
	if err := end.Respond(status); err != nil || upstream == nil {
		t.server.log.Debug("tunnel_not_opened", "peer", from, "upstream", m.Upstream, "address", m.Address, "status", status, "error", err)
		if upstream != nil {
			upstream.Close()
		}
		return
	}
	if t.isWatched(m) {
		_ = conn.Watch(upstream, true) // fails only on a closed connection, on which Carry fails, too
	}
	if err := end.Carry(upstream); err != nil {
		t.server.log.Debug("tunnel_ended", "peer", from, "upstream", m.Upstream, "address", m.Address, "error", err)
	}
}

// isWatched reports whether the requester watches the streams that pass a tunnel. An upstream that this instance
// does not know, or of whose service it does not know yet, may be an engine.
func (t *tunnels) isWatched(m msg.TunnelRequest) (watched bool) {
	t.server.decide(func(_ time.Time, g *forward.Gate) {
		u := g.Roster().Find(m.Upstream)
		watched = u == nil || g.Table() == nil || g.QueriesService(u.Service)
	})
	return watched
}

// connect makes the connection that a request asks for.
func (t *tunnels) connect(m msg.TunnelRequest) (msg.TunnelStatus, net.Conn) {
	address, known := t.addressOf(m)
	if !known {
		return msg.TunnelUnknown, nil
	}
	way := reach.Direct
	t.paths.with(func(now time.Time, s *reach.Paths) { way = s.Way(now, address) })
	if way != reach.Direct {
		return msg.TunnelNoPath, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(m.Timeout, tunnelTimeout))
	defer cancel()
	c, err := t.paths.direct(ctx, address)
	switch {
	case err == nil:
		t.paths.connected(address)
		return msg.TunnelOpen, c
	case t.paths.credible(address, err):
		return msg.TunnelDown, nil
	}
	return msg.TunnelNoPath, nil
}

// addressOf returns the address to connect to, and whether it is that of an upstream. An instance that
// knows only some groups of the upstreams trusts the requester.
func (t *tunnels) addressOf(m msg.TunnelRequest) (address string, known bool) {
	t.server.decide(func(_ time.Time, g *forward.Gate) {
		u := g.Roster().Find(m.Upstream)
		if u == nil {
			u = g.Roster().FindAt(m.Address)
		}
		layout, _ := g.Roster().Layout()
		switch {
		case u != nil:
			address, known = u.Address, true
		case len(layout) > 0:
			address, known = m.Address, true
		}
	})
	return address, known
}
