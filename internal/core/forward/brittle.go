package forward

import (
	"cmp"
	"math"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/statement"
)

// An upstream of a plain service may state that it is brittle: it falls over if it has to turn more than a few requests
// away in a second, of all instances together. Each instance alone cannot know what room the others leave. A
// brittle upstream is therefore treated as if it stated a rate limit, of a part of what it can work off, which
// the home of the limit divides among all instances.
const (
	// brittleShare is the part of what a brittle upstream can work off that it gets. The rest keeps its queue
	// short, of which it may let fewer wait at any time.
	brittleShare = 0.7
	// brittleCut is the factor by which the limit falls once the upstream turns a request away, at most once in
	// brittleCutInterval and down to minBrittleFactor. After brittleRegain without that it rises again.
	brittleCut         = 0.8
	brittleCutInterval = time.Second
	minBrittleFactor   = 0.25
	brittleRegain      = 10 * time.Second
	// brittleTolerance is the relative change below which a limit is kept. Instances measure the service time
	// with that much difference.
	brittleTolerance = 0.3
)

// brittle is the state of an upstream that states that it is brittle.
type brittle struct {
	// factor lowers the limit, since cutAt.
	factor float64
	cutAt  time.Time
}

// paceBrittle returns what an upstream states, with a rate limit if it states that it is brittle.
func (g *Gate) paceBrittle(now time.Time, u *roster.Upstream, s statement.Statement) statement.Statement {
	service := g.service(u.Service)
	if s.Brittle == 0 || service == nil || service.Engine != nil {
		delete(g.brittle, u.Run())
		return s
	}
	slots, mean := cmp.Or(g.load(u).report.Slots, u.Slots), g.serviceTime(u.Service)
	if slots == 0 || mean == 0 {
		// This instance cannot compute a limit yet. One that another instance has announced must not end for that.
		if known := g.limits[u.Run()]; known != nil {
			s.RateLimit = known.limit
		}
		return s
	}
	b := g.brittle[u.Run()]
	switch {
	case b == nil:
		b = &brittle{factor: 1}
		g.brittle[u.Run()] = b
	case b.factor < 1 && now.Sub(b.cutAt) > brittleRegain:
		b.factor, b.cutAt = min(b.factor/brittleCut, 1), now
	}
	rate := brittleShare * b.factor * float64(slots) / mean.Seconds()
	if known := g.limits[u.Run()]; known != nil && math.Abs(rate-known.limit.PerSecond) < brittleTolerance*known.limit.PerSecond && now.Sub(b.cutAt) > brittleCutInterval {
		rate = known.limit.PerSecond
	}
	if s.RateLimit.Stated {
		rate = min(rate, s.RateLimit.PerSecond)
	}
	s.RateLimit = ratelimit.Of(rate)
	return s
}

// cutBrittle lowers the limit of a brittle upstream that has turned a request away.
func (g *Gate) cutBrittle(now time.Time, u *roster.Upstream) {
	if b := g.brittle[u.Run()]; b != nil && now.Sub(b.cutAt) > brittleCutInterval {
		b.factor, b.cutAt = max(b.factor*brittleCut, minBrittleFactor), now
	}
}
