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

// cordonWithin is how soon a cordon must be in force.
const cordonWithin = 2 * time.Second

// Callers see an instance serve by a version at most three seconds after
// another was accepted, or be refused as not run, while instances freeze, are
// cut off, restart, links stall and the table is down, in any order. Once all is
// well again, the next change is served everywhere within four seconds.
func TestPromise7PropertyNoOldVersionIsServed(t *testing.T) {
	properties := gopter.NewProperties(testkit.Parameters())
	properties.Property("old versions go out of force", prop.ForAll(func(order []int) string {
		w := newWorld(3)
		w.run(3 * time.Second)
		for _, code := range order {
			w.step(code)
			w.run(time.Duration(200+code%1300) * time.Millisecond)
		}
		w.heal()
		w.run(10 * time.Second)
		w.accept()
		w.run(inForce)
		if w.broken == "" {
			w.broken = w.behind()
		}
		return w.broken
	}, gen.SliceOf(gen.IntRange(0, 9999))))
	properties.TestingRun(t)
}

// A data centre is cordoned at the table, past all instances, while one starts and one is cut
// off from the table. Two seconds later each that serves knows; so it is when it is lifted.
func TestPromise7CordonsAreInForceSoon(t *testing.T) {
	w := newWorld(3)
	w.run(3 * time.Second)
	for range 2 {
		w.cordon("b")
		w.start(w.followers[1])
		w.followers[4].noTable = w.now.Add(time.Minute)
		w.run(cordonWithin)
		if late := w.behind(); late != "" || w.broken != "" {
			t.Errorf("%s after a cordon: %s %s", cordonWithin, late, w.broken)
		}
	}
}

// While the table answers nobody no change can be accepted, so every instance
// goes on for ten minutes, one that starts in the outage gets the version from
// the others, and one that hears nobody refuses: for all it knows, the table
// answers everybody else.
func TestPromise7TableOutageStopsNobodyButWhoIsAlone(t *testing.T) {
	w := newWorld(3)
	w.run(3 * time.Second)
	w.down = w.now.Add(10 * time.Minute)
	w.followers[5].alone = w.down
	w.run(5 * time.Second)
	w.start(w.followers[1])
	w.run(5 * time.Second)
	for elapsed := 10 * time.Second; elapsed < 10*time.Minute; elapsed += time.Second {
		for n, f := range w.followers {
			if got, want := f.inst.Ready(w.now), n != 5; got != want {
				t.Fatalf("%s after the start of the outage, %s ready = %v, want %v", elapsed, f.name, got, want)
			}
		}
		w.run(time.Second)
	}
	w.run(2 * time.Second)
	w.accept()
	w.run(inForce)
	if late := w.behind(); late != "" {
		t.Errorf("%s after a change that followed the outage: %s", inForce, late)
	}
}

// One of three instances hears neither the table nor the others, who go on with
// the table. It can't tell this from an outage, and must refuse.
func TestPromise7InstanceCutOffFromAllRefuses(t *testing.T) {
	w := newWorld(3, "a")
	w.run(3 * time.Second)
	w.followers[0].alone = w.now.Add(time.Minute)
	w.run(outOfForce) // what was under way may confirm a moment longer
	for range 50 {
		w.run(time.Second)
		if w.followers[0].inst.Ready(w.now) {
			t.Fatal("the instance that is cut off serves")
		}
	}
}

// An instance is replaced under its name while a question of the first run is
// under way. The answer must not pass for one to a question of the second run,
// which was sent later: it would confirm a version by what was known before.
func TestPromise7RunsNumberTheirQuestionsApart(t *testing.T) {
	seen := map[string]string{}
	for _, boot := range []string{"1", "2"} {
		self := membership.Member{Name: "a0", Role: membership.RoleEntry, DataCentre: "a", State: membership.Live}
		inst := core.New(core.Options{Self: self, Boot: boot, Seed: 1})
		for now := time.Unix(1000, 0); now.Before(time.Unix(1020, 0)); now = now.Add(tickEvery) {
			for _, a := range inst.Handle(now, core.Tick{}) {
				if r, ok := a.(core.Read); ok && seen[r.Op] != "" && seen[r.Op] != boot {
					t.Fatalf("runs %s and %s both ask %s", seen[r.Op], boot, r.Op)
				} else if ok {
					seen[r.Op] = boot
				}
			}
		}
	}
	if len(seen) < 20 {
		t.Errorf("%d questions, want at least 20", len(seen))
	}
}

// A data centre that is cut off from the others and from the table can't tell
// an outage from a cut: beyond it a change may have been accepted.
func TestPromise7CutOffDataCentreRefuses(t *testing.T) {
	w := newWorld(3)
	w.run(3 * time.Second)
	w.apart = w.now.Add(time.Minute)
	for _, f := range w.followers[:3] {
		f.noTable = w.apart
	}
	w.run(outOfForce + tickEvery)
	for _, f := range w.followers {
		if got, want := f.inst.Ready(w.now), f.dc == "b"; got != want {
			t.Errorf("%s ready = %v, want %v", f.name, got, want)
		}
	}
}

// An instance that has adopted a version can't be brought back by a read that
// was answered before, by a peer that lags or by a late object.
func TestPromise7LateAnswersDoNotRevert(t *testing.T) {
	w := newWorld(1)
	w.run(time.Second)
	old := w.pointer
	w.accept()
	w.run(2 * time.Second)
	f := w.followers[0]
	w.handle(f, core.PeerMessage{From: "b0", Msg: msg.ConfigVersion{Number: old.Number, Hash: old.Hash}})
	w.handle(f, core.ObjectResult{Hash: old.Hash, OK: true, Data: w.objects[old.Hash]})
	if w.run(time.Second); f.inst.ConfigNumber() != w.pointer.Number || w.broken != "" {
		t.Errorf("version = %d, want %d; %s", f.inst.ConfigNumber(), w.pointer.Number, w.broken)
	}
}

// The reads of the row do not grow with the instances: two readers in each data
// centre, twice a second.
func TestConfigReadsDoNotGrowWithInstances(t *testing.T) {
	for _, perDC := range []int{3, 12, 40} {
		w := newWorld(perDC)
		w.run(5 * time.Second)
		before := w.reads
		w.run(20 * time.Second)
		perSecond := float64(w.reads-before) / 20
		t.Logf("instances=%d reads_per_second=%.1f", 2*perDC, perSecond)
		if perSecond > 8.5 {
			t.Errorf("%d instances read the row %.1f times a second, want 8", 2*perDC, perSecond)
		}
	}
}

// A reader dies while the list still calls it live. Whoever asked it in vain
// leaves it out of the entry answers within three seconds.
func TestEntriesLeaveOutWhoDoesNotAnswer(t *testing.T) {
	missed := 0
	for dead := range 3 {
		w := newWorld(3, "a")
		w.run(3 * time.Second)
		w.followers[dead].alone = w.now.Add(time.Minute)
		w.run(3 * time.Second)
		for n, f := range w.followers {
			if e := f.inst.Entries(w.now, ""); n != dead && !slices.Contains(e.Addresses, w.followers[dead].name) {
				missed++
			}
		}
	}
	if missed < 2 {
		t.Errorf("dead readers were left out %d times, want at least once for each of two", missed)
	}
}
