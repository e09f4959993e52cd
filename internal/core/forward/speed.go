package forward

import (
	"math"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

const (
	// speedTTL is how long the speed of an upstream that is not in the list is kept. Entries of
	// upstreams lapse for some seconds during an outage of the store.
	speedTTL = time.Minute
	// speedReportRatio is the ratio between the stated factor and the last reported one from which
	// the home of the upstream's pool is notified.
	speedReportRatio = 1.25
	// speedReportInterval is the minimum interval between reports about one upstream.
	speedReportInterval = 100 * time.Millisecond
)

// speed is what a run of an upstream has stated about its current speed.
type speed struct {
	slowdown.State
	// statedAt is when the last statement arrived, heardAt when that or a load that could not be
	// decoded last arrived.
	statedAt, heardAt time.Time
	// reported is the factor that this instance last reported to the home of the upstream's pool, at
	// reportedAt.
	reported   float64
	reportedAt time.Time
	// unreadableLogged is set once a load of this run that could not be decoded was logged.
	unreadableLogged bool
}

func (g *Gate) speed(now time.Time, run roster.Run) *speed {
	s := g.speeds[run]
	if s == nil {
		s = &speed{reported: slowdown.Usual}
		g.speeds[run] = s
	}
	s.heardAt = now
	return s
}

// observeSpeed records the factor that an upstream stated; 0 if it stated none. An upstream that has
// stated a factor before and states none now works as usual.
func (g *Gate) observeSpeed(now time.Time, run roster.Run, factor float64) {
	if g.options.Without.Has(mechanism.StatedSpeeds) || factor == 0 && !g.statesSpeed(run) {
		return
	}
	if factor == 0 {
		factor = slowdown.Usual
	}
	s := g.speed(now, run)
	s.Observe(now, factor)
	s.statedAt = now
}

// LoadUnreadable records that an upstream stated a load that could not be decoded, and reports whether
// this is the first one of its run.
func (g *Gate) LoadUnreadable(now time.Time, u *roster.Upstream) bool {
	s := g.speed(now, u.Run())
	first := !s.unreadableLogged
	s.unreadableLogged = true
	return first
}

// statesSpeed reports whether a run of an upstream has stated a factor.
func (g *Gate) statesSpeed(run roster.Run) bool {
	s := g.speeds[run]
	return s != nil && s.Stated()
}

// factorOver returns how many times as long as usual work is expected to take on an upstream over the
// next d.
func (g *Gate) factorOver(now time.Time, run roster.Run, d time.Duration) float64 {
	if s := g.speeds[run]; s != nil {
		return s.Over(now, d)
	}
	return slowdown.Usual
}

// StatedSpeed returns the last statement of a run of an upstream about its speed as a message to the
// home of its pool; ok is false if there is none, or if no home places work on the upstream.
func (g *Gate) StatedSpeed(now time.Time, u *roster.Upstream) (m msg.UpstreamSpeed, ok bool) {
	s, service := g.speeds[u.Run()], g.service(u.Service)
	if s == nil || !s.Stated() || service == nil || service.Engine == nil || g.options.Without.Has(mechanism.Homes) {
		return m, false
	}
	layout, _ := g.roster.Layout()
	return msg.UpstreamSpeed{
		Pool: layout.GroupOf(u.Entry).Name(), Upstream: u.ID, Boot: strconv.FormatInt(u.Born, 10),
		Percent: int(math.Round(100 * s.Last())), Age: max(now.Sub(s.statedAt), 0),
	}, true
}

// SpeedReport is like StatedSpeed. ok is also false if this instance has just reported the upstream's
// speed, or has reported nearly the same one.
func (g *Gate) SpeedReport(now time.Time, u *roster.Upstream) (m msg.UpstreamSpeed, ok bool) {
	if m, ok = g.StatedSpeed(now, u); !ok {
		return m, false
	}
	s := g.speeds[u.Run()]
	if now.Sub(s.reportedAt) < speedReportInterval || !differ(s.Last(), s.reported) {
		return m, false
	}
	s.reported, s.reportedAt = s.Last(), now
	return m, true
}

// differ reports whether one factor is at least speedReportRatio times the other.
func differ(a, b float64) bool { return max(a, b) >= speedReportRatio*min(a, b) }

// dropSpeeds drops the speeds of upstreams that have not been listed for speedTTL.
func (g *Gate) dropSpeeds(now time.Time) {
	for run, s := range g.speeds {
		if now.Sub(s.heardAt) < speedTTL {
			continue
		}
		if u := g.roster.Find(run.ID); u == nil || u.Run() != run {
			delete(g.speeds, run)
		}
	}
}
