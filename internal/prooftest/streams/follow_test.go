package streams

import (
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// generation finds the one generation with a body.
func (w *world) generation(t *testing.T, body string) *generation {
	t.Helper()
	for _, e := range w.engines {
		for _, g := range e.gens {
			if g.body == body {
				return g
			}
		}
	}
	t.Fatalf("no generation of %q", body)
	return nil
}

// leave makes a caller go for good.
func (w *world) leave(c *caller) {
	old := c.request
	c.request, c.ended = "", true
	w.handle(c.entry, core.CallerDisconnected{ID: old})
}

func (w *world) requests() int {
	n := 0
	for _, i := range w.instances {
		n += i.Requests()
	}
	return n
}

// A caller leaves in the middle of its stream and does not come back. Its
// entry follows the generation without announcing it; after the resume window
// (5 s here) the home asks every instance and cancels. The entry learns the
// cost from the engine and settles it. The same if the entry has died, and if
// the home has died too.
func TestPromise1CallerGoneIsCancelledAfterWindow(t *testing.T) {
	for name, then := range map[string]func(w *world, c *caller){
		"caller left":       func(w *world, c *caller) { w.leave(c) },
		"entry died":        func(w *world, c *caller) { c.ended = true; w.kill(c.entry) },
		"home and entry":    func(w *world, c *caller) { c.ended = true; w.kill(w.home()); w.kill(c.entry) },
		"list of instances": func(w *world, c *caller) { w.leave(c); w.start("entry-9") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, 2, "1000.00")
			c := w.ask(w.away(), "depot-key", "endless", true)
			w.settle(time.Second)
			g := w.generation(t, "endless")
			then(w, c)
			w.ask(w.names[len(w.names)-1], "press-key", "other", false) // there is a home at work
			w.settle(3 * time.Second)
			if g.cancelled {
				t.Fatal("cancelled within the resume window")
			}
			w.settle(10 * time.Second)
			if !g.cancelled {
				t.Error("not cancelled 13 s after the caller left")
			}
			w.settle(20 * time.Second)
			if n := w.requests(); n != 0 {
				t.Errorf("%d requests are still followed, want none", n)
			}
		})
	}
}

// A caller loses its connection and resumes at another entry. The first entry
// lets go; the second one's generation is never cancelled, also when the first
// dies later, when the home dies and when the caller moves on a second time.
func TestPromise1AdoptedGenerationIsNotCancelled(t *testing.T) {
	w := newWorld(4, 2, "1000.00")
	c := w.ask("entry-0", "depot-key", "endless", true)
	w.settle(time.Second)
	g := w.generation(t, "endless")
	steps := []func(){
		func() { w.cutCaller(c, true) },
		func() { w.cutCaller(c, false) }, // silent: the old entry is not told
		func() { w.kill(w.home()) },
	}
	for n, step := range steps {
		step()
		w.settle(15 * time.Second)
		if g.cancelled || c.ended {
			t.Fatalf("step %d: cancelled %t, caller ended %t %s", n, g.cancelled, c.ended, c.reason)
		}
		if got := w.requests(); got != 1 {
			t.Errorf("step %d: %d entries follow the generation, want 1", n, got)
		}
	}
	if want := len(c.tokens); want < 2 || strings.Join(w.check(), "") != "caller 0 (, ): no end" {
		t.Errorf("tokens = %d, %v", want, w.check())
	}
}

// Two homes are at work, as it seems to this one: no announcement of the entry
// reaches it for longer than the resume window. It asks before it cancels, and
// the stream goes on. An instance that does not answer, but is in the list,
// keeps it from cancelling too.
func TestPromise1HomeAsksBeforeItCancels(t *testing.T) {
	for name, loses := range map[string]func(msg.Message) bool{
		"announcements lost": func(m msg.Message) bool { _, is := m.(msg.Announce); return is },
		"answers lost too": func(m msg.Message) bool {
			_, announce := m.(msg.Announce)
			_, answer := m.(msg.FollowResponse)
			return announce || answer
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, 1, "1000.00")
			w.loses = loses
			c := w.ask(w.away(), "depot-key", "endless", true)
			for range 10 {
				w.settle(3 * time.Second)
				w.ask(w.home(), "press-key", "other", false) // it stays at work
			}
			if w.generation(t, "endless").cancelled || c.ended {
				t.Errorf("cancelled a stream that its entry follows; caller ended %t %s", c.ended, c.reason)
			}
		})
	}
}

// What a generation cost is settled once and exactly, also after its caller
// moved to another entry, and after a cancel whose engine told the tokens. The
// limit has room for one request at its maximum (0.065) and a little more, so
// that a second one runs only if the first was settled at what it used.
func TestBudgetAdoptedStreamSettledOnceExactly(t *testing.T) {
	for name, run := range map[string]func(w *world){
		"resumed elsewhere": func(w *world) {
			c := w.ask("entry-0", "depot-key", "order", true)
			for len(c.tokens) == 0 {
				for _, ch := range w.open("") {
					w.pop(ch)
				}
				w.tick(time.Millisecond)
			}
			w.cutCaller(c, true)
			w.tick(300 * time.Millisecond) // it resumes before the rest arrives
			w.settleAll()
		},
		"cancelled": func(w *world) {
			c := w.ask("entry-0", "depot-key", "endless", true)
			w.settle(time.Second)
			w.leave(c)
			w.settle(30 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, 1, "0.075")
			run(w)
			w.warm()
			c := w.ask("entry-2", "depot-key", "second", false)
			w.settleAll()
			if c.outcome != core.Done {
				t.Errorf("second request: %s %s, want done", c.outcome, c.reason)
			}
		})
	}
}

// A request's first attempt ran and failed, and no second one can be placed, as
// the engine has gone in the meantime. The caller must not read "not run".
func TestPromise3NotRunIsNotSaidAfterAnAttemptRan(t *testing.T) {
	w := newWorld(2, 1, "1000.00")
	e := w.engines["engine-0"]
	e.failures = 1
	ran := e.runs
	c := w.ask("entry-0", "depot-key", "order", false)
	for e.runs == ran {
		w.pop(w.open("")[0])
	}
	e.down = w.now.Add(time.Hour)
	w.settleAll()
	if c.outcome != core.Unknown || c.reason == core.ReasonUpstreamFailed {
		t.Errorf("outcome %s %s, want unknown after a refused placement", c.outcome, c.reason)
	}
}

// The first attempt's engine falls silent after some tokens and does not know
// the generation when it is asked to go on, so that a second attempt runs
// elsewhere. Then the first one's tokens arrive after all, before and after the
// second's end. The whole answer is the second's, and the late ones are counted.
func TestPromise1LateFirstAttempt(t *testing.T) {
	w := newWorld(2, 2, "1000.00")
	c := w.ask("entry-0", "depot-key", "long", false)
	for len(w.open("link ")) == 0 {
		w.pop(w.open("")[0])
	}
	link := w.open("link ")[0]
	w.pop(link)
	late := w.channels[link]
	w.channels[link] = nil
	for _, e := range w.engines {
		e.gens = map[string]*generation{} // it has forgotten, without a new run
	}
	w.settle(4 * time.Second)
	if c.ended {
		t.Fatalf("ended early: %s %s", c.outcome, c.reason)
	}
	w.channels[link] = late[:10]
	w.settle(100 * time.Millisecond)
	w.settleAll()
	w.channels[link] = late[10:]
	w.settle(time.Second)
	bad := w.check()
	if c.outcome != core.Done || len(bad) != 0 || !strings.Contains(c.text, "/2|") {
		t.Errorf("%s %s, %v, %.60q", c.outcome, c.reason, bad, c.text)
	}
	if got := w.counts["late_answers_total token"] + w.counts["late_answers_total old_link_token"]; got != len(late)-1 {
		t.Errorf("%d late tokens were counted, want %d", got, len(late)-1)
	}
}

// An engine shows life for ever but brings no more tokens. The call's deadline,
// ten minutes here, ends its connection; the entry does not read on for another
// ten minutes, and the stream ends as partial.
func TestPromise1TimeoutBoundsAllConnections(t *testing.T) {
	w := newWorld(2, 1, "1000.00")
	c := w.ask("entry-0", "depot-key", "endless", true)
	w.settle(10*time.Minute + time.Second)
	for _, l := range w.engines["engine-0"].links {
		w.cut(l)
	}
	w.settle(time.Second)
	if c.outcome != core.Partial {
		t.Errorf("ended %t: %s %s, want partial", c.ended, c.outcome, c.reason)
	}
}

// A token is missing, and the many behind it are on their way already. This is
// one gap: it uses up one resume, and the answer is whole.
func TestPromise1GapUsesOneResume(t *testing.T) {
	w := newWorld(2, 1, "1000.00")
	c := w.ask("entry-0", "depot-key", "long", true)
	for len(c.tokens) == 0 {
		w.pop(w.open("")[0])
	}
	link := w.open("link ")[0]
	w.channels[link] = w.channels[link][1:]
	w.settleAll()
	if bad := w.check(); c.outcome != core.Done || len(bad) != 0 || w.counts["retries_total resume_gap"] != 1 {
		t.Errorf("%s %s, %v, %d resumes", c.outcome, c.reason, bad, w.counts["retries_total resume_gap"])
	}
}
