package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// Drain sends callers elsewhere and ends the process once nothing runs or the grace period is
// over.
func (i *Instance) Drain() {
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		i.server.leaving = true
		g.Drain()
	})
	i.log.Info("draining", "name", i.settings.Name, "open_requests", i.server.open(), "grace", i.settings.Grace)
	i.peers.heartbeat()
	go i.waitDrained()
}

func (i *Instance) waitDrained() {
	began := time.Now()
	for {
		time.Sleep(50 * time.Millisecond)
		since := time.Since(began)
		lingered := since > lingerTTLs*entryTTL+time.Second
		if lingered && i.server.open() == 0 || since > i.current().Grace-drainMargin {
			close(i.drained)
			return
		}
	}
}
