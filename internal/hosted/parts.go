package hosted

import (
	"strconv"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// crashEvidence returns the announcement of evidence.
func crashEvidence(now time.Time, e suspect.Evidence) msg.CrashEvidence {
	return msg.CrashEvidence{
		Strike: msg.Strike{Fingerprint: e.Fingerprint, Upstream: e.Crash.Upstream, Boot: e.Crash.Boot, Age: now.Sub(e.At)},
		Parts:  e.Parts,
	}
}

// partNames returns the hashes of parts as they are logged.
func partNames(parts []uint64) string {
	names := make([]string, len(parts))
	for k, part := range parts {
		names[k] = strconv.FormatUint(part, 16)
	}
	return strings.Join(names, ",")
}

// accuse records the evidence of a strike against the parts of a prompt. If parts are convicted by it, the
// requests that have them end once that is in force.
func (s *server) accuse(m msg.CrashEvidence) {
	if len(m.Parts) == 0 {
		return
	}
	var convictions []suspect.Conviction
	s.decide(func(now time.Time, g *forward.Gate) {
		convictions = g.Accuse(now, suspect.Evidence{
			Fingerprint: m.Strike.Fingerprint, Parts: m.Parts, At: now.Add(-m.Strike.Age),
			Crash: suspect.Crash{Upstream: m.Strike.Upstream, Boot: m.Strike.Boot},
		})
	})
	for _, c := range convictions {
		time.AfterFunc(max(c.From.Sub(boottime.Now()), 0), func() { s.enforce(c) })
	}
}

// enforce ends the requests with convicted parts that no upstream has begun to answer.
func (s *server) enforce(c suspect.Conviction) {
	var stopped []*exchange
	inForce := false
	s.decide(func(now time.Time, g *forward.Gate) {
		inForce = c.In(g.Convictions(now))
		for _, x := range s.running {
			if x.call.Events == 0 && g.IsConvicted(now, x.call) {
				stopped = append(stopped, x)
			}
		}
	})
	if !inForce {
		return // a sound answer has cleared the parts, or more evidence has distinguished them
	}
	s.metrics.Count("parts_convicted_total", "convicted")
	s.log.Info("part_convicted", "parts", partNames(c.Parts), "crashes", c.Crashes, "requests", c.Requests, "stopped", len(stopped))
	for _, x := range stopped {
		x.stopConvicted()
	}
}

// stopConvicted ends a request whose parts were convicted: one that waits, and one that an upstream has not
// begun to answer.
func (x *exchange) stopConvicted() {
	x.server.decide(func(time.Time, *forward.Gate) {
		if x.headSent {
			return // the answer has begun since the conviction, and goes on
		}
		x.convictedOnce.Do(func() { close(x.convicted) })
		if x.conn != nil {
			x.conn.Close()
		}
	})
}

// isConvicted reports whether the request was ended because of its parts.
func (x *exchange) isConvicted() bool {
	select {
	case <-x.convicted:
		return true
	default:
		return false
	}
}

// clearSound tells all instances that an answer to a request was begun soundly whose parts had been accused.
func (x *exchange) clearSound(accused []uint64) {
	if len(accused) == 0 {
		return
	}
	s := x.server
	s.logCleared(x.call.ID, accused)
	s.homes.announceSound(msg.PartsSound{Parts: accused})
}

// onPartsSound handles another instance's announcement of a sound answer.
func (s *server) onPartsSound(from string, m msg.PartsSound) {
	s.decide(func(now time.Time, g *forward.Gate) { g.ClearParts(m.Parts, now.Add(-m.Age)) })
	s.logCleared(from, m.Parts)
}

func (s *server) logCleared(source string, parts []uint64) {
	s.metrics.Count("parts_convicted_total", "cleared")
	s.log.Info("parts_cleared", "parts", partNames(parts), "source", source)
}
