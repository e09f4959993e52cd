package hosted

import (
	"context"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// silenceLimit is the time after which an upstream that still does not respond has crashed. A sound one may be
// silent for a second or two, which is no sign against the requests that it runs.
const silenceLimit = 2 * time.Second

// brokenOff reports whether an attempt ended without showing whether the upstream, the path to it or a lack of memory
// here was the reason. The upstream may still run the request.
func brokenOff(o forward.Outcome) bool {
	return o == forward.Lost || o == forward.Cut || o == forward.Unread
}

// findCrash finds out whether the upstream of an attempt that broke off has crashed, if that may be due to a
// part of the prompt: the request must then not be sent to another upstream before others know of it. In
// other cases it returns "".
func (x *exchange) findCrash(a *forward.Attempt, o forward.Outcome) (f finding) {
	s := x.server
	may := false
	s.decide(func(_ time.Time, g *forward.Gate) { may = g.MayCrashByPart(x.call) })
	if !brokenOff(o) || !may || x.isConvicted() || s.isLeavingUpstream(a) {
		return ""
	}
	f = s.paths.check(a.Entry.Address)
	if f == findingDown && !s.isCold(a) {
		s.strike(x.call, a)
	}
	return f
}

// assessFailure finds out whether the upstream of an attempt that broke off was the reason, and only then
// tells others: the upstream accepts connections of this instance and gave no usable response, or it is
// down. What is due to this instance's own path says nothing about the upstream. f is the finding if there is
// one already, or "".
func (x *exchange) assessFailure(a *forward.Attempt, o forward.Outcome, f finding, grant string, endsGrant bool) {
	s := x.server
	if !brokenOff(o) || o == forward.Unread || x.isConvicted() || s.isLeavingUpstream(a) {
		return
	}
	call, home, report := x.call, x.home, msg.GrantEnd{}
	if endsGrant {
		report = x.grantEnd(grant, a, o)
		report.Upstream, report.Failed = a.Entry.ID, true
	}
	cold := s.isCold(a)
	go func() {
		if f == "" {
			f = s.paths.check(a.Entry.Address)
		}
		s.log.Info("failure_assessed", "request", call.ID, "upstream", a.Entry.ID, "outcome", o, "finding", f)
		if !f.isAboutUpstream() {
			return
		}
		if home != "" && endsGrant {
			s.sendGrantEnd(home, a, report)
		}
		s.announceFailing(call, a, o)
		if f == findingSilent {
			sleep(context.Background(), silenceLimit)
			if f = s.paths.check(a.Entry.Address); f == findingSilent {
				f = findingDown
			}
		}
		if f == findingDown && !cold { // a cold upstream crashes under too many requests, not by one
			s.strike(call, a)
		}
	}()
}

// strike records that an upstream crashed while it ran a request, at every instance, because some requests
// crash every upstream that runs them, and some parts of prompts every upstream that begins to write on them.
func (s *server) strike(c *forward.Call, a *forward.Attempt) {
	crash := suspect.Crash{Upstream: a.Entry.ID, Boot: strconv.FormatInt(a.Entry.Born, 10)}
	var m msg.CrashEvidence
	first := false
	s.decide(func(now time.Time, g *forward.Gate) {
		first = g.Strike(now, suspect.Strike{Fingerprint: c.Fingerprint, Crash: crash, At: now})
		m = crashEvidence(now, suspect.Evidence{Fingerprint: c.Fingerprint, Parts: g.AccusableParts(c), Crash: crash, At: now})
	})
	if !first {
		return
	}
	s.metrics.Count("strikes_total", c.Service)
	s.log.Info("strike", "request", c.ID, "print", c.Fingerprint, "parts", partNames(m.Parts), "upstream", crash.Upstream, "boot", crash.Boot)
	s.accuse(m)
	s.homes.announceCrash(m)
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
	if o != forward.Lost || c.Pool != "" {
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

// onCrashEvidence records a strike that names the parts of a prompt.
func (s *server) onCrashEvidence(m msg.CrashEvidence) {
	s.onStrike(m.Strike)
	s.accuse(m)
}
