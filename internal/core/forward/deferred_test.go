package forward

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// A home must learn how urgent a request is and how much time it has left, and a caller why it was refused
// and when its turn comes.
func TestDeferrals(t *testing.T) {
	g := largeGate(t)
	r := request("/stream/1")
	r.Timeout = 20 * time.Second
	c := admit(t, g, r)
	rt := *c.Route
	rt.Target, c.Route, c.Rank = 5*time.Second, &rt, 2
	now := start.Add(time.Second)
	m := g.RankedGrantRequest(now, c)
	if m.Rank != 2 || m.TimeLeft != c.Deadline.Sub(now) || m.Grant.Request.MaxWait != min(8*time.Second, m.TimeLeft) {
		t.Errorf("request = %+v, want rank 2, %s left and a wait of at most 8 s", m, c.Deadline.Sub(now))
	}
	g.options.Without = mechanism.Of(mechanism.Deferrals)
	if got, want := g.GrantRequest(now, c).Request.MaxWait, min(15*time.Second, m.TimeLeft); got != want {
		t.Errorf("maximum wait without deferrals = %s, want %s", got, want)
	}
	c.poolsTried = maxPools
	s := g.HomeRefused(start, c, placement.ReasonDeferred, 7*time.Second)
	if s.Refuse == nil || s.Refuse.Reason != Deferred || s.Refuse.RetryAfter != 7*time.Second || !PromisesNotRun(s.Refuse.Status) {
		t.Errorf("step after a deferral = %+v, want a refusal that promises that nothing ran, with the home's Retry-After", s)
	}
}
