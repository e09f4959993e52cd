package hosted

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/revision"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// newTestFollower returns a follower of an instance that has just started and knows another one.
func newTestFollower(t *testing.T) *follower {
	t.Helper()
	f := newLoneTestFollower(t)
	f.meet("other")
	return f
}

// meet makes another instance known.
func (f *follower) meet(name string) {
	f.peers.with(func(now time.Time, v *fleet.Fleet) { v.OnHeartbeat(now, testRow(name).Heartbeat) })
}

// newLoneTestFollower returns a follower that knows no other instance.
func newLoneTestFollower(t *testing.T) *follower {
	t.Helper()
	s, timing := newTestServer("127.0.0.1:1"), watch.NewTiming(300*time.Millisecond)
	peers := newTestPeers(t, &memberStore{})
	return &follower{
		server: s, metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), peers: peers, relay: newRelay(s, timing), timing: timing,
		queries: watch.NewFollower(timing, 1), onAdopted: func(bool) {}, onLeaving: func() {},
		freshness: &freshness{metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), bound: func() time.Duration { return 0 }},
	}
}

// read returns a response of the store in an era.
func read(era, version, config int64, cordoned ...string) ConfigResponse {
	return ConfigResponse{Version: revision.Of(era, version), Config: &route.Config{Version: config}, Cordoned: cordoned}
}

// inForce returns the version of the configuration in force, 0 if there is none, and the cordons.
func (f *follower) inForce() (config int64, cordons cordon.Set) {
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		if g.Table() != nil {
			config = g.Table().Version
		}
		cordons = g.Cordons()
	})
	return config, cordons
}

// An instance starts after the store has come back from a copy, in which keys are listed that were revoked. It must
// give the others time to respond with a newer configuration before it uses that of the store.
func TestTheFirstConfigurationAfterAReturnFromACopyAwaitsTheOthers(t *testing.T) {
	f := newTestFollower(t)
	if f.applyConfig(boottime.Now(), read(2, 5, 3)) {
		t.Error("the configuration of a copy is used at once, want the others awaited")
	}
	f.noteHeard()
	if f.applyConfig(boottime.Now(), read(2, 5, 3)); !f.isInForce(3) {
		t.Error("the configuration is not used once another instance has responded")
	}
	f = newTestFollower(t)
	f.applyConfig(boottime.Now(), read(2, 5, 3))
	time.Sleep(f.timing.ReadInterval)
	if f.applyConfig(boottime.Now(), read(2, 5, 3)); !f.isInForce(3) {
		t.Error("the configuration is not used although no other instance responds")
	}
	f = newTestFollower(t)
	if f.applyConfig(boottime.Now(), read(1, 5, 3)); !f.isInForce(3) {
		t.Error("the configuration of a store that never came back from a copy is not used at once")
	}
}

// The copy lacks the rows of the other instances, too, so that an instance which starts knows none. It must not use the
// old configuration before the others had the time to write their rows again.
func TestTheFirstConfigurationAwaitsTheRowsOfOthers(t *testing.T) {
	f := newLoneTestFollower(t)
	if f.applyConfig(boottime.Now(), read(2, 5, 3)) {
		t.Error("the configuration of a copy is used although no other instance is known yet")
	}
	f.storeReadAt = f.storeReadAt.Add(-roster.EraSettleTime / 2)
	f.meet("other")
	if f.applyConfig(boottime.Now(), read(2, 5, 3)) {
		t.Error("the configuration of a copy is used as another instance becomes known, want that awaited")
	}
	f.noteHeard()
	if f.applyConfig(boottime.Now(), read(2, 5, 3)); !f.isInForce(3) {
		t.Error("the configuration is not used once another instance has responded")
	}
	f = newLoneTestFollower(t)
	f.applyConfig(boottime.Now(), read(2, 5, 3))
	f.storeReadAt = f.storeReadAt.Add(-roster.EraSettleTime)
	if f.applyConfig(boottime.Now(), read(2, 5, 3)); !f.isInForce(3) {
		t.Error("the configuration is not used although there are no others")
	}
}

func (f *follower) isInForce(version int64) bool {
	config, _ := f.inForce()
	return config == version
}

// The store comes back from a copy with an older configuration and without a cordon. Both must stay in force, and the
// configuration must not count as confirmed, until the operator has written them again.
func TestWhatWasInForceStaysWhenTheStoreComesBackFromACopy(t *testing.T) {
	f := newTestFollower(t)
	f.applyConfig(boottime.Now(), read(1, 190, 7, "dc-x"))
	confirmed := f.confirmed()
	f.applyConfig(boottime.Now(), read(2, 120, 6))
	if config, cordons := f.inForce(); config != 7 || !cordons.Has("dc-x") || f.confirmed() != confirmed {
		t.Errorf("configuration %d, cordons %+v, confirmed by the copy: %v; want version 7 and the cordon unconfirmed", config, cordons, f.confirmed() != confirmed)
	}
	f.applyConfig(boottime.Now(), ConfigResponse{Version: revision.Of(2, 121)})
	if f.confirmed() != confirmed {
		t.Error("a store that does not hold the configuration confirms it")
	}
	f.applyConfig(boottime.Now(), read(2, 130, 7))
	if f.confirmed() == confirmed {
		t.Error("the configuration is not confirmed once the store holds it again")
	}
	f.eraSeenAt = f.eraSeenAt.Add(-roster.EraSettleTime)
	f.applyConfig(boottime.Now(), read(2, 131, 7))
	if _, cordons := f.inForce(); cordons.Has("dc-x") {
		t.Error("a cordon that was not written again in time is still in force")
	}
	f.applyConfig(boottime.Now(), read(1, 200, 8, "dc-y"))
	if config, cordons := f.inForce(); config != 7 || !cordons.Empty() {
		t.Errorf("configuration %d, cordons %+v after a late answer of the era before; want it dropped", config, cordons)
	}
}

func (f *follower) confirmed() (at time.Time) {
	f.server.decide(func(_ time.Time, g *forward.Gate) { at = g.Confirmed() })
	return at
}

// A full copy of the list arrives late, and is refused as older than the known one. If it confirmed the list all the same,
// an instance would rely on a list that may lack leavings.
func TestARefusedCopyOfTheListConfirmsNothing(t *testing.T) {
	f := newTestFollower(t)
	sentAt := boottime.Now()
	f.applyList(sentAt, ListResponse{Version: revision.Of(2, 9)}, true)
	f.applyList(sentAt.Add(time.Second), ListResponse{Version: revision.Of(1, 90)}, true)
	f.server.decide(func(_ time.Time, g *forward.Gate) {
		if got := g.Roster().Confirmed(); got != sentAt {
			t.Errorf("list confirmed as of %v after the last copy that was used, want that one", got.Sub(sentAt))
		}
	})
}
