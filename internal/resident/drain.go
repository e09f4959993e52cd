package resident

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
)

// Drain leaves: callers are sent elsewhere, and the process ends once nothing
// runs any more or the grace is over.
func (r *Resident) Drain() {
	r.server.decide(func(_ time.Time, g *forward.Gate) {
		r.server.leaving = true
		g.Drain()
	})
	r.log.Info("draining", "name", r.settings.Name, "open_requests", r.server.open(), "grace", r.settings.Grace)
	r.fellows.beat(false)
	go r.waitDrained()
}

func (r *Resident) waitDrained() {
	began := time.Now()
	for {
		time.Sleep(50 * time.Millisecond)
		since := time.Since(began)
		lingered := since > lingerTTLs*entryTTL+time.Second
		if lingered && r.server.open() == 0 || since > r.current().Grace-drainMargin {
			close(r.drained)
			return
		}
	}
}
