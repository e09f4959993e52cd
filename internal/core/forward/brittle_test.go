package forward

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/statement"
)

// An upstream falls over if it has to turn away more than a few requests in a second. All instances together must send it
// less than it works off, still less once it has turned one away, and as before once it no longer states that it is
// brittle.
func TestABrittleUpstreamIsPacedBelowWhatItWorksOff(t *testing.T) {
	g := gate(t, 2)
	u, now := g.roster.Find("u0"), start
	for range 5 {
		g.load(u).serviceTime.Observe(100*time.Millisecond, 1, 1)
	}
	observe := func(n int) float64 {
		now = now.Add(2 * time.Second)
		g.ObserveLimit(now, u, now, statement.Statement{Brittle: n})
		return g.RateLimit(u.Run()).PerSecond
	}
	before := observe(3)
	if worksOff := float64(u.Slots) / 0.1; before <= 0 || before > 0.8*worksOff {
		t.Errorf("%.1f requests a second, want less than the %.1f that it works off", before, worksOff)
	}
	for range 3 {
		g.cutBrittle(now, u)
		now = now.Add(2 * brittleCutInterval)
	}
	if after := observe(3); after >= before*0.7 {
		t.Errorf("%.1f requests a second after it turned some away, %.1f before", after, before)
	}
	if limit := observe(0); limit != 0 || g.needsPermit(admit(t, g, request("/once/1")), u) {
		t.Errorf("a limit of %.1f though it no longer is brittle", limit)
	}
}

// An instance that has just started has not measured how long calls take. A response of a brittle upstream must not make
// it end the limit that the others keep.
func TestANewInstanceKeepsTheLimitOfABrittleUpstream(t *testing.T) {
	g := gate(t, 2)
	u := g.roster.Find("u0")
	g.LearnLimit(start, rateStatement(start, u.Run(), limit(20).RateLimit, start))
	later := start.Add(time.Second)
	if c, changed := g.ObserveLimit(later, u, later, statement.Statement{Brittle: 3}); changed || g.RateLimit(u.Run()).PerSecond != 20 {
		t.Errorf("change %+v to %+v, want the limit of 20 kept", c, g.RateLimit(u.Run()))
	}
}
