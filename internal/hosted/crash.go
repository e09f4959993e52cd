package hosted

import (
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// crashProbeTimeout limits the dial that distinguishes a crashed upstream from a broken
// connection.
const crashProbeTimeout = 300 * time.Millisecond

// suspectCrash checks whether an upstream whose attempt broke off has crashed. If it has, a
// strike against the request is recorded at every instance, because some requests crash every
// upstream that runs them. Leaving and cold upstreams are not checked.
func (s *server) suspectCrash(c *forward.Call, a *forward.Attempt, o forward.Outcome) {
	if o != forward.Lost && o != forward.Cut || s.isLeavingUpstream(a) || s.isCold(a) {
		return
	}
	go func() {
		probed := s.conns.Dial.Probe(a.Entry.Address, crashProbeTimeout)
		if probed != conn.Refused && probed != conn.TimedOut {
			return
		}
		crash := suspect.Crash{Upstream: a.Entry.ID, Boot: strconv.FormatInt(a.Entry.Born, 10)}
		first := false
		s.decide(func(now time.Time, g *forward.Gate) {
			first = g.Strike(now, suspect.Strike{Fingerprint: c.Fingerprint, Crash: crash, At: now})
		})
		if !first {
			return
		}
		s.metrics.Count("strikes_total", c.Service)
		s.log.Info("strike", "request", c.ID, "print", c.Fingerprint, "upstream", crash.Upstream, "boot", crash.Boot, "probe", probed)
		s.homes.broadcast(msg.Strike{Fingerprint: c.Fingerprint, Upstream: crash.Upstream, Boot: crash.Boot})
	}()
}

// isCold reports whether an attempt's upstream is cold. A cold upstream crashes under too many
// requests, and then no single request is the cause.
func (s *server) isCold(a *forward.Attempt) (cold bool) {
	s.decide(func(now time.Time, g *forward.Gate) { cold = now.Before(g.ColdUntil(a.Upstream)) })
	return cold
}

// isLeavingUpstream reports whether an attempt's upstream is known to be leaving.
func (s *server) isLeavingUpstream(a *forward.Attempt) (leaving bool) {
	s.decide(func(time.Time, *forward.Gate) { leaving = a.Leaving() })
	return leaving
}

// announceFailing announces to the other instances that an upstream gave no usable response. It
// skips calls that a pool's home has placed, since the home is notified of the end of every
// attempt.
func (s *server) announceFailing(c *forward.Call, a *forward.Attempt, o forward.Outcome) {
	if o != forward.Lost || c.Pool != "" || s.isLeavingUpstream(a) {
		return
	}
	s.metrics.Count("upstreams_failing_total", "told")
	s.log.Info("upstream_failing_announced", "request", c.ID, "upstream", a.Entry.ID, "outcome", o)
	s.homes.broadcast(msg.UpstreamFailing{Upstream: a.Entry.ID, Born: a.Entry.Born})
}

// onFailing handles another instance's announcement that an upstream gave no usable response.
func (s *server) onFailing(from string, m msg.UpstreamFailing) {
	s.metrics.Count("upstreams_failing_total", "heard")
	s.decide(func(now time.Time, g *forward.Gate) { g.ReportFailure(now, m.Upstream, m.Born) })
	s.log.Info("upstream_failing", "upstream", m.Upstream, "source", from)
}

// onStrike records a strike that another instance has announced.
func (s *server) onStrike(m msg.Strike) {
	s.decide(func(now time.Time, g *forward.Gate) {
		g.Strike(now, suspect.Strike{
			Fingerprint: m.Fingerprint, At: now.Add(-m.Age),
			Crash: suspect.Crash{Upstream: m.Upstream, Boot: m.Boot},
		})
	})
}
