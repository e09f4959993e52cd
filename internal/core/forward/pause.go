package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// pause is a time for which an upstream wants nothing from this instance.
type pause struct {
	until time.Time
	// sent counts the requests that were sent to the upstream meanwhile.
	sent int
}

// ObservePause records that an upstream has turned a request away and wants nothing from this
// instance for a duration. It returns the number of requests that were sent to it in an earlier pause
// that has not ended.
func (g *Gate) ObservePause(now time.Time, u *roster.Upstream, d time.Duration) (sent int) {
	p := g.pauses[u.Run()]
	if p == nil || !now.Before(p.until) {
		p = &pause{}
		g.pauses[u.Run()] = p
	}
	if until := now.Add(d); until.After(p.until) {
		p.until = until
	}
	return p.sent
}
