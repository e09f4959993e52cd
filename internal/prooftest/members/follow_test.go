package members

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// maxCordonDelay is the maximum time until a cordon is in force.
const maxCordonDelay = 2 * time.Second

// In any order, instances freeze, restart or are partitioned, links stall and the
// table is down. An instance may apply a version for at most three seconds after
// the next version was accepted; from then on it must refuse requests. After all
// faults have ended, every instance must apply the next change within four seconds.
func TestPromise7PropertyNoOldVersionIsServed(t *testing.T) {
	properties := gopter.NewProperties(testkit.Parameters())
	properties.Property("no instance serves a replaced version for more than 3 s", prop.ForAll(func(steps []int) string {
		sim := newSimulation(3)
		sim.run(3 * time.Second)
		for _, code := range steps {
			sim.step(code)
			sim.run(time.Duration(200+code%1300) * time.Millisecond)
		}
		sim.heal()
		sim.run(10 * time.Second)
		sim.accept()
		sim.run(maxPropagation)
		if sim.violation == "" {
			sim.violation = sim.outdated()
		}
		return sim.violation
	}, gen.SliceOf(gen.IntRange(0, 9999))))
	properties.TestingRun(t)
}

// A data centre is cordoned directly in the table, not through an instance, while one instance
// starts and another can't reach the table. Two seconds later every instance must apply the
// cordon. Two seconds after the cordon is lifted, no instance may apply it.
func TestPromise7CordonsAreInForceSoon(t *testing.T) {
	sim := newSimulation(3)
	sim.run(3 * time.Second)
	for range 2 {
		sim.cordon("b")
		sim.start(sim.followers[1])
		sim.followers[4].noTableUntil = sim.now.Add(time.Minute)
		sim.run(maxCordonDelay)
		if late := sim.outdated(); late != "" || sim.violation != "" {
			t.Errorf("%s after the cordon changed: outdated instances %q, violation %q; want none", maxCordonDelay, late, sim.violation)
		}
	}
}

// While the table responds to no instance, no change can be accepted. Every
// instance must therefore keep serving requests during an outage of ten minutes,
// and an instance that starts in the outage must get the version from its peers. An
// instance that receives nothing from its peers must refuse requests, as the table
// may respond to the others.
func TestPromise7TableOutageStopsOnlyIsolatedInstance(t *testing.T) {
	sim := newSimulation(3)
	sim.run(3 * time.Second)
	sim.tableDownUntil = sim.now.Add(10 * time.Minute)
	sim.followers[5].isolatedUntil = sim.tableDownUntil
	sim.run(5 * time.Second)
	sim.start(sim.followers[1])
	sim.run(5 * time.Second)
	for elapsed := 10 * time.Second; elapsed < 10*time.Minute; elapsed += time.Second {
		for n, f := range sim.followers {
			if got, want := f.inst.Ready(sim.now), n != 5; got != want {
				t.Fatalf("%s after the start of the outage: %s ready = %v, want %v", elapsed, f.name, got, want)
			}
		}
		sim.run(time.Second)
	}
	sim.run(2 * time.Second)
	sim.accept()
	sim.run(maxPropagation)
	if late := sim.outdated(); late != "" {
		t.Errorf("%s after the first change since the outage: outdated instances: %s; want none", maxPropagation, late)
	}
}

// One of three instances reaches neither the table nor the other instances, which
// still reach the table. The isolated instance can't distinguish this from an outage
// and must refuse requests.
func TestPromise7InstanceCutOffFromAllRefuses(t *testing.T) {
	sim := newSimulation(3, "a")
	sim.run(3 * time.Second)
	sim.followers[0].isolatedUntil = sim.now.Add(time.Minute)
	sim.run(maxStaleness) // replies in transit may still confirm the version for this long
	for range 50 {
		sim.run(time.Second)
		if sim.followers[0].inst.Ready(sim.now) {
			t.Fatal("the isolated instance is ready, want it to refuse requests")
		}
	}
}

// An instance is restarted under its name while a read of the first boot is in
// transit. The reply must not match a read that the second boot sent later, because
// it would confirm a version by a row that was read earlier. Therefore the ids of
// reads must differ between boots.
func TestPromise7ReadIDsDifferBetweenBoots(t *testing.T) {
	seen := map[string]string{}
	for _, boot := range []string{"1", "2"} {
		self := membership.Member{Name: "a0", Role: membership.RoleEntry, DataCentre: "a", State: membership.Live}
		inst := core.New(core.Options{Self: self, Boot: boot, Seed: 1})
		for now := time.Unix(1000, 0); now.Before(time.Unix(1020, 0)); now = now.Add(tickInterval) {
			for _, a := range inst.Handle(now, core.Tick{}) {
				if r, ok := a.(core.Read); ok && seen[r.Op] != "" && seen[r.Op] != boot {
					t.Fatalf("boots %s and %s both use read id %s, want different ids", seen[r.Op], boot, r.Op)
				} else if ok {
					seen[r.Op] = boot
				}
			}
		}
	}
	if len(seen) < 20 {
		t.Errorf("%d different read ids, want at least 20", len(seen))
	}
}

// A data centre that reaches neither the other data centre nor the table can't
// distinguish an outage of the table from a partition, in which a change may have
// been accepted elsewhere. The instances of this data centre must refuse requests.
func TestPromise7CutOffDataCentreRefuses(t *testing.T) {
	sim := newSimulation(3)
	sim.run(3 * time.Second)
	sim.partitionedUntil = sim.now.Add(time.Minute)
	for _, f := range sim.followers[:3] {
		f.noTableUntil = sim.partitionedUntil
	}
	sim.run(maxStaleness + tickInterval)
	for _, f := range sim.followers {
		if got, want := f.inst.Ready(sim.now), f.dc == "b"; got != want {
			t.Errorf("%s ready = %v, want %v", f.name, got, want)
		}
	}
}

// An instance that has adopted a version must not revert because of a message from
// a peer that lags or because of an object that arrives late.
func TestPromise7LateAnswersDoNotRevert(t *testing.T) {
	sim := newSimulation(1)
	sim.run(time.Second)
	old := sim.pointer
	sim.accept()
	sim.run(2 * time.Second)
	f := sim.followers[0]
	sim.handle(f, core.PeerMessage{From: "b0", Msg: msg.ConfigVersion{Number: old.Number, Hash: old.Hash}})
	sim.handle(f, core.ObjectResult{Hash: old.Hash, OK: true, Data: sim.objects[old.Hash]})
	if sim.run(time.Second); f.inst.ConfigNumber() != sim.pointer.Number || sim.violation != "" {
		t.Errorf("version = %d, want %d; violation: %s", f.inst.ConfigNumber(), sim.pointer.Number, sim.violation)
	}
}

// The rate of reads of the configuration row must not grow with the number of
// instances: two readers in each data centre read the row twice a second.
func TestConfigReadsDoNotGrowWithInstances(t *testing.T) {
	for _, perDC := range []int{3, 12, 40} {
		sim := newSimulation(perDC)
		sim.run(5 * time.Second)
		before := sim.reads
		sim.run(20 * time.Second)
		perSecond := float64(sim.reads-before) / 20
		t.Logf("instances=%d reads_per_second=%.1f", 2*perDC, perSecond)
		if perSecond > 8.5 {
			t.Errorf("%d instances: %.1f reads of the row per second, want at most 8.5", 2*perDC, perSecond)
		}
	}
}

// A reader stops responding while the instance list still reports it as live.
// Within three seconds, the instances whose requests to the reader time out must omit
// the reader from the entries that they return to callers.
func TestEntriesOmitUnresponsivePeers(t *testing.T) {
	omitted := 0
	for dead := range 3 {
		sim := newSimulation(3, "a")
		sim.run(3 * time.Second)
		sim.followers[dead].isolatedUntil = sim.now.Add(time.Minute)
		sim.run(3 * time.Second)
		for n, f := range sim.followers {
			if e := f.inst.Entries(sim.now, ""); n != dead && !slices.Contains(e.Addresses, sim.followers[dead].name) {
				omitted++
			}
		}
	}
	if omitted < 2 {
		t.Errorf("unresponsive readers were omitted %d times in all, want at least 2", omitted)
	}
}
