package streams

import (
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// generation returns the only generation with the given body.
func (sim *simulation) generation(t *testing.T, body string) *generation {
	t.Helper()
	for _, e := range sim.engines {
		for _, g := range e.gens {
			if g.body == body {
				return g
			}
		}
	}
	t.Fatalf("no engine has a generation for body %q, want one", body)
	return nil
}

// abandon makes a caller disconnect and not reconnect.
func (sim *simulation) abandon(c *caller) {
	old := c.request
	c.request, c.ended = "", true
	sim.handle(c.entry, core.CallerDisconnected{ID: old})
}

// trackedRequests returns the number of requests that all instances together track.
func (sim *simulation) trackedRequests() int {
	n := 0
	for _, i := range sim.instances {
		n += i.Requests()
	}
	return n
}

// A caller disconnects during its stream and does not reconnect. Its entry keeps
// reading the generation without announcing it. After the resume window (5 s here)
// the home must query every instance and cancel the generation. The entry receives
// the number of tokens from the engine and settles the cost. The generation must also
// be cancelled if the entry was killed, if the home was killed as well, and if the
// instance list changed.
func TestPromise1CallerGoneIsCancelledAfterWindow(t *testing.T) {
	for name, change := range map[string]func(sim *simulation, c *caller){
		"caller disconnected":   func(sim *simulation, c *caller) { sim.abandon(c) },
		"entry killed":          func(sim *simulation, c *caller) { c.ended = true; sim.kill(c.entry) },
		"home and entry killed": func(sim *simulation, c *caller) { c.ended = true; sim.kill(sim.home()); sim.kill(c.entry) },
		"instance list changed": func(sim *simulation, c *caller) { sim.abandon(c); sim.start("entry-9") },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 2, "1000.00")
			c := sim.submit(sim.nonHome(), "depot-key", "endless", true)
			sim.runFor(time.Second)
			g := sim.generation(t, "endless")
			change(sim, c)
			sim.submit(sim.names[len(sim.names)-1], "press-key", "other", false) // so that a home is active
			sim.runFor(3 * time.Second)
			if g.cancelled {
				t.Fatal("generation cancelled within the resume window, want it kept")
			}
			sim.runFor(10 * time.Second)
			if !g.cancelled {
				t.Error("generation not cancelled 13 s after the caller disconnected, want it cancelled")
			}
			sim.runFor(20 * time.Second)
			if n := sim.trackedRequests(); n != 0 {
				t.Errorf("instances still track %d requests, want 0", n)
			}
		})
	}
}

// A caller loses its connection and resumes at another entry. The first entry must
// stop tracking the request. The generation must not be cancelled, not even after
// the caller resumes a second time and the home is killed.
func TestPromise1AdoptedGenerationIsNotCancelled(t *testing.T) {
	sim := newSimulation(4, 2, "1000.00")
	c := sim.submit("entry-0", "depot-key", "endless", true)
	sim.runFor(time.Second)
	g := sim.generation(t, "endless")
	steps := []func(){
		func() { sim.disconnect(c, true) },
		func() { sim.disconnect(c, false) }, // the old entry does not detect the disconnect
		func() { sim.kill(sim.home()) },
	}
	for n, step := range steps {
		step()
		sim.runFor(15 * time.Second)
		if g.cancelled || c.ended {
			t.Fatalf("step %d: cancelled = %t, caller ended = %t with reason %q; want both false", n, g.cancelled, c.ended, c.reason)
		}
		if got := sim.trackedRequests(); got != 1 {
			t.Errorf("step %d: %d instances track the request, want 1", n, got)
		}
	}
	if got := len(c.tokens); got < 2 || strings.Join(sim.check(), "") != "caller 0 (, ): no end" {
		t.Errorf("tokens = %d, violations %v; want at least 2 tokens, and the missing end of the stream as the only violation", got, sim.check())
	}
}

// The home receives no announcement from the entry for longer than the resume
// window, as could happen with two active homes. It must query the instances before it
// cancels the generation, so that the stream continues. It must not cancel the
// generation while an instance in the list has not replied, either.
func TestPromise1HomeAsksBeforeItCancels(t *testing.T) {
	for name, drop := range map[string]func(msg.Message) bool{
		"announcements lost": func(m msg.Message) bool { _, is := m.(msg.Announce); return is },
		"replies lost too": func(m msg.Message) bool {
			_, announce := m.(msg.Announce)
			_, reply := m.(msg.FollowResponse)
			return announce || reply
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(3, 1, "1000.00")
			sim.dropMessage = drop
			c := sim.submit(sim.nonHome(), "depot-key", "endless", true)
			for range 10 {
				sim.runFor(3 * time.Second)
				sim.submit(sim.home(), "press-key", "other", false) // so that the home stays active
			}
			if sim.generation(t, "endless").cancelled || c.ended {
				t.Errorf("the generation was cancelled, or the caller ended (%t, reason %q); want neither, as the entry tracks the stream", c.ended, c.reason)
			}
		})
	}
}

// The cost of a generation must be settled once and exactly, also after its caller
// resumed at another entry, and after a cancel for which the engine reported the
// number of tokens. The limit of 0.075 suffices for one request at its maximum cost
// (0.065) and a little more, so that a second request runs only if the first one was
// settled at its actual cost.
func TestBudgetAdoptedStreamSettledOnceExactly(t *testing.T) {
	for name, run := range map[string]func(sim *simulation){
		"resumed elsewhere": func(sim *simulation) {
			c := sim.submit("entry-0", "depot-key", "order", true)
			for len(c.tokens) == 0 {
				for _, ch := range sim.pending("") {
					sim.deliverNext(ch)
				}
				sim.tick(time.Millisecond)
			}
			sim.disconnect(c, true)
			sim.tick(300 * time.Millisecond) // the caller resumes before the remaining tokens arrive
			sim.runUntilEnded()
		},
		"cancelled": func(sim *simulation) {
			c := sim.submit("entry-0", "depot-key", "endless", true)
			sim.runFor(time.Second)
			sim.abandon(c)
			sim.runFor(30 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(3, 1, "0.075")
			run(sim)
			sim.warmUp()
			c := sim.submit("entry-2", "depot-key", "second", false)
			sim.runUntilEnded()
			if c.outcome != core.Done {
				t.Errorf("second request: outcome %s, reason %q; want done", c.outcome, c.reason)
			}
		})
	}
}

// The first attempt of a request ran and failed, and no second attempt can be
// placed, as the engine has become unreachable. The caller must not get the outcome
// "not run".
func TestPromise3NotRunIsNotSaidAfterAnAttemptRan(t *testing.T) {
	sim := newSimulation(2, 1, "1000.00")
	e := sim.engines["engine-0"]
	e.failuresLeft = 1
	ran := e.runs
	c := sim.submit("entry-0", "depot-key", "order", false)
	for e.runs == ran {
		sim.deliverNext(sim.pending("")[0])
	}
	e.downUntil = sim.now.Add(time.Hour)
	sim.runUntilEnded()
	if c.outcome != core.Unknown || c.reason == core.ReasonUpstreamFailed {
		t.Errorf("outcome %s, reason %q; want unknown with the reason of a refused placement", c.outcome, c.reason)
	}
}

// The first attempt's engine becomes silent after the first token and has dropped
// the generation when the entry tries to resume, so that a second attempt runs. Then
// the first attempt's remaining tokens arrive late, before and after the end of the
// second attempt. The response must consist of the second attempt's tokens only, and
// the late tokens must be counted.
func TestPromise1LateFirstAttempt(t *testing.T) {
	sim := newSimulation(2, 2, "1000.00")
	c := sim.submit("entry-0", "depot-key", "long", false)
	for len(sim.pending("link ")) == 0 {
		sim.deliverNext(sim.pending("")[0])
	}
	link := sim.pending("link ")[0]
	sim.deliverNext(link)
	late := sim.channels[link]
	sim.channels[link] = nil
	for _, e := range sim.engines {
		e.gens = map[string]*generation{} // the engine has dropped its generations without a restart
	}
	sim.runFor(4 * time.Second)
	if c.ended {
		t.Fatalf("caller ended before the second attempt with outcome %s, reason %q; want it to wait", c.outcome, c.reason)
	}
	sim.channels[link] = late[:10]
	sim.runFor(100 * time.Millisecond)
	sim.runUntilEnded()
	sim.channels[link] = late[10:]
	sim.runFor(time.Second)
	violations := sim.check()
	if c.outcome != core.Done || len(violations) != 0 || !strings.Contains(c.text, "/2|") {
		t.Errorf("outcome %s, reason %q, violations %v, text %.60q; want done with tokens of attempt 2", c.outcome, c.reason, violations, c.text)
	}
	if got := sim.counts["late_answers_total token"] + sim.counts["late_answers_total old_link_token"]; got != len(late)-1 {
		t.Errorf("counted %d late tokens, want %d", got, len(late)-1)
	}
}

// An engine sends keep-alives forever but no more tokens. When the connection to the
// engine ends after the timeout of the call (ten minutes here), the entry must not
// resume reading for another ten minutes: the stream must end as partial.
func TestPromise1TimeoutBoundsAllConnections(t *testing.T) {
	sim := newSimulation(2, 1, "1000.00")
	c := sim.submit("entry-0", "depot-key", "endless", true)
	sim.runFor(10*time.Minute + time.Second)
	for _, l := range sim.engines["engine-0"].links {
		sim.breakLink(l)
	}
	sim.runFor(time.Second)
	if c.outcome != core.Partial {
		t.Errorf("caller ended = %t, outcome %s, reason %q; want partial", c.ended, c.outcome, c.reason)
	}
}

// A token is missing, and many tokens after it are already in transit. The entry must
// resume only once for this gap, and the response must be complete.
func TestPromise1GapUsesOneResume(t *testing.T) {
	sim := newSimulation(2, 1, "1000.00")
	c := sim.submit("entry-0", "depot-key", "long", true)
	for len(c.tokens) == 0 {
		sim.deliverNext(sim.pending("")[0])
	}
	link := sim.pending("link ")[0]
	sim.channels[link] = sim.channels[link][1:]
	sim.runUntilEnded()
	if violations := sim.check(); c.outcome != core.Done || len(violations) != 0 || sim.counts["retries_total resume_gap"] != 1 {
		t.Errorf("outcome %s, reason %q, violations %v, resumes %d; want done, no violations and 1 resume", c.outcome, c.reason, violations, sim.counts["retries_total resume_gap"])
	}
}
