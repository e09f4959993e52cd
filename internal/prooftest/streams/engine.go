package streams

import (
	"fmt"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// fakeEngine runs generations. A request whose body contains "poison" crashes it; a
// generation whose body contains "endless" runs until it is cancelled.
type fakeEngine struct {
	name      string
	boot      int
	downUntil time.Time
	gens      map[string]*generation
	links     []*link
	// rerunLost makes the engine run lost generations again under their old ids.
	rerunLost    bool
	failuresLeft int  // number of new generations to fail
	frozen       bool // the engine returns no reports
	runs         int  // generations started, including the failed ones
}

// generation is one generation of a fake engine with tokenCount tokens in all.
type generation struct {
	boot, body string
	tokenCount int
	cancelled  bool
}

// sendReport delivers the result of a poll: the report of the engine, or the failure of
// the poll if the engine is down or frozen.
func (sim *simulation) sendReport(to, name string, polledAt time.Time) {
	e := sim.engines[name]
	if sim.now.Before(e.downUntil) {
		sim.handle(to, core.PollFailed{Upstream: name, Refused: true})
		return
	}
	if e.frozen {
		sim.handle(to, core.PollFailed{Upstream: name})
		return
	}
	r := placement.Report{Upstream: name, Boot: e.bootID(), Capacity: 10_000, MaxBatch: 16}
	for id, g := range e.gens {
		if !g.cancelled {
			r.Gens = append(r.Gens, placement.GenLoad{Attempt: id})
		}
	}
	sim.handle(to, core.UpstreamReport{Report: r, PolledAt: polledAt})
}

func (e *fakeEngine) bootID() string { return fmt.Sprintf("run-%d", e.boot) }

func (e *fakeEngine) cancel(id string) {
	if g := e.gens[id]; g != nil {
		g.cancelled = true
	}
}

// dispatch opens a connection to an engine and queues the events that arrive over
// it.
func (sim *simulation) dispatch(name string, d core.Dispatch) {
	e := sim.engines[d.Address]
	l := &link{channel: fmt.Sprintf("link %s %s %d", name, d.Attempt, d.Link), instance: name, d: d}
	fail := func(sent, notFound bool) {
		sim.enqueue(l.channel, func() {
			sim.handle(name, core.UpstreamFailed{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Sent: sent, NotFound: notFound, Step: "fake"})
		})
	}
	if sim.now.Before(e.downUntil) {
		fail(false, d.Resume)
		return
	}
	if e.failuresLeft > 0 && !d.Resume {
		e.failuresLeft--
		e.runs++
		fail(true, true)
		return
	}
	g := e.startOrResume(d)
	if g == nil {
		fail(true, true)
		return
	}
	e.links = append(e.links, l)
	if strings.Contains(g.body, "poison") {
		sim.enqueue(l.channel, func() { sim.crash(e) })
		sim.enqueue(l.channel, func() {}) // an event that keeps the connection open until the crash
		return
	}
	if strings.Contains(g.body, "endless") {
		l.endless = true
		sim.enqueue(l.channel, func() { sim.sendToken(l, g, d.From) }) // keepAlive queues a keep-alive with each tick
		return
	}
	for n := d.From; n < g.tokenCount; n++ {
		sim.enqueue(l.channel, func() { sim.sendToken(l, g, n) })
	}
	sim.enqueue(l.channel, func() {
		end := core.UpstreamEnd{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Boot: g.boot, Tokens: g.tokenCount, Reason: "stop"}
		if g.cancelled {
			end.Reason = core.FinishCancelled
		}
		sim.handle(name, end)
	})
}

// startOrResume returns the generation of an attempt. If there is none, it starts one; if
// the dispatch is a resume, it returns nil instead.
func (e *fakeEngine) startOrResume(d core.Dispatch) *generation {
	if g := e.gens[d.Attempt]; g != nil {
		return g
	}
	if d.Resume {
		return nil
	}
	e.runs++
	g := &generation{boot: e.bootID(), body: string(d.Body), tokenCount: 3 + len(d.Attempt)%4}
	if g.body == "long" {
		g.tokenCount = 30
	}
	e.gens[d.Attempt] = g
	return g
}

// keepAlive queues a keep-alive on each connection of an endless generation, or the
// end of the generation once it is cancelled.
func (sim *simulation) keepAlive() {
	for _, e := range sim.engines {
		for _, l := range e.links {
			g := e.gens[l.d.Attempt]
			switch {
			case g == nil || !strings.Contains(g.body, "endless"):
			case g.cancelled:
				sim.enqueue(l.channel, func() {
					sim.handle(l.instance, core.UpstreamEnd{
						Request: l.d.Request, Attempt: l.d.Attempt, Link: l.d.Link, Boot: g.boot, Tokens: g.tokenCount, Reason: core.FinishCancelled,
					})
				})
			default:
				sim.enqueue(l.channel, func() {
					sim.handle(l.instance, core.UpstreamAlive{Request: l.d.Request, Attempt: l.d.Attempt, Link: l.d.Link})
				})
			}
		}
	}
}

// sendToken passes a generation's token n to the instance at the other end of a connection.
func (sim *simulation) sendToken(l *link, g *generation, n int) {
	sim.handle(l.instance, core.UpstreamToken{
		Request: l.d.Request, Attempt: l.d.Attempt, Link: l.d.Link, Boot: g.boot, Index: n,
		Text: fmt.Sprintf("%s|%s|%s|%d|%d ", l.d.Attempt, g.boot, g.body, n, g.tokenCount),
	})
}

// reloadTime is the time for which a crashed engine is unreachable. It is longer
// than 2.2 s, the sum of the maximum age of the report behind a grant and the
// grant's TTL: an engine that loaded its model faster could be crashed again by a
// copy of the request whose grant was made before the first crash.
const reloadTime = 2500 * time.Millisecond

// crash ends the engine's present boot and breaks its connections.
func (sim *simulation) crash(e *fakeEngine) {
	if sim.now.Before(e.downUntil) {
		return
	}
	sim.crashes++
	e.boot++
	e.downUntil = sim.now.Add(reloadTime)
	if !e.rerunLost {
		e.gens = map[string]*generation{}
	} else {
		for id, g := range e.gens { // a new generation under the same id
			e.gens[id] = &generation{boot: e.bootID(), body: g.body, tokenCount: g.tokenCount}
		}
	}
	links := e.links
	e.links = nil
	for _, l := range links {
		sim.breakLink(l)
	}
}

// breakLink breaks a connection and drops the events in transit on it.
func (sim *simulation) breakLink(l *link) {
	if len(sim.channels[l.channel]) == 0 && !l.endless {
		return
	}
	d := l.d
	sim.channels[l.channel] = []func(){func() {
		sim.handle(l.instance, core.UpstreamFailed{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Sent: true, Step: "fake"})
	}}
}
