package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Callers ask while upstreams begin to leave, reports stop, the instance list
// lags, homes die, entries and homes freeze and wake with what was under way,
// calls fail and are tried again, and links stall and deliver late, in any order.
// No upstream gets new work more than three seconds after it began to leave.
func TestPromise5PropertyLeavingUpstreamGetsNoNewWork(t *testing.T) {
	params := testkit.Parameters()
	params.MaxSize = 40
	properties := gopter.NewProperties(params)
	sent := 0
	properties.Property("no new work", prop.ForAll(func(order []int) string {
		f := newFleet()
		for _, code := range order {
			f.ask(f.nodes[code%3], code%7)
			f.step(code)
			f.run(time.Duration(100+code%1100) * time.Millisecond)
		}
		f.run(3 * time.Second)
		sent += f.sent
		return f.late
	}, gen.SliceOf(gen.IntRange(0, 9999))))
	properties.TestingRun(t)
	if sent == 0 {
		t.Error("nothing was ever sent to an upstream")
	}
	t.Logf("sent=%d", sent)
}

// firstAsk returns the entry's first ask for a grant, if it has sent one.
func (f *fleet) firstAsk(entry *leaveNode) (home string, ask msg.GrantRequest) {
	a := f.asks[entry.name]
	ask, _ = a.Msg.(msg.GrantRequest)
	return a.To, ask
}

// grantAsk asks i0, as the home of the engines, on behalf of i1.
func (f *fleet) grantAsk(attempt string, number int) {
	ask := placement.Request{Attempt: attempt, Org: "o", Prompt: 10, MaxOutput: 100, MaxWait: time.Minute}
	f.handle(f.nodes[0], core.PeerMessage{From: "i1", Msg: msg.GrantRequest{Pool: "chat@r", Request: ask, Number: number}})
}

// warm wakes the home up with an ask that soon ends, so that it polls.
func (f *fleet) warm() {
	const attempt = "i1:1:0/0"
	f.grantAsk(attempt, 1)
	f.run(time.Second)
	f.handle(f.nodes[0], core.PeerMessage{From: "i1", Msg: msg.GrantEnd{Pool: "chat@r", Attempt: attempt}})
	f.granted = nil
}

// A grant's answer is lost, the upstream begins to leave, and the entry asks
// again for the same attempt. The home must not repeat the grant: the entry
// would count it from its new ask and send work to the leaving upstream.
func TestPromise5LostGrantIsNotRepeatedForALeavingUpstream(t *testing.T) {
	f := newFleet()
	f.nodes[1].frozen = f.now.Add(time.Minute) // the entry gets no answer
	f.warm()
	f.grantAsk("i1:1:1/1", 1)
	if len(f.granted) != 1 {
		t.Fatalf("granted %d times, want once", len(f.granted))
	}
	w := f.worker(f.granted[0].Decision.Upstream)
	w.left = f.now
	f.run(3 * time.Second)
	f.grantAsk("i1:1:1/1", 2)
	for _, m := range f.granted[1:] {
		if m.Decision.Upstream == w.member.Name {
			t.Errorf("%s was granted again after it began to leave", w.member.Name)
		}
	}
}

// A home is frozen while work waits in its queue. A report from before the
// freeze is the first thing that it handles on waking: by that report's own time
// every upstream is fresh, but five seconds have passed.
func TestPromise5FrozenHomeGrantsNothingByOldReports(t *testing.T) {
	f := newFleet()
	f.warm()
	for n := range 5 {
		f.grantAsk(fmt.Sprintf("i1:1:%d/1", n), 1) // four fill the engines, one waits
	}
	if len(f.granted) != 4 {
		t.Fatalf("granted %d, want 4", len(f.granted))
	}
	asked := f.now
	f.now = f.now.Add(5 * time.Second)
	f.handle(f.nodes[0], core.PeerMessage{From: "i1", Msg: msg.GrantEnd{Pool: "chat@r", Attempt: "i1:1:0/1"}})
	for _, name := range []string{"e1", "e2"} {
		r := placement.Report{Upstream: name, Boot: "1", Capacity: 100_000, MaxBatch: 2}
		f.handle(f.nodes[0], core.UpstreamReport{Report: r, PolledAt: asked})
	}
	if len(f.granted) != 4 {
		t.Errorf("granted %s by a report of five seconds ago", f.granted[4].Decision.Upstream)
	}
}

// A grant is held up in a link for longer than it lasts, while the entry asks on
// every 400 ms and hears that it waits. The grant counts from the ask that it
// answers, not from the latest.
func TestPromise5HeldUpGrantHasLapsed(t *testing.T) {
	for _, c := range []struct {
		heldUp time.Duration
		want   int
	}{{900 * time.Millisecond, 1}, {1100 * time.Millisecond, 0}} {
		tried := 0
		for entry := range 3 {
			got, ok := newFleet().holdUp(entry, c.heldUp)
			if !ok {
				continue // this entry is itself the home that it asks
			}
			tried++
			if got != c.want {
				t.Errorf("after %s a grant was used %d times, want %d", c.heldUp, got, c.want)
			}
		}
		if tried == 0 {
			t.Errorf("no entry asked another instance")
		}
	}
}

// holdUp hands an entry the answer to its first ask late and returns how often
// it sent work then. All others are frozen, so that only this answer can make it
// send. ok is false if the entry asked nobody else.
func (f *fleet) holdUp(entry int, heldUp time.Duration) (sent int, ok bool) {
	n := f.nodes[entry]
	n.asked = 1 // the next is a generation
	f.ask(n, 1)
	for try := 0; try < 200 && f.asks[n.name].To == ""; try++ {
		f.run(time.Millisecond)
	}
	for _, other := range f.nodes {
		if other != n {
			other.frozen = f.now.Add(time.Minute)
		}
	}
	home, ask := f.firstAsk(n)
	if home == "" {
		return 0, false
	}
	answer := msg.GrantResponse{
		Pool: ask.Pool, Address: "e1", TTL: time.Second, Number: ask.Number,
		Decision: placement.Decision{Attempt: ask.Request.Attempt, Kind: placement.Queued, Upstream: "e1"},
	}
	for began := f.now; f.now.Sub(began) < heldUp; {
		f.handle(n, core.PeerMessage{From: home, Msg: answer})
		f.run(50 * time.Millisecond)
	}
	before := f.sent
	answer.Decision.Kind = placement.Granted
	f.handle(n, core.PeerMessage{From: home, Msg: answer})
	return f.sent - before, true
}
