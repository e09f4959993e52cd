package hosted

import (
	"net"
	"sync/atomic"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// leavingPeers holds the names of the other instances that are known to leave.
type leavingPeers struct {
	names atomic.Pointer[map[string]bool]
}

// set replaces the names.
func (l *leavingPeers) set(names map[string]bool) { l.names.Store(&names) }

// carry reports whether one of the instances carries a connection.
func (l *leavingPeers) carry(c net.Conn) bool {
	names := l.names.Load()
	return names != nil && (*names)[viaOf(c)]
}

// leaveTunnelsThroughLeaving stops the use of tunnels through instances that are leaving. Idle ones are closed, and
// those in use are not kept for another exchange: while the requester is busy, a tunnel is hardly ever idle.
// Generations whose streams pass such a tunnel are moved: they may last longer than the instance, and their
// callers would lose them as it ends. Other requests end before that.
func (i *Instance) leaveTunnelsThroughLeaving() {
	leaving := map[string]bool{}
	i.peers.with(func(_ time.Time, v *fleet.Fleet) {
		for _, m := range v.Others() {
			if m.Leaving {
				leaving[m.Name] = true
			}
		}
	})
	i.leaving.set(leaving)
	i.server.conns.Drop(func(_ string, c net.Conn) bool { return i.leaving.carry(c) })
	var streams []silentAttempt
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		for _, x := range i.server.running {
			if x.conn != nil && i.leaving.carry(x.conn.Conn) && x.activeMove == nil && g.IsMovable(x.call) {
				streams = append(streams, silentAttempt{exchange: x, attempt: x.call.Current()})
			}
		}
	})
	for _, s := range streams {
		go s.exchange.resumeElsewhere(s.attempt, s.exchange.copyThenStop)
	}
}
