package streams

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// poisonStep runs one step of a generated sequence in which a request that crashes
// its upstream is repeated at several instances, among other callers' requests.
func (sim *simulation) poisonStep(op, arg uint8) {
	entry := sim.names[int(arg)%len(sim.names)]
	switch op % 16 {
	case 13:
		sim.submit(entry, "depot-key", "poison", arg%2 == 0)
	case 14:
		sim.submit(entry, "press-key", fmt.Sprintf("order-%d", len(sim.allCallers)), arg%2 == 0)
	case 15:
		if len(sim.names) > 2 && arg < 64 && !sim.losesCopyCount(entry) {
			sim.kill(entry)
		}
	case 10, 11, 12:
		sim.deliverAll("peer ") // otherwise the home would be marked as silent, and there would be two homes
		sim.deliverAll("table ")
		sim.tick(time.Duration(arg) * time.Millisecond)
	default:
		sim.step(0, arg)
	}
}

// losesCopyCount reports whether an instance is the home of the pool while a request
// that crashes upstreams runs. If that home were killed, the next home would have no
// record of how many copies are running; docs/STREAMS.md lists this case as not
// covered.
func (sim *simulation) losesCopyCount(name string) bool {
	return sim.home() == name && slices.ContainsFunc(sim.allCallers, func(c *caller) bool {
		return c.poison && !c.ended
	})
}

// home returns the home of the pool.
func (sim *simulation) home() string {
	view := membership.NewView(sim.member(sim.names[0]))
	var list []membership.Member
	for _, n := range sim.names {
		list = append(list, sim.member(n))
	}
	view.Update(sim.now, list)
	return view.Homes(sim.now, "pool/assistant@kerala-south", 1, func(string) int { return 0 })[0]
}

// nonHome returns an instance that is not the home of the pool.
func (sim *simulation) nonHome() string {
	home := sim.home()
	return sim.names[slices.IndexFunc(sim.names, func(n string) bool { return n != home })]
}

// A caller repeats a request that crashes each engine that runs it, under new ids at
// all instances and also concurrently, while other callers send requests and
// instances (including homes) are killed. At most two engines may crash, the other
// callers must be served (a stream that had begun may end as partial), and in the
// end the request must be refused.
func TestPoisonPropertyTwoCrashesInnocentsServed(t *testing.T) {
	params := testkit.Parameters()
	params.MinSize = 70 // short sequences never reach a second crash
	props := gopter.NewProperties(params)
	props.Property("at most two crashes, other callers are served", prop.ForAll(
		func(steps []uint16) string {
			sim := newSimulation(4, 4, "1000.00")
			for _, choice := range steps {
				sim.poisonStep(uint8(choice>>8), uint8(choice))
			}
			sim.runUntilEnded()
			for range 3 {
				for _, entry := range sim.names {
					sim.submit(entry, "depot-key", "poison", true)
					sim.runUntilEnded()
				}
			}
			return strings.Join(append(sim.check(), sim.checkPoison()...), "\n")
		},
		gen.SliceOf(gen.UInt16()),
	))
	props.TestingRun(t)
}

// checkPoison verifies the number of crashes, that other callers were served and
// that the last crashing request was refused; it returns the violations found.
func (sim *simulation) checkPoison() []string {
	var violations []string
	if sim.crashes > 2 {
		violations = append(violations, fmt.Sprintf("%d crashes, want at most 2", sim.crashes))
	}
	for n, c := range sim.allCallers {
		// A stream that had begun can't be continued by another generation, and
		// while polls are delayed a home has no upstream to place work on.
		brokenOff := c.outcome == core.Partial && len(c.tokens) > 0 || c.reason == "connection_lost"
		if !c.poison && c.outcome != core.Done && !brokenOff && c.reason != placement.ReasonNoUpstream {
			violations = append(violations, fmt.Sprintf("caller %d, not sending the crashing request: outcome %s, reason %q; want done", n, c.outcome, c.reason))
		}
	}
	if last := sim.allCallers[len(sim.allCallers)-1]; last.reason != core.ReasonPoison || last.retryAfter <= 0 {
		violations = append(violations, fmt.Sprintf("last crashing request: outcome %s, reason %q; want reason poison and a time to retry", last.outcome, last.reason))
	}
	return violations
}

// An instance that starts after the crashes must refuse the request too, because it
// requests the strikes from its peers. The strikes must expire: their TTL is ten
// minutes, and the test checks after eleven minutes.
func TestPoisonRefusedByNewInstance(t *testing.T) {
	sim := newSimulation(2, 4, "1000.00")
	for range 2 {
		sim.submit("entry-0", "depot-key", "poison", true)
		sim.runUntilEnded()
	}
	sim.start("entry-9")
	sim.runFor(2 * time.Second)
	sim.kill("entry-0")
	sim.kill("entry-1")
	c := sim.submit("entry-9", "depot-key", "poison", true)
	sim.runUntilEnded()
	if sim.crashes != 2 || c.reason != core.ReasonPoison || c.outcome != core.NotRun {
		t.Errorf("crashes = %d, outcome %s, reason %s; want 2 crashes, outcome not_run and reason poison", sim.crashes, c.outcome, c.reason)
	}
	sim.runFor(11 * time.Minute)
	sim.warmUp()
	sim.submit("entry-9", "depot-key", "poison", true)
	sim.runUntilEnded()
	if sim.crashes <= 2 {
		t.Errorf("crashes = %d after the strikes had expired, want more than 2", sim.crashes)
	}
}

// The home of the pool is killed while the request runs, before the request crashes
// its engine. The next home has no record of the request. It receives from the
// entry's retry which boot of which engine failed, and detects that this boot has
// ended, so that it records a strike.
func TestPoisonHomeDiesBeforeTheCrash(t *testing.T) {
	sim := newSimulation(4, 4, "1000.00")
	sim.submit(sim.nonHome(), "depot-key", "poison", true)
	for len(sim.pending("link ")) == 0 {
		sim.deliverNext(sim.pending("")[0])
	}
	sim.kill(sim.home())
	sim.runFor(200 * time.Millisecond)
	for range 4 {
		for _, entry := range sim.names {
			sim.submit(entry, "depot-key", "poison", true)
			sim.runUntilEnded()
		}
	}
	if sim.crashes != 2 {
		t.Errorf("crashes = %d after the home was killed, want 2", sim.crashes)
	}
}

// Two engines each run a copy of a crashing request, both granted before the first
// crash; one of them also runs another caller's request. When that engine crashes,
// the other caller's request must not be placed on the engine that runs the second
// copy: after a second crash that request would have two strikes and be refused.
func TestPoisonBystanderIsKeptFromTheSecondCopy(t *testing.T) {
	sim := newSimulation(2, 2, "1000.00")
	bystander := sim.submit("entry-0", "press-key", "endless-order", false)
	sim.runFor(3 * time.Second) // past the home's first seconds, in which requests with a strike wait
	var firstCopy string        // channel of the first copy's connection
	for range 2 {
		c := sim.submit("entry-0", "depot-key", "poison", false)
		link := "link entry-0 " + c.request + "/1 1"
		for len(sim.channels[link]) == 0 {
			sim.deliverNext(append(sim.pending("peer "), sim.pending("table ")...)[0])
		}
		if firstCopy == "" {
			firstCopy = link
		}
	}
	events := sim.channels[firstCopy]
	sim.channels[firstCopy] = nil
	sim.runFor(4 * time.Second) // until the crashed engine has restarted
	sim.channels[firstCopy] = events
	sim.runFor(8 * time.Second)
	if sim.crashes != 2 || bystander.ended || sim.counts["strikes_total"] != 3 {
		t.Errorf("crashes = %d, strikes = %d, other caller ended = %t with outcome %s, reason %q; want 2 crashes, 3 strikes and not ended", sim.crashes, sim.counts["strikes_total"], bystander.ended, bystander.outcome, bystander.reason)
	}
}

// An engine that freezes or can't be reached has not crashed: its requests must be
// retried elsewhere and get no strike.
func TestPoisonFrozenEngineIsNoCrash(t *testing.T) {
	sim := newSimulation(2, 2, "1000.00")
	var all []*caller
	for n := range 6 {
		all = append(all, sim.submit("entry-0", "depot-key", fmt.Sprintf("order-%d", n), false))
	}
	for range 100 {
		for _, channel := range []string{"peer ", "table ", "poll "} {
			for _, ch := range sim.pending(channel) {
				sim.deliverNext(ch)
			}
		}
	}
	if got := len(sim.pending("link ")); got != len(all) {
		t.Fatalf("%d connections to engines, want %d", got, len(all))
	}
	for _, ch := range sim.pending("link ") {
		sim.channels[ch] = nil // every connection becomes silent permanently
	}
	sim.engines["engine-0"].frozen = true
	sim.runFor(3 * time.Second)
	sim.engines["engine-0"].frozen = false
	sim.runUntilEnded()
	for n, c := range all {
		if c.outcome != core.Done {
			t.Errorf("caller %d: outcome %s, reason %q; want done", n, c.outcome, c.reason)
		}
	}
	if sim.counts["strikes_total"] != 0 {
		t.Errorf("strikes = %d, want 0", sim.counts["strikes_total"])
	}
}
