package forward

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// LearnLeaving records that a run of an upstream has stated that it leaves, in a response to this
// instance or to another one, and reports whether this was not known before. From then on the
// upstream gets no new work of this instance, whatever the list says: the list may be old, as the
// store may be silent.
func (g *Gate) LearnLeaving(now time.Time, run roster.Run) bool {
	known := !g.roster.LeftAt(run).IsZero()
	g.roster.MarkRunLeaving(now, run)
	if u := g.unlisted[run.ID]; u != nil && u.Run() == run && u.LeavingSince.IsZero() {
		u.LeavingSince = now
	}
	return !known
}
