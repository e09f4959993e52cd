package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// ObserveLeaving records that an upstream stated in a response that it leaves. It reports whether
// this was the first such statement of its run.
func (g *Gate) ObserveLeaving(now time.Time, u *roster.Upstream) bool {
	if _, known := g.leftAt[u.Run()]; known {
		return false
	}
	g.leftAt[u.Run()] = now
	return true
}
