package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

// All engines of a pool state a rate limit of which five times as much is requested. The home must
// keep the limits and use them, and tell the rest at once to return, not all at the same time.
func TestGrantsKeepTheRateLimitsOfAllEngines(t *testing.T) {
	const (
		engines = 3
		rate    = 2.0
		offered = 30 // requests a second
	)
	s := newSim(t, engines)
	s.advance(time.Second)
	s.rateLimits = map[string]ratelimit.Limit{}
	for _, u := range s.list {
		s.rateLimits[u.ID] = ratelimit.Limit{Stated: true, PerSecond: rate}
	}
	s.sync()
	began, grantedAt, requestedAt := s.now, map[string][]time.Time{}, map[string]time.Time{}
	var returns []time.Duration
	note := func() {
		for attempt, at := range requestedAt {
			switch u, retryAfter := s.granted[attempt], s.refused[attempt]; {
			case u != "":
				grantedAt[u] = append(grantedAt[u], s.now)
			case retryAfter > 0:
				if s.now.After(at) {
					t.Errorf("%s was refused after %v, want at once", attempt, s.now.Sub(at))
				}
				returns = append(returns, s.now.Add(retryAfter).Sub(began))
			default:
				continue
			}
			delete(requestedAt, attempt)
		}
	}
	for n := 0; s.now.Sub(began) < 20*time.Second; n++ {
		req := placement.Request{
			Attempt: fmt.Sprintf("l-%03d", n), Org: "org", Prompt: 100, MaxOutput: 50, Expected: 50, MaxWait: 2 * time.Second, Fingerprint: uint64(n + 1),
		}
		s.requests[req.Attempt], requestedAt[req.Attempt] = req, s.now
		s.home.Place(s.now, entry, msg.GrantRequest{Pool: "pool", Request: req})
		s.deliverMessages()
		note()
		if n%(offered/10) == 0 {
			s.advance(100 * time.Millisecond)
			note()
		}
	}
	total := 0
	for id, times := range grantedAt {
		total += len(times)
		for _, from := range times {
			in := 0
			for _, at := range times {
				if d := at.Sub(from); d >= 0 && d < ratelimit.Window {
					in++
				}
			}
			if most := int(rate*ratelimit.Window.Seconds()) + 3; in > most {
				t.Fatalf("%s got %d grants in %v, want at most %d", id, in, ratelimit.Window, most)
			}
		}
	}
	if least := int(0.75 * engines * rate * 20); total < least {
		t.Errorf("%d grants in 20 s, want at least %d", total, least)
	}
	slices.Sort(returns)
	for k := range returns {
		in := 0
		for _, r := range returns[k:] {
			if r-returns[k] < time.Second {
				in++
			}
		}
		if in > offered {
			t.Errorf("%d refused callers were told to return within one second, want at most %d", in, offered)
			break
		}
	}
}
