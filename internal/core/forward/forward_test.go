package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

var start = time.Unix(1000, 0)

const (
	keysGoodFor   = 5 * time.Second
	configGoodFor = 3 * time.Second
)

func options() Options {
	return Options{
		DataCentre: "dc-a", KeysGoodFor: keysGoodFor, ConfigGoodFor: configGoodFor, RetryRatio: 0.2, RetrySlack: 100,
		RetryWindow: 10 * time.Second, Seed: 1,
	}
}

func config(version int64) route.Config {
	return route.Config{
		Version: version,
		Routes: []route.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Once, Timeout: time.Second, MaxAttempts: 1, Targets: target("desk")},
			{Name: "twice", Host: "h", Prefix: "/twice/", Kind: route.Once, Timeout: time.Second, MaxAttempts: 2, Targets: target("desk")},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Idempotent, Timeout: time.Second, MaxAttempts: 2, Targets: target("desk")},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Timeout: 30 * time.Second, MaxAttempts: 1, Targets: target("desk")},
			{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: route.Stream, Resumable: true, Timeout: 6 * time.Second, MaxAttempts: 2, Targets: target("desk")},
		},
		Services:      []route.Service{{Name: "desk"}},
		Organisations: []route.Organisation{{Name: "org", Keys: []string{"key"}}},
	}
}

func target(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }

// gate returns a gate with a configuration and a number of upstreams of the service "desk".
func gate(t testing.TB, upstreams int) *Gate {
	t.Helper()
	return gateWith(options(), upstreams)
}

// gateWith is like gate, with the given options.
func gateWith(o Options, upstreams int) *Gate {
	g := New(o)
	g.Adopt(route.NewTable(config(3)))
	g.SetCordons(start, cordon.NewSet(1, nil))
	g.Confirm(start)
	addUpstreams(g, upstreams)
	return g
}

// addUpstreams adds upstreams of the service "desk" to the roster.
func addUpstreams(g *Gate, upstreams int) {
	for k := range upstreams {
		id := fmt.Sprintf("u%d", k)
		g.Roster().Update(start, []roster.Change{{ID: id, Version: int64(k + 1), Valid: true, Entry: roster.Entry{
			ID: id, Service: "desk", Address: id + ":80", DataCentre: "dc-a", Slots: 6, Software: "v1",
		}}}, int64(k+1))
	}
}

// request returns a request of the organisation "org".
func request(path string) Request {
	return Request{ID: "r1", Host: "h", Path: path, Key: "key", Timeout: 3 * time.Second, Replayable: true}
}

// admit admits a request, which must not be refused.
func admit(t testing.TB, g *Gate, r Request) *Call {
	t.Helper()
	c, refusal := g.Admit(start, r)
	if refusal != nil {
		t.Fatalf("request for %s refused: %+v, want it admitted", r.Path, *refusal)
	}
	return c
}

func TestAdmission(t *testing.T) {
	keysStale, configStale := start.Add(keysGoodFor), start.Add(configGoodFor+time.Millisecond)
	for _, c := range []struct {
		name   string
		gate   *Gate
		now    time.Time
		change func(*Request)
		status int
		reason Reason
	}{
		{"no configuration", New(options()), start, nil, 503, NoConfig},
		{"no route", gate(t, 1), start, func(r *Request) { r.Path = "/none/" }, 404, NoRoute},
		{"unknown key", gate(t, 1), start, func(r *Request) { r.Key = "other" }, 401, UnknownKey},
		{"no key", gate(t, 1), start, func(r *Request) { r.Key = "" }, 401, UnknownKey},
		{"keys not confirmed", gate(t, 1), keysStale, nil, 503, StaleKeys},
		{"no route in an unconfirmed configuration", gate(t, 1), configStale, func(r *Request) { r.Path = "/none/" }, 503, StaleConfig},
	} {
		r := request("/once/1")
		if c.change != nil {
			c.change(&r)
		}
		_, refusal := c.gate.Admit(c.now, r)
		if refusal == nil || refusal.Status != c.status || refusal.Reason != c.reason {
			t.Errorf("%s: refusal %+v, want status %d and reason %s", c.name, refusal, c.status, c.reason)
		}
	}
}

// An instance is cut off from the store and from all others while a key is revoked. The key
// must not be accepted for longer than the revocation bound, so the instance refuses every
// key once its last confirmation is that old. This also holds if the instance was suspended
// in between: its clock includes that time.
func TestKeysAreRefusedOnceUnconfirmed(t *testing.T) {
	g := gate(t, 1)
	if _, refusal := g.Admit(start.Add(keysGoodFor-time.Millisecond), request("/once/1")); refusal != nil {
		t.Errorf("request with a recent confirmation refused: %+v, want it admitted", refusal)
	}
	now := start.Add(keysGoodFor)
	if _, refusal := g.Admit(now, request("/once/1")); refusal == nil || refusal.RetryAfter == 0 {
		t.Errorf("refusal %+v, want one with a Retry-After", refusal)
	}
	g.SetAlone(true)
	if _, refusal := g.Admit(now, request("/once/1")); refusal.RetryAfter != outageRetryAfter {
		t.Errorf("refusal %+v while no other instance is ready, want the longer Retry-After", refusal)
	}
	g.Confirm(start.Add(-time.Second)) // a late response to an earlier query
	if g.KeysGood(now) {
		t.Error("keys are accepted after a confirmation older than the last one, want them refused")
	}
	g.Confirm(now)
	if !g.KeysGood(now) {
		t.Error("keys are refused after a new confirmation, want them accepted")
	}
}

// A route and a key are added while an instance receives no updates. Its configuration lacks
// them, and a 404 or 401 would make callers give up. Once the last confirmation is older than
// the time in which new versions must be in force, the refusal must be temporary.
func TestAnOldConfigurationRefusesOnlyTemporarily(t *testing.T) {
	o := options()
	o.KeysGoodFor = 0
	g := gateWith(o, 1)
	noRoute, unknownKey := request("/none/"), request("/once/1")
	unknownKey.Key = "other"
	for _, c := range []struct {
		now  time.Time
		want [2]Reason
	}{
		{start.Add(configGoodFor), [2]Reason{NoRoute, UnknownKey}},
		{start.Add(configGoodFor + time.Millisecond), [2]Reason{StaleConfig, StaleConfig}},
	} {
		for k, r := range []Request{noRoute, unknownKey} {
			_, refusal := g.Admit(c.now, r)
			if refusal == nil || refusal.Reason != c.want[k] {
				t.Errorf("after %v, request %d: refusal %+v, want reason %s", c.now.Sub(start), k, refusal, c.want[k])
			}
			if c.want[k] == StaleConfig && refusal.RetryAfter == 0 {
				t.Errorf("request %d: temporary refusal without a Retry-After, want one with it", k)
			}
		}
		if _, refusal := g.Admit(c.now, request("/once/1")); refusal != nil {
			t.Errorf("after %v: request with a known key on a known route refused: %+v, want it admitted", c.now.Sub(start), refusal)
		}
	}
	now := start.Add(configGoodFor + time.Second)
	g.Confirm(now)
	if _, refusal := g.Admit(now, noRoute); refusal == nil || refusal.Reason != NoRoute {
		t.Errorf("refusal %+v for a route that the confirmed configuration lacks, want NoRoute", refusal)
	}
}

// A stale read of the store or a lagging instance returns an older configuration. If it were
// put in force, removed routes and keys would work again.
func TestOlderConfigurationsAreIgnored(t *testing.T) {
	g := gate(t, 1)
	if g.Adopt(route.NewTable(config(2))) || g.Adopt(route.NewTable(config(3))) || g.Table().Version != 3 {
		t.Errorf("version %d in force, want 3", g.Table().Version)
	}
	if !g.Adopt(route.NewTable(config(9))) {
		t.Error("Adopt returned false for a newer version, want it put in force")
	}
}

// A booking is sent and its response is lost. The upstream may have run the booking, so it must
// not be sent again, and the caller must not get a status that promises that the booking did not
// run: the caller would retry and book twice.
func TestABookingWithALostResponseIsNotSentAgain(t *testing.T) {
	for _, path := range []string{"/once/1", "/twice/1", "/stream/1"} {
		g := gate(t, 3)
		c := admit(t, g, request(path))
		g.Start(start, c)
		s := g.Ended(start, c, Lost, false)
		if s.Refuse == nil || PromisesNotRun(s.Refuse.Status) || s.Refuse.Status != http.StatusBadGateway {
			t.Errorf("%s: step %+v, want a refusal with status 502", path, s)
		}
	}
}

// A booking fails at its upstream, which responds with an error. The caller must get that
// response unchanged.
func TestAnUpstreamsErrorResponseIsForwarded(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/once/1"))
	g.Start(start, c)
	if s := g.Ended(start, c, Failed, false); !s.Relay {
		t.Errorf("step %+v, want the upstream's response forwarded", s)
	}
}

// The upstream is full and responds that it has not run the booking. The booking is sent to
// another upstream if the route allows another attempt. Otherwise the caller is refused at once,
// with a Retry-After and a status that promises that the booking has not run.
func TestARejectedBooking(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/twice/1"))
	first := g.Start(start, c).Send
	second := g.Ended(start, c, Rejected, false).Send
	if second == nil || second.Upstream == first.Upstream {
		t.Fatalf("second attempt %+v, want another upstream", second)
	}
	s := g.Ended(start, c, Rejected, false)
	if s.Refuse == nil || s.Refuse.Status != 503 || s.Refuse.RetryAfter == 0 {
		t.Errorf("step %+v, want a refusal with status 503 and a Retry-After", s)
	}
}

// A look-up fails at its upstream, as 14 in 100 do. It must be retried once at another
// upstream, and a second error response must be forwarded unchanged.
func TestALookUpIsRetriedAtAnotherUpstream(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/safe/1"))
	first := g.Start(start, c).Send
	second := g.Ended(start, c, Failed, false).Send
	if second == nil || second.Upstream == first.Upstream {
		t.Fatalf("second attempt %+v, want another upstream", second)
	}
	if s := g.Ended(start, c, Failed, false); !s.Relay {
		t.Errorf("step %+v, want the upstream's error response forwarded", s)
	}
}

// All upstreams of a service fail every request. Retries of all instances together would
// double the load, so each instance must keep to its share of the retry budget.
func TestRetriesKeepToTheShareOfTheBudget(t *testing.T) {
	g := gate(t, 3)
	g.SetInstances(10)
	const requests = 1000
	retries := 0
	for k := range requests {
		now := start.Add(time.Duration(k) * 5 * time.Millisecond)
		g.Confirm(now)
		c, refusal := g.Admit(now, request("/safe/1"))
		if refusal != nil {
			t.Fatal(refusal)
		}
		g.Start(now, c)
		if s := g.Ended(now, c, Lost, false); s.Send != nil {
			retries++
			g.Ended(now, c, Lost, false)
		}
	}
	o := options()
	limit := o.RetryRatio*requests + o.RetrySlack/10
	if float64(retries) > limit || float64(retries) < limit/3 {
		t.Errorf("%d retries for %d requests, want between a third and all of %v", retries, requests, limit)
	}
}

// A generation is moved and continues from its copy. Later its new upstream crashes. The
// alternative that remains from the move must not be tried: the caller would receive the
// events of a second generation after those of the first.
func TestAlternativesOfAMoveAreNotTriedAfterACrash(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/stream/1"))
	source := g.Start(start, c).Send
	c.Progress(start, "1")
	other := g.Roster().Find("u2")
	g.Redirect(c, other, "u0:80/copy", &Attempt{Upstream: source.Upstream, CopyAt: "u0:80/copy"})
	s := g.Ended(start, c, Cut, true)
	if s.Send == nil || s.Send.Upstream != other || s.Send.CopyAt == "" {
		t.Fatalf("step %+v, want the generation resumed from the copy", s)
	}
	c.Progress(start, "2")
	if s := g.Ended(start, c, Cut, true); !s.Abort {
		t.Errorf("step %+v, want the response broken off", s)
	}
}

// A moved generation is to be resumed from its copy, but the copy has been dropped. The source,
// which still holds the generation's state, cannot be reached. The generation must not be started
// again.
func TestAFailedMoveDoesNotRestartTheGeneration(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/stream/1"))
	source := g.Start(start, c).Send
	c.Progress(start, "1")
	g.Redirect(c, g.Roster().Find("u2"), "u0:80/copy", &Attempt{Upstream: source.Upstream, CopyAt: "u0:80/copy"})
	g.Ended(start, c, Cut, true)
	second := g.Ended(start, c, Rejected, true)
	if second.Send == nil || second.Send.Upstream != source.Upstream {
		t.Fatalf("step %+v after the copy was rejected, want an attempt at the source", second)
	}
	step := g.Ended(start, c, NotSent, true)
	for range maxDials {
		if step.Send == nil {
			break
		}
		if step.Send.Upstream != source.Upstream || step.Send.CopyAt == "" {
			t.Fatalf("step %+v after a failed dial, want the source dialled again for its copy", step)
		}
		step = g.Ended(start, c, NotSent, true)
	}
	if !step.Abort {
		t.Errorf("step %+v after %d failed dials, want the response broken off", step, maxDials)
	}
}

// The only upstream that has a moved generation's memory is silent for a second, so that a dial fails. The
// generation must be resumed there afterwards, and not be lost.
func TestAMovedGenerationOutlivesAFailedDial(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/stream/1"))
	source := g.Start(start, c).Send
	c.Progress(start, "1")
	g.Redirect(c, source.Upstream, "u0:80/copy", nil)
	g.Ended(start, c, Cut, true)
	s := g.Ended(start.Add(700*time.Millisecond), c, NotSent, true)
	if s.Send == nil || s.Send.Upstream != source.Upstream || s.Send.CopyAt == "" {
		t.Fatalf("step %+v after a failed dial, want another attempt to resume from the copy", s)
	}
	c.Progress(start.Add(time.Second), "2")
	if s := g.Ended(start.Add(2*time.Second), c, Done, true); !s.End {
		t.Errorf("step %+v, want the stream complete", s)
	}
}

// One of three upstreams of a booking service resets half of its connections while its health
// checks pass, under 45 requests a second from a dozen instances. A booking whose connection
// is reset is lost. Other instances report their failures, so this one must avoid the
// upstream before it loses a booking there.
func TestAnUpstreamReportedAsFailingIsAvoided(t *testing.T) {
	g := gate(t, 3)
	for range 3 {
		g.ReportFailure(start, "u1", 0)
	}
	g.ReportFailure(start, "u2", 99) // about another process run of u2 than the listed one
	for k := range 12 {
		c := admit(t, g, request("/once/1"))
		if s := g.Start(start, c); s.Send.Upstream.ID == "u1" && k < 6 {
			t.Fatalf("request %d was sent to the failing upstream, want another upstream", k)
		}
	}
	later := start.Add(20 * time.Second)
	if rate := g.load(g.Roster().Find("u1")).Rate(later); rate > 0.02 {
		t.Errorf("failure rate = %v after 20 s, want at most 0.02 so that the upstream is used again", rate)
	}
}

// An entry requests a grant and is frozen before it reads the response. Meanwhile the granted
// upstream starts to leave, which the entry's roster does not show when it resumes. A
// generation sent there would be cut off.
func TestAnExpiredGrantIsNotUsed(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/stream/1"))
	grant := msg.GrantResponse{TTL: time.Second, Decision: placement.Decision{Kind: placement.Granted, Upstream: "u1"}}
	if s := g.Granted(start.Add(time.Second), start, c, grant); !s.RequestGrant {
		t.Errorf("step %+v, want another grant request", s)
	}
	if s := g.Granted(start.Add(999*time.Millisecond), start, c, grant); s.Send == nil || s.Send.Upstream.ID != "u1" {
		t.Errorf("step %+v, want the granted upstream", s)
	}
}

func TestEffectiveTimeout(t *testing.T) {
	for _, c := range []struct{ timeout, caller, want time.Duration }{
		{time.Second, 3 * time.Second, time.Second},
		{3 * time.Second, time.Second, time.Second},
		{0, time.Second, time.Second},
		{time.Second, 0, time.Second},
		{0, 0, defaultTimeout},
	} {
		if got := effectiveTimeout(c.timeout, c.caller); got != c.want {
			t.Errorf("effectiveTimeout(%v, %v) = %v, want %v", c.timeout, c.caller, got, c.want)
		}
	}
}
