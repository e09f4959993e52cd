package streams

import (
	"fmt"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// fakeEngine runs generations; a poisoned body crashes it.
type fakeEngine struct {
	name  string
	boot  int
	down  time.Time
	gens  map[string]*generation
	links []*link
	// rerun makes it run a lost generation again under its old id.
	rerun    bool
	failures int // new generations to refuse
	frozen   bool
	runs     int
}

type generation struct {
	boot, body string
	want       int
	cancelled  bool
}

func (w *world) report(to, name string, asked time.Time) {
	e := w.engines[name]
	if w.now.Before(e.down) {
		w.handle(to, core.PollFailed{Upstream: name, Refused: true})
		return
	}
	if e.frozen {
		w.handle(to, core.PollFailed{Upstream: name})
		return
	}
	r := placement.Report{Upstream: name, Boot: e.run(), Capacity: 10_000, MaxBatch: 16}
	for id, g := range e.gens {
		if !g.cancelled {
			r.Gens = append(r.Gens, placement.GenLoad{Attempt: id})
		}
	}
	w.handle(to, core.UpstreamReport{Report: r, PolledAt: asked})
}

func (e *fakeEngine) run() string { return fmt.Sprintf("run-%d", e.boot) }

func (e *fakeEngine) cancel(id string) {
	if g := e.gens[id]; g != nil {
		g.cancelled = true
	}
}

// dispatch opens a connection to an engine and queues what comes over it.
func (w *world) dispatch(name string, d core.Dispatch) {
	e := w.engines[d.Address]
	l := &link{channel: fmt.Sprintf("link %s %s %d", name, d.Attempt, d.Link), instance: name, d: d}
	fail := func(sent, gone bool) {
		w.later(l.channel, func() {
			w.handle(name, core.UpstreamFailed{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Sent: sent, NotFound: gone, Step: "fake"})
		})
	}
	if w.now.Before(e.down) {
		fail(false, d.Resume)
		return
	}
	if e.failures > 0 && !d.Resume {
		e.failures--
		e.runs++
		fail(true, true)
		return
	}
	g := e.generation(d)
	if g == nil {
		fail(true, true)
		return
	}
	e.links = append(e.links, l)
	if strings.Contains(g.body, "poison") {
		w.later(l.channel, func() { w.crash(e) })
		w.later(l.channel, func() {}) // the connection is open until the crash
		return
	}
	if strings.Contains(g.body, "endless") {
		l.endless = true
		w.later(l.channel, func() { w.token(l, g, d.From) }) // and keep-alives, with each tick
		return
	}
	for n := d.From; n < g.want; n++ {
		w.later(l.channel, func() { w.token(l, g, n) })
	}
	w.later(l.channel, func() {
		end := core.UpstreamEnd{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Boot: g.boot, Tokens: g.want, Reason: "stop"}
		if g.cancelled {
			end.Reason = core.FinishCancelled
		}
		w.handle(name, end)
	})
}

func (e *fakeEngine) generation(d core.Dispatch) *generation {
	if g := e.gens[d.Attempt]; g != nil {
		return g
	}
	if d.Resume {
		return nil
	}
	e.runs++
	g := &generation{boot: e.run(), body: string(d.Body), want: 3 + len(d.Attempt)%4}
	if g.body == "long" {
		g.want = 30
	}
	e.gens[d.Attempt] = g
	return g
}

// keepAlive lets the connections of endless generations show life, or their
// end once they are cancelled.
func (w *world) keepAlive() {
	for _, e := range w.engines {
		for _, l := range e.links {
			g := e.gens[l.d.Attempt]
			switch {
			case g == nil || !strings.Contains(g.body, "endless"):
			case g.cancelled:
				w.later(l.channel, func() {
					w.handle(l.instance, core.UpstreamEnd{
						Request: l.d.Request, Attempt: l.d.Attempt, Link: l.d.Link, Boot: g.boot, Tokens: g.want, Reason: core.FinishCancelled,
					})
				})
			default:
				w.later(l.channel, func() {
					w.handle(l.instance, core.UpstreamAlive{Request: l.d.Request, Attempt: l.d.Attempt, Link: l.d.Link})
				})
			}
		}
	}
}

func (w *world) token(l *link, g *generation, n int) {
	w.handle(l.instance, core.UpstreamToken{
		Request: l.d.Request, Attempt: l.d.Attempt, Link: l.d.Link, Boot: g.boot, Index: n,
		Text: fmt.Sprintf("%s|%s|%s|%d|%d ", l.d.Attempt, g.boot, g.body, n, g.want),
	})
}

// loading is how long a crashed engine is away. It is longer than the age of
// the report behind a grant and the grant's own life together, 2.2 s: an engine
// that loads its model faster could be struck by a copy whose grant was made
// before the crash.
const loading = 2500 * time.Millisecond

// crash ends an engine's run and breaks its connections.
func (w *world) crash(e *fakeEngine) {
	if w.now.Before(e.down) {
		return
	}
	w.crashes++
	e.boot++
	e.down = w.now.Add(loading)
	if !e.rerun {
		e.gens = map[string]*generation{}
	} else {
		for id, g := range e.gens { // a run of its own under the same id
			e.gens[id] = &generation{boot: e.run(), body: g.body, want: g.want}
		}
	}
	links := e.links
	e.links = nil
	for _, l := range links {
		w.cut(l)
	}
}

// cut ends a connection and what was on its way.
func (w *world) cut(l *link) {
	if len(w.channels[l.channel]) == 0 && !l.endless {
		return
	}
	d := l.d
	w.channels[l.channel] = []func(){func() {
		w.handle(l.instance, core.UpstreamFailed{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Sent: true, Step: "fake"})
	}}
}
