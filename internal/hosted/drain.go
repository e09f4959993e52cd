package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// Drain directs callers to other instances and ends Serve once no request is in progress or the
// grace period is over.
func (i *Instance) Drain() {
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		i.server.leaving = true
		g.Drain()
	})
	i.log.Info("draining", "name", i.settings.Name, "open_requests", i.server.openRequests(), "grace", i.settings.Grace)
	i.peers.sendHeartbeats()
	i.server.origins.handOver()
	go i.waitDrained()
}

// waitDrained closes drained once no request and no tunnel is in progress, at the earliest when callers no
// longer use this instance's address, or when the grace period is almost over.
func (i *Instance) waitDrained() {
	began := time.Now()
	for {
		time.Sleep(50 * time.Millisecond)
		since := time.Since(began)
		lingered := since > lingerTTLs*directoryTTL+time.Second
		if lingered && i.server.openRequests() == 0 && i.tunnels.open.Load() == 0 || since > i.current().Grace-drainMargin {
			close(i.drained)
			return
		}
	}
}
