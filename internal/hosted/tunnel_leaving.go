package hosted

import (
	"net"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// leaveTunnelsThroughLeaving stops the use of tunnels through instances that are leaving. Idle ones are closed.
// Generations whose streams pass such a tunnel are moved: they may last longer than the instance, and their
// callers would lose them as it ends. Other requests end before that.
func (i *Instance) leaveTunnelsThroughLeaving() {
	leaving := map[string]bool{}
	i.peers.with(func(_ time.Time, v *fleet.Fleet) {
		for _, m := range v.Others() {
			leaving[m.Name] = m.Leaving
		}
	})
	through := func(c net.Conn) bool {
		t, ok := c.(*countedTunnel)
		return ok && leaving[t.via]
	}
	i.server.conns.Drop(func(_ string, c net.Conn) bool { return through(c) })
	var streams []silentAttempt
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		for _, x := range i.server.running {
			if x.conn != nil && through(x.conn.Conn) && x.activeMove == nil && g.IsMovable(x.call) {
				streams = append(streams, silentAttempt{exchange: x, attempt: x.call.Current()})
			}
		}
	})
	for _, s := range streams {
		go s.exchange.resumeElsewhere(s.attempt, s.exchange.copyThenStop)
	}
}
