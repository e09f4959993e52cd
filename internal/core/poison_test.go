package core_test

import (
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// poisonHome drives the home of a pool that receives requests which crash upstreams.
type poisonHome struct {
	*targetHarness
	pool      string
	upstreams []string
}

func newPoisonHome(t *testing.T) *poisonHome {
	t.Helper()
	harness := newTargetHarness(t, sizeMiddle)
	v := config.Compile(1, "", sizeMiddle.config())
	p := v.Pool(v.PoolOf(upstreamName(0)))
	h := &poisonHome{targetHarness: harness, pool: p.Name, upstreams: p.Upstreams}
	h.requestGrant("entry-9:a:1/1", 1, "") // creates the home, which then polls its upstreams
	h.advance(3 * time.Second)             // a home does not grant suspects in its first two seconds
	return h
}

// requestGrant requests a grant for an attempt and returns the granted upstream, "" if there is
// none. failed is the upstream where the previous attempt failed, "" for a first attempt.
func (h *poisonHome) requestGrant(attempt string, fingerprint uint64, failed string) string {
	m := msg.GrantRequest{Pool: h.pool, Request: placement.Request{
		Attempt: attempt, Org: orgName(0), Fingerprint: fingerprint, Prompt: 250, MaxOutput: 500, MaxWait: 20 * time.Second,
	}}
	if failed != "" {
		m.FailedUpstream, m.FailedBoot = failed, report(failed, 0).Boot
		m.Request.Exclude = []string{failed}
	}
	return h.handleAndFindGrant(core.PeerMessage{From: "entry-1", Msg: m}, attempt)
}

// handleAndFindGrant handles an event and returns the upstream that the home then grants to an
// attempt, "" if there is no grant.
func (h *poisonHome) handleAndFindGrant(e core.Event, attempt string) (upstream string) {
	for _, a := range h.inst.Handle(h.now, e) {
		h.respond(a)
		s, ok := a.(core.Send)
		if !ok {
			continue
		}
		if g, ok := s.Msg.(msg.GrantResponse); ok && g.Decision.Attempt == attempt && g.Decision.Kind == placement.Granted {
			upstream = g.Decision.Upstream
		}
	}
	return upstream
}

// reportFailure reports to the home that an attempt failed at its upstream.
func (h *poisonHome) reportFailure(attempt, upstream string, fingerprint uint64) {
	h.handle(core.PeerMessage{From: "entry-1", Msg: msg.GrantEnd{
		Pool: h.pool, Attempt: attempt, Upstream: upstream, Boot: report(upstream, 0).Boot, Failed: true, Fingerprint: fingerprint,
	}})
}

// advance advances time in ticks, with reports from all upstreams except the silent ones.
func (h *poisonHome) advance(d time.Duration, silent ...string) {
	h.answersPolls = false
	for range d / (50 * time.Millisecond) {
		h.tick(50 * time.Millisecond)
		for _, u := range h.upstreams {
			if !slices.Contains(silent, u) {
				h.handle(core.UpstreamReport{PolledAt: h.now, Report: report(u, 0)})
			}
		}
	}
}

// Guards against a request that crashes a third upstream. An entry that tries to resume for
// seconds reports its failed attempt only after the home's wait for a verdict on the upstream
// has timed out. If the home dropped this failure, it would grant the request a third upstream
// once the first one is known to have crashed.
func TestPoisonLateFailureIsUnconfirmedStrike(t *testing.T) {
	const poison, innocent = 77, 78
	h := newPoisonHome(t)
	first, second := h.requestGrant("entry-1:a:1/1", poison, ""), h.requestGrant("entry-2:a:1/1", poison, "")
	if first == "" || second == "" || first == second {
		t.Fatalf("attempts with one fingerprint were granted %q and %q, want two different upstreams", first, second)
	}
	h.advance(50*time.Millisecond, first, second)
	h.reportFailure("entry-1:a:1/1", first, poison)
	h.reportFailure("entry-3:a:1/1", second, innocent)
	h.advance(1200*time.Millisecond, first, second)
	h.reportFailure("entry-2:a:1/1", second, poison)
	if got := h.requestGrant("entry-2:a:1/2", poison, second); got != "" {
		t.Errorf("retry granted on %s although two upstreams may have crashed, want no grant", got)
	}
	crashed := report(first, 0)
	crashed.Boot = "fedcba9876543210"
	h.handle(core.UpstreamReport{PolledAt: h.now, Report: crashed})
	if got := h.requestGrant("entry-1:a:1/2", poison, ""); got != "" {
		t.Errorf("retry granted on %s after one crash and one unconfirmed strike, want no grant", got)
	}
}
