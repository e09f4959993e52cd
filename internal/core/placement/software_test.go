package placement

import (
	"testing"
	"time"
)

// A stream that goes on is placed like a new one, at the emptiest upstream, which is often of a new version. It
// must wait for room at its own version, and be refused at once if that has no upstream.
func TestAStreamThatGoesOnIsPlacedAtItsSoftware(t *testing.T) {
	h, now := NewHome(Settings{Engine: true, Service: "pool"}), time.Unix(1000, 0)
	report := func(id, software string, leaving bool) []Decision {
		return h.Report(now, now, Report{Upstream: id, Software: software, Leaving: leaving, Capacity: 1000, MaxBatch: 1})
	}
	report("a", "v1", false)
	report("b", "v2", false)
	place := func(attempt, software string) Decision {
		return h.Place(now, Request{Attempt: attempt, Prompt: 10, MaxOutput: 10, Software: software, MaxWait: time.Minute})[0]
	}
	if d := place("1", "v1"); d.Kind != Granted || d.Upstream != "a" {
		t.Fatalf("decision %+v, want a grant of a", d)
	}
	if d := place("2", "v1"); d.Kind != Queued {
		t.Errorf("decision %+v while the upstream of v1 is full, want the stream queued", d)
	}
	if d := place("3", "v3"); d.Kind != Refused || d.Reason != ReasonNoUpstream {
		t.Errorf("decision %+v for a version without upstreams, want a refusal", d)
	}
	report("a", "v1", true)
	var refused []string
	for _, d := range h.Tick(now) {
		if d.Kind == Refused {
			refused = append(refused, d.Attempt)
		}
	}
	if len(refused) != 1 || refused[0] != "2" {
		t.Errorf("refused %v once the last upstream of v1 leaves, want the queued stream", refused)
	}
}

// Long generations leave an upstream of one version. Room must be kept for them at their own version only: new work
// would be refused at all others for moves that cannot go there.
func TestRoomForMovesIsKeptPerSoftware(t *testing.T) {
	w := newPredictSim(t, fastPace, fastPace, fastPace)
	report := func(id, software string, leaving bool) {
		w.record(w.home.Report(w.now, w.now, Report{Upstream: id, Software: software, Capacity: 34_000, MaxBatch: 24, Leaving: leaving}))
	}
	req := Request{Attempt: "long", Org: "long", Prompt: 3000, MaxOutput: 1500, FirstTarget: 1800 * time.Millisecond, MaxWait: time.Second}
	w.home.RecordRunning(w.now, req, "u0", Progress{Tokens: 300})
	report("u1", "v1", false)
	report("u2", "v2", false)
	report("u0", "v1", true)
	if r := w.home.movesReserve; r["v1"] <= 0 || r["v2"] != 0 {
		t.Errorf("reserved %v, want room at v1 only", r)
	}
}

// Streams that go on wait for room at their version, while there is room at another. New requests of the same
// organisation must not wait behind them, however many they are and however long they wait.
func TestStreamsThatWaitForTheirSoftwareBlockNobody(t *testing.T) {
	h, now := NewHome(Settings{Engine: true, Service: "pool"}), time.Unix(1000, 0)
	report := func(id, software string, slots int) {
		h.Report(now, now, Report{Upstream: id, Software: software, Capacity: 100_000, MaxBatch: slots})
	}
	place := func(attempt, software string) Decision {
		return h.Place(now, Request{Attempt: attempt, Org: "org", Prompt: 10, MaxOutput: 10, Software: software, MaxWait: time.Minute})[0]
	}
	report("a", "v1", 1)
	report("b", "v2", 1)
	place("runs at a", "v1")
	place("runs at b", "v2")
	for k := range 2 * maxBypass {
		if d := place(string(rune('A'+k)), "v1"); d.Kind != Queued {
			t.Fatalf("decision %+v, want the stream queued", d)
		}
	}
	place("new", "")
	now = now.Add(bypassTimeout + time.Second)
	report("a", "v1", 1)
	granted := ""
	for _, d := range h.Report(now, now, Report{Upstream: "b", Software: "v2", Capacity: 100_000, MaxBatch: 2}) {
		if d.Kind == Granted {
			granted += d.Attempt
		}
	}
	if granted != "new" {
		t.Errorf("granted %q once there is room at v2, want the new request", granted)
	}
}
