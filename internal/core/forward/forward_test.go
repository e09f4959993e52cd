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
	revokeWithin = 5 * time.Second
	applyWithin  = 3 * time.Second
)

func options() Options {
	return Options{
		DataCentre: "dc-a", KeysGoodFor: revokeWithin, ConfigGoodFor: applyWithin, RetryRatio: 0.2, RetrySlack: 100,
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
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.Stream, Timeout: 30 * time.Second, MaxAttempts: 1, Targets: target("desk")},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: route.Stream, Resumable: true, Timeout: 6 * time.Second, MaxAttempts: 2, Targets: target("desk")},
		},
		Services:      []route.Service{{Name: "desk"}},
		Organisations: []route.Organisation{{Name: "org", Keys: []string{"key"}}},
	}
}

func target(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }

// gate returns a gate that knows a configuration and some upstreams.
func gate(t testing.TB, upstreams int) *Gate {
	t.Helper()
	return gateWith(options(), upstreams)
}

func gateWith(o Options, upstreams int) *Gate {
	g := New(o)
	g.Adopt(route.NewTable(config(3)))
	g.SetCordons(start, cordon.NewSet(1, nil))
	g.Confirm(start)
	fill(g, upstreams)
	return g
}

// fill lists upstreams of the one service.
func fill(g *Gate, upstreams int) {
	for k := range upstreams {
		id := fmt.Sprintf("u%d", k)
		g.Roster().Update(start, []roster.Change{{ID: id, Version: int64(k + 1), Valid: true, Entry: roster.Entry{
			ID: id, Service: "desk", Address: id + ":80", DataCentre: "dc-a", Slots: 6,
		}}}, int64(k+1))
	}
}

func request(path string) Request {
	return Request{ID: "r1", Host: "h", Path: path, Key: "key", Timeout: 3 * time.Second, Replayable: true}
}

func admit(t testing.TB, g *Gate, r Request) *Call {
	t.Helper()
	c, refusal := g.Admit(start, r)
	if refusal != nil {
		t.Fatalf("%s refused: %+v", r.Path, *refusal)
	}
	return c
}

func TestAdmission(t *testing.T) {
	late, old := start.Add(revokeWithin), start.Add(applyWithin+time.Millisecond)
	for _, c := range []struct {
		name   string
		gate   *Gate
		now    time.Time
		change func(*Request)
		status int
		reason Reason
	}{
		{"no configuration yet", New(options()), start, nil, 503, NoConfig},
		{"no route", gate(t, 1), start, func(r *Request) { r.Path = "/none/" }, 404, NoRoute},
		{"unknown key", gate(t, 1), start, func(r *Request) { r.Key = "other" }, 401, UnknownKey},
		{"no key", gate(t, 1), start, func(r *Request) { r.Key = "" }, 401, UnknownKey},
		{"keys not confirmed", gate(t, 1), late, nil, 503, StaleKeys},
		{"no route in an old configuration", gate(t, 1), old, func(r *Request) { r.Path = "/none/" }, 503, StaleConfig},
	} {
		r := request("/once/1")
		if c.change != nil {
			c.change(&r)
		}
		_, refusal := c.gate.Admit(c.now, r)
		if refusal == nil || refusal.Status != c.status || refusal.Reason != c.reason {
			t.Errorf("%s: %+v, want %d %s", c.name, refusal, c.status, c.reason)
		}
	}
}

// An instance is cut off from the store and from all others. A key is taken away
// meanwhile, which it can't know. The owner must not be served for longer than
// the bound on revocation, so the instance refuses every key once its last
// confirmation is that old, also if it was suspended meanwhile: the moments come
// from a clock that counts that time.
func TestKeysAreRefusedOnceUnconfirmed(t *testing.T) {
	g := gate(t, 1)
	if _, refusal := g.Admit(start.Add(revokeWithin-time.Millisecond), request("/once/1")); refusal != nil {
		t.Errorf("refused while the confirmation is fresh: %+v", refusal)
	}
	now := start.Add(revokeWithin)
	if _, refusal := g.Admit(now, request("/once/1")); refusal == nil || refusal.RetryAfter == 0 {
		t.Errorf("%+v, want a refusal that says when to come back", refusal)
	}
	g.SetAlone(true)
	if _, refusal := g.Admit(now, request("/once/1")); refusal.RetryAfter != outageLater {
		t.Errorf("%+v: while nobody can serve, an early return helps nobody", refusal)
	}
	g.Confirm(start.Add(-time.Second)) // a late answer to an older question
	if g.KeysGood(now) {
		t.Error("an older confirmation made keys good")
	}
	g.Confirm(now)
	if !g.KeysGood(now) {
		t.Error("a new confirmation must make keys good")
	}
}

// A route and a key are added while an instance gets no answers. Its configuration lacks them,
// and a 404 or 401 would tell their callers to give up: once the configuration is older than
// new ones may take to be in force, they are told to come back.
func TestAnOldConfigurationDeniesNothing(t *testing.T) {
	o := options()
	o.KeysGoodFor = 0
	g := gateWith(o, 1)
	missing, stranger := request("/none/"), request("/once/1")
	stranger.Key = "other"
	for _, c := range []struct {
		now  time.Time
		want [2]Reason
	}{
		{start.Add(applyWithin), [2]Reason{NoRoute, UnknownKey}},
		{start.Add(applyWithin + time.Millisecond), [2]Reason{StaleConfig, StaleConfig}},
	} {
		for k, r := range []Request{missing, stranger} {
			_, refusal := g.Admit(c.now, r)
			if refusal == nil || refusal.Reason != c.want[k] {
				t.Errorf("after %v, request %d: %+v, want %s", c.now.Sub(start), k, refusal, c.want[k])
			}
			if c.want[k] == StaleConfig && refusal.RetryAfter == 0 {
				t.Errorf("request %d is not told when to come back", k)
			}
		}
		if _, refusal := g.Admit(c.now, request("/once/1")); refusal != nil {
			t.Errorf("after %v a known key on a known route is refused: %+v", c.now.Sub(start), refusal)
		}
	}
	now := start.Add(applyWithin + time.Second)
	g.Confirm(now)
	if _, refusal := g.Admit(now, missing); refusal == nil || refusal.Reason != NoRoute {
		t.Errorf("%+v: a confirmed configuration must deny what it lacks", refusal)
	}
}

// An answer from a stale copy of the store, or of an instance that lags, holds
// an older configuration. Put in force, dropped routes and keys would work again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	g := gate(t, 1)
	if g.Adopt(route.NewTable(config(2))) || g.Adopt(route.NewTable(config(3))) || g.Table().Version != 3 {
		t.Errorf("version %d in force, want 3", g.Table().Version)
	}
	if !g.Adopt(route.NewTable(config(9))) {
		t.Error("a newer version must be put in force")
	}
}

// A booking is sent, and its answer is lost. The upstream may have run it, so
// that it must not be sent again, and the caller must not hear that it did not
// run, as it would ask again and book twice.
func TestABookingWithALostAnswerIsNotSentAgain(t *testing.T) {
	for _, path := range []string{"/once/1", "/twice/1", "/draft/1"} {
		g := gate(t, 3)
		c := admit(t, g, request(path))
		g.Start(start, c)
		s := g.Ended(start, c, Lost, false)
		if s.Refuse == nil || PromisesNotRun(s.Refuse.Status) || s.Refuse.Status != http.StatusBadGateway {
			t.Errorf("%s: %+v, want a 502", path, s)
		}
	}
}

// A booking fails at its upstream, which signs its failure. The caller gets that
// answer, as the upstream gave it.
func TestABookingsOwnFailureIsPassedOn(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/once/1"))
	g.Start(start, c)
	if s := g.Ended(start, c, Failed, false); !s.Relay {
		t.Errorf("%+v, want the upstream's own answer", s)
	}
}

// The upstream is full and says that it has not run the booking. It may go to
// another upstream if the route allows that, and else the caller hears at once
// that it has not run and when to come back.
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
		t.Errorf("%+v, want a refusal with a time to come back", s)
	}
}

// A look-up fails at its upstream, as fourteen in a hundred do: it is tried once
// elsewhere, and a second failure is passed on as the upstream gave it.
func TestALookUpIsTriedElsewhere(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/safe/1"))
	first := g.Start(start, c).Send
	second := g.Ended(start, c, Failed, false).Send
	if second == nil || second.Upstream == first.Upstream {
		t.Fatalf("second attempt %+v, want another upstream", second)
	}
	if s := g.Ended(start, c, Failed, false); !s.Relay {
		t.Errorf("%+v, want the upstream's own failure", s)
	}
}

// All upstreams of a service fail everything. Retries double the load on them,
// on every instance at once, so the share of this instance bounds them.
func TestRetriesKeepToTheShareOfTheBudget(t *testing.T) {
	g := gate(t, 3)
	g.SetInstances(10)
	const requests = 1000
	repeats := 0
	for k := range requests {
		now := start.Add(time.Duration(k) * 5 * time.Millisecond)
		g.Confirm(now)
		c, refusal := g.Admit(now, request("/safe/1"))
		if refusal != nil {
			t.Fatal(refusal)
		}
		g.Start(now, c)
		if s := g.Ended(now, c, Lost, false); s.Send != nil {
			repeats++
			g.Ended(now, c, Lost, false)
		}
	}
	o := options()
	most := o.RetryRatio*requests + o.RetrySlack/10
	if float64(repeats) > most || float64(repeats) < most/3 {
		t.Errorf("%d repeats for %d requests, want a good part of %v", repeats, requests, most)
	}
}

// A generation is moved and goes on from its copy. Long after, its new upstream
// crashes. What the move had left as a second place to try must not be used: the
// caller would get a second run's events behind those of the first.
func TestWhatAMoveLeftIsNotTriedAfterACrash(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/draft/1"))
	source := g.Start(start, c).Send
	c.Progress(start, "1")
	other := g.Roster().Find("u2")
	g.Redirect(c, other, "u0:80/copy", &Attempt{Upstream: source.Upstream, CopyAt: "u0:80/copy"})
	s := g.Ended(start, c, Cut, true)
	if s.Send == nil || s.Send.Upstream != other || s.Send.CopyAt == "" {
		t.Fatalf("%+v, want to go on from the copy", s)
	}
	c.Progress(start, "2")
	if s := g.Ended(start, c, Cut, true); !s.Abort {
		t.Errorf("%+v, want the answer broken off", s)
	}
}

// The copy is gone when the run is to go on from it, and the source, which still
// holds what it had, can't be reached. Nothing may run the generation anew.
func TestAMoveThatFailsRunsNothingAnew(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/draft/1"))
	source := g.Start(start, c).Send
	c.Progress(start, "1")
	g.Redirect(c, g.Roster().Find("u2"), "u0:80/copy", &Attempt{Upstream: source.Upstream, CopyAt: "u0:80/copy"})
	g.Ended(start, c, Cut, true)
	back := g.Ended(start, c, Rejected, true)
	if back.Send == nil || back.Send.Upstream != source.Upstream {
		t.Fatalf("%+v, want the source as the second place", back)
	}
	if s := g.Ended(start, c, NotSent, true); !s.Abort {
		t.Errorf("%+v, want the answer broken off", s)
	}
}

// Pattern: one of three upstreams of a booking service resets half of its
// connections with good health, under 45 requests a second at a dozen instances.
// A booking that is reset is lost. Told by the others after their losses, an
// instance passes the upstream over before it has lost anything there itself.
func TestAnUpstreamThatFailsElsewhereIsPassedOver(t *testing.T) {
	g := gate(t, 3)
	for range 3 {
		g.Failing(start, "u1", 0)
	}
	g.Failing(start, "u2", 99) // another run of u2: the one listed has done nothing
	for k := range 12 {
		c := admit(t, g, request("/once/1"))
		if s := g.Start(start, c); s.Send.Upstream.ID == "u1" && k < 6 {
			t.Fatalf("request %d went to the failing upstream", k)
		}
	}
	later := start.Add(20 * time.Second)
	if rate := g.load(g.Roster().Find("u1")).Rate(later); rate > 0.02 {
		t.Errorf("failure rate %v after 20 s: it must be tried again", rate)
	}
}

// An entry asks the home of a pool and is frozen before the answer is read. The
// upstream of the grant begins to leave meanwhile, which the entry's own list does
// not say when it wakes. Sent there, the generation would be cut.
func TestALapsedGrantIsNotUsed(t *testing.T) {
	g := gate(t, 3)
	c := admit(t, g, request("/draft/1"))
	grant := msg.GrantAnswer{TTL: time.Second, Decision: placement.Decision{Kind: placement.Granted, Upstream: "u1"}}
	if s := g.Granted(start.Add(time.Second), start, c, grant); !s.AskHome {
		t.Errorf("%+v, want to ask again", s)
	}
	if s := g.Granted(start.Add(999*time.Millisecond), start, c, grant); s.Send == nil || s.Send.Upstream.ID != "u1" {
		t.Errorf("%+v, want the granted upstream", s)
	}
}

func TestPatience(t *testing.T) {
	for _, c := range []struct{ timeout, caller, want time.Duration }{
		{time.Second, 3 * time.Second, time.Second},
		{3 * time.Second, time.Second, time.Second},
		{0, time.Second, time.Second},
		{time.Second, 0, time.Second},
		{0, 0, defaultTimeout},
	} {
		if got := timeoutOf(c.timeout, c.caller); got != c.want {
			t.Errorf("timeoutOf(%v, %v) = %v, want %v", c.timeout, c.caller, got, c.want)
		}
	}
}
