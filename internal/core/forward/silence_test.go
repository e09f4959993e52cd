package forward

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/route"
)

// silentStream returns a gate, its only call and the call's attempt. The stream has delivered five
// events, all at the time start.
func silentStream(t *testing.T, path string) (*Gate, *Call, *Attempt) {
	t.Helper()
	g := gate(t, 3)
	g.table.Find("h", "/stream/").Generation = true
	g.table.Find("h", "/resumable/").Generation = true
	g.table.Service("desk").Engine = &route.Engine{Moves: true}
	c := admit(t, g, request(path))
	s := g.send(start, c)
	for range 5 {
		c.Progress(start, "x")
	}
	return g, c, s.Send
}

// A network device between entry and upstream loses track of a connection, which stays open
// but delivers nothing, while the upstream keeps producing events. The upstream's report must
// show this. Otherwise the caller would wait indefinitely, or lose a response that is still
// being produced.
func TestASilentLinkIsDistinguishedFromASlowUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []RunReport
		want    Finding
	}{
		{"produced events that did not arrive", []RunReport{{Listed: true, Events: 8}, {Listed: true, Events: 9}}, FindingLinkSilent},
		{"produced events that did not arrive, seen once", []RunReport{{Listed: true, Events: 8}}, FindingWaiting},
		{"produced no more events than arrived", []RunReport{{Listed: true, Events: 5}, {Listed: true, Events: 5}}, FindingWaiting},
		{"preempted: queued at the upstream", []RunReport{{Waiting: 1}, {Waiting: 1}, {Waiting: 1}}, FindingWaiting},
		{"not listed once: the report lags", []RunReport{{}, {Listed: true, Events: 5}, {}}, FindingWaiting},
		{"not listed for a second", []RunReport{{}, {}}, FindingWaiting},
		{"not listed for two seconds", []RunReport{{}, {}, {}}, FindingLost},
	} {
		g, call, a := silentStream(t, "/stream/1")
		now, got := start, FindingWaiting
		for _, r := range c.reports {
			now = now.Add(time.Second)
			got = g.Diagnose(now, call, a, now, r)
		}
		if got != c.want {
			t.Errorf("%s: finding %s, want %s", c.name, got, c.want)
		}
	}
}

// A sound upstream is silent for a second and a half. Its first reports after that are older than the silence,
// and its events arrive after them. Its stream must not be given up by those reports, on routes with any target.
func TestAStreamOutlivesASilenceOfItsUpstream(t *testing.T) {
	const silence, late = 1500 * time.Millisecond, 1600 * time.Millisecond
	for _, target := range []time.Duration{300 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
		for name, r := range map[string]RunReport{"events on the way": {Listed: true, Events: 9}, "ended": {}} {
			g, c, a := silentStream(t, "/stream/1")
			c.Route.Target = target
			for d := 400 * time.Millisecond; d < silence; d += 300 * time.Millisecond {
				g.QueryFailed(start.Add(d+100*time.Millisecond), c, a, start.Add(d))
			}
			for d := silence; d < silence+late; d += 100 * time.Millisecond {
				if at := start.Add(d); g.Diagnose(at, c, a, at, r) == FindingLost {
					t.Errorf("target %v, %s: the stream is given up %v after the silence, want it kept for %v", target, name, d-silence, late)
					break
				}
			}
		}
	}
}

// An upstream responds, falls silent and responds again. What its reports showed before the silence must not
// count with what they show after it.
func TestAFailedQueryEndsTheEvidenceAboutASilentStream(t *testing.T) {
	for name, r := range map[string]RunReport{"events on the way": {Listed: true, Events: 9}, "not listed": {}} {
		g, c, a := silentStream(t, "/stream/1")
		diagnose := func(d time.Duration) Finding { return g.Diagnose(start.Add(d), c, a, start.Add(d), r) }
		diagnose(400 * time.Millisecond)
		g.QueryFailed(start.Add(1100*time.Millisecond), c, a, start.Add(700*time.Millisecond))
		if f := diagnose(500 * time.Millisecond); f != FindingWaiting {
			t.Errorf("%s: finding %s by a report from before a failed query, want %s", name, f, FindingWaiting)
		}
		if f := diagnose(3 * time.Second); f != FindingWaiting {
			t.Errorf("%s: finding %s by one report after a failed query, want %s", name, f, FindingWaiting)
		}
		if f := diagnose(5 * time.Second); f == FindingWaiting {
			t.Errorf("%s: finding %s after two seconds of the same reports, want another one", name, f)
		}
	}
}

// A request that is not repeated any more, because its attempts are used up, must not be given up in favour of
// another upstream before its generation is known to be lost.
func TestAStreamIsGivenUpEarlyOnlyIfItCanBeRepeated(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(g *Gate, c *Call)
		want  Finding
	}{
		{"can be repeated", func(*Gate, *Call) {}, FindingLost},
		{"attempts used up", func(_ *Gate, c *Call) { c.sends = c.Route.MaxAttempts }, FindingWaiting},
		{"body not buffered", func(_ *Gate, c *Call) { c.Replayable = false }, FindingWaiting},
		{"retry budget used up", func(g *Gate, _ *Call) { g.options.RetrySlack, g.options.RetryRatio, g.instances = 0, 0, 1000 }, FindingWaiting},
	} {
		g := gate(t, 3)
		g.table.Find("h", "/resumable/").Generation = true
		g.table.Service("desk").Engine = &route.Engine{}
		c := admit(t, g, request("/resumable/1"))
		c.Route.Target = 1800 * time.Millisecond
		a := g.send(start, c).Send
		tc.spoil(g, c)
		got := FindingWaiting
		for _, d := range []time.Duration{time.Second, 2 * time.Second} {
			got = g.Diagnose(start.Add(d), c, a, start.Add(d), RunReport{})
		}
		if got != tc.want {
			t.Errorf("%s: finding %s after a second without the generation, want %s", tc.name, got, tc.want)
		}
	}
}

// A report is stale if the stream has delivered an event since the query, or if the
// generation has moved to another upstream. Acting on it would stop a generation that makes
// progress.
func TestAStaleReportAboutASilentStreamIsIgnored(t *testing.T) {
	g, c, a := silentStream(t, "/stream/1")
	queriedAt := start.Add(400 * time.Millisecond)
	c.Progress(start.Add(500*time.Millisecond), "x")
	if f := g.Diagnose(queriedAt, c, a, queriedAt, RunReport{Listed: true, Events: 9}); f != FindingWaiting {
		t.Errorf("event since the query: finding %s, want FindingWaiting", f)
	}
	if at := queriedAt.Add(linkProof); g.Diagnose(at, c, a, at, RunReport{Listed: true, Events: 9}) != FindingWaiting {
		t.Error("the stale report counts together with a later one, want it ignored")
	}
	if f := g.Diagnose(start.Add(time.Second), c, &Attempt{}, start.Add(time.Second), RunReport{Listed: true, Events: 9}); f != FindingWaiting {
		t.Errorf("another attempt: finding %s, want FindingWaiting", f)
	}
}

// Queries are priced, and an engine under load may be silent for seconds, so the interval
// between queries grows. An event resets it.
func TestSilenceQueriesBackOff(t *testing.T) {
	g, c, _ := silentStream(t, "/stream/1")
	var at []time.Duration
	for d := time.Duration(0); d < 12*time.Second; d += 50 * time.Millisecond {
		if g.QueryDue(start.Add(d), c) {
			at = append(at, d)
		}
	}
	if len(at) < 4 || len(at) > 9 || at[0] != minSilence || at[1]-at[0] != queryInterval {
		t.Errorf("queries after %v, want 4 to 9 queries, the first after minSilence and the second after another queryInterval", at)
	}
	if last := len(at) - 1; at[last]-at[last-1] != maxQueryInterval {
		t.Errorf("queries after %v, want %v between the last two", at, maxQueryInterval)
	}
	c.Progress(start.Add(12*time.Second), "x")
	if g.QueryDue(start.Add(12*time.Second+minSilence-1), c) {
		t.Error("a query is due right after an event, want none")
	}
}

// An engine does not support moves. If the connection of a stream is silent, a stream that
// must not run again keeps waiting, and a resumable one is abandoned so that it can be
// resumed at another upstream. A service that is not an engine must not be queried: it would
// handle the query as a request.
func TestSilentStreamsOfAnEngineWithoutMoves(t *testing.T) {
	report := RunReport{Listed: true, Events: 8}
	for path, want := range map[string]Finding{"/stream/1": FindingWaiting, "/resumable/1": FindingLost} {
		g, c, a := silentStream(t, path)
		g.table.Service("desk").Engine.Moves = false
		got := FindingWaiting
		for _, d := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			got = g.Diagnose(start.Add(d), c, a, start.Add(d), report)
		}
		if got != want {
			t.Errorf("%s: finding %s, want %s", path, got, want)
		}
		g.table.Service("desk").Engine = nil
		if g.QueryDue(start.Add(time.Minute), c) {
			t.Errorf("%s: a query to a service that is not an engine is due, want none", path)
		}
	}
}

// While a caller does not read, no event is read either, and the upstream reports more events than
// were forwarded. If the upstream counted as silent, the generation would be moved again and again.
func TestPausedReadingIsNotASilentUpstream(t *testing.T) {
	g, c, _ := silentStream(t, "/stream/1")
	c.SetReadingPaused(start, true)
	later := start.Add(time.Minute)
	if g.QueryDue(later, c) {
		t.Error("a query is due while reading is paused, want none")
	}
	c.SetReadingPaused(later, false)
	if g.QueryDue(later, c) {
		t.Error("a query is due right after the pause, want none before the stream has been silent")
	}
	if !g.QueryDue(later.Add(time.Minute), c) {
		t.Error("no query is due a minute after the pause without an event, want one")
	}
}

// The reports of one upstream miss several streams, or several calls take long, and the retry budget has room for one
// retry. Only one may be given up for it: the others would end with an error.
func TestCallsAreNotGivenUpForTheSameRetry(t *testing.T) {
	o := options()
	o.RetryRatio, o.RetrySlack = 0, 1.1/budgetShare
	for path, giveUp := range map[string]func(g *Gate, c *Call, a *Attempt) bool{
		"/safe/1": func(g *Gate, c *Call, _ *Attempt) bool { return g.Replace(start.Add(500*time.Millisecond), c) },
		"/resumable/1": func(g *Gate, c *Call, a *Attempt) bool {
			first, second := start.Add(time.Second), start.Add(2*time.Second)
			return g.Diagnose(first, c, a, first, RunReport{}) == FindingLost || g.Diagnose(second, c, a, second, RunReport{}) == FindingLost
		},
	} {
		g := gateWith(o, 3)
		var lost []*Call
		for range 4 {
			c := admit(t, g, request(path))
			if a := g.send(start, c).Send; giveUp(g, c, a) {
				lost = append(lost, c)
			}
		}
		if len(lost) != 1 {
			t.Errorf("%s: %d of 4 calls are given up, want one", path, len(lost))
		}
		for _, c := range lost {
			if s := g.Ended(start.Add(600*time.Millisecond), c, Lost, false); s.Send == nil {
				t.Errorf("%s: step %+v of a call that was given up, want it sent to another upstream", path, s)
			}
		}
	}
}

// A caller takes a stream up after event 10. The engine counts all events of the stream, this instance those that it has
// passed on. An engine that is still reading the prompt is not a silent connection.
func TestAStreamThatIsTakenUpIsNotTakenForASilentLink(t *testing.T) {
	g := gate(t, 3)
	g.table.Service("desk").Engine = &route.Engine{Moves: true}
	r := request("/resumable/1")
	r.AfterEvent = "10"
	c := admit(t, g, r)
	if refusal := g.Bind(start, c, g.Roster().Find("u0").Origin()); refusal != nil {
		t.Fatal(refusal)
	}
	a := g.send(start, c).Send
	for _, d := range []time.Duration{time.Second, 2 * time.Second} {
		if f := g.Diagnose(start.Add(d), c, a, start.Add(d), RunReport{Listed: true, Events: 10}); f != FindingWaiting {
			t.Errorf("finding %s after %v, want %s", f, d, FindingWaiting)
		}
	}
}

// An upstream that sends nothing at all counts as gone after a while, since the kernel no longer decides that for its
// streams. A report meanwhile shows that it is there.
func TestAnUpstreamOutOfReachIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name        string
		respondedAt time.Duration
		want        Finding
	}{
		{"sends nothing", 0, FindingOutOfReach},
		{"has responded", 2 * time.Second, FindingWaiting},
	} {
		g, call, a := silentStream(t, "/stream/1")
		got := FindingWaiting
		for d := 500 * time.Millisecond; d <= maxOutOfReach; d += 500 * time.Millisecond {
			at := start.Add(d)
			if d == c.respondedAt {
				g.Diagnose(at, call, a, at, RunReport{Listed: true, Events: 5})
				continue
			}
			if got != FindingWaiting {
				t.Errorf("%s: finding %s before %v, want it kept", c.name, got, maxOutOfReach)
			}
			got = g.QueryFailed(at, call, a, at.Add(-400*time.Millisecond))
		}
		if got != c.want {
			t.Errorf("%s: finding %s after %v, want %s", c.name, got, maxOutOfReach, c.want)
		}
	}
}
