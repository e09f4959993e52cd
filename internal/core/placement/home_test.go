package placement

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
)

var start = time.Unix(1000, 0)

func testHome(upstreams int) *Home {
	h := NewHome(Settings{Weights: config.Weights{Stall: 1, Preemptions: 1, Tail: 1}, Engine: true})
	for i := range upstreams {
		h.Report(start, start, testReport(fmt.Sprintf("u%d", i)))
	}
	return h
}

func testReport(name string) Report {
	return Report{Upstream: name, Boot: "b", Capacity: 4000, MaxBatch: 8}
}

func testAsk(id string) Ask {
	return Ask{Attempt: id, Org: "o", Prompt: 300, MaxOutput: 500, MaxWait: time.Minute}
}

// A home dies and another takes over: it has heard of the upstream, but not of
// what runs there. Entries announce their attempts. Were these not entered
// into the ledger, the new home would fill the memory a second time.
func TestTakeoverRebuildsTheLedger(t *testing.T) {
	h := testHome(1)
	for i := range 5 {
		h.Running(start, Ask{Attempt: fmt.Sprint("old", i), Org: "o", Prompt: 700, MaxOutput: 500}, "u0", Sighting{Tokens: 90})
	}
	if d := h.Ask(start, testAsk("new")); d[0].Kind != Queued {
		t.Errorf("asked with a full upstream, got %+v", d)
	}
	for i := range 5 {
		h.End(start, fmt.Sprint("old", i), 100, true)
	}
	if d := h.Ask(start, testAsk("new")); d[0].Kind != Granted {
		t.Errorf("asked again with room, got %+v", d)
	}
}

// A home has taken over and no entry has announced anything yet, but the
// upstream reports generations that hold most of its memory. The home must not
// place on it as if it were empty.
func TestUnknownGenerationsHoldMemory(t *testing.T) {
	h := testHome(1)
	r := testReport("u0")
	r.Used, r.Running, r.Gens = 3900, 1, []GenLoad{{Attempt: "foreign", Tokens: 900}}
	h.Report(start, start, r)
	if d := h.Ask(start, testAsk("new")); d[0].Kind != Queued {
		t.Errorf("got %+v", d)
	}
}

// An attempt has ended, yet the lagging report still shows it, and its entry's
// announcement was on its way. Neither may bring it back into the ledger.
func TestLateUpdateOfAnEndedAttempt(t *testing.T) {
	h := testHome(1)
	h.Ask(start, testAsk("a"))
	h.End(start, "a", 10, true)
	h.Running(start, testAsk("a"), "u0", Sighting{Tokens: 9})
	r := testReport("u0")
	r.Used, r.Gens = 3900, []GenLoad{{Attempt: "a", Tokens: 9}}
	h.Report(start, start, r)
	if d := h.Ask(start, testAsk("b")); d[0].Kind != Granted {
		t.Errorf("got %+v", d)
	}
	if len(h.granted) != 1 {
		t.Errorf("%d grants in the ledger, want 1", len(h.granted))
	}
}

// The queue is so long that an ask can't be served within its longest wait. It
// is refused at once, and the later callers are told to come back later. One
// that comes back in time goes before those who came meanwhile.
func TestEarlyRefusalKeepsItsPromise(t *testing.T) {
	h := testHome(1)
	for i := range 200 {
		h.Ask(start, testAsk(fmt.Sprint("queued", i)))
	}
	var after []time.Duration
	for i := range 2 {
		a := testAsk(fmt.Sprint("late", i))
		a.Fingerprint, a.MaxWait = uint64(7+i), 50*time.Millisecond
		d := h.Ask(start, a)
		if d[0].Kind != Refused || d[0].Reason != ReasonQueueFull {
			t.Fatalf("got %+v", d)
		}
		after = append(after, d[0].RetryAfter)
	}
	if after[1] <= after[0] {
		t.Errorf("told to come back after %v", after)
	}
	back := start.Add(after[0])
	h.Report(back, back, testReport("u0"))
	newcomer := testAsk("newcomer")
	newcomer.MaxWait = time.Hour
	h.Ask(back, newcomer)
	a := testAsk("again")
	a.Fingerprint, a.MaxWait = 7, time.Hour
	h.Ask(back, a)
	if n, r := h.queue.byID["newcomer"], h.queue.byID["again"]; n == nil || r == nil || !r.key.Before(n.key) {
		t.Errorf("the one who came back must go first: %+v %+v", r, n)
	}
}

// All callers of a request that crashes upstreams send it at the same moment,
// before any strike is known. It must not take more than two upstreams along.
func TestOneFingerprintRunsOnTwoUpstreams(t *testing.T) {
	h := testHome(4)
	at := map[string]bool{}
	for i := range 6 {
		a := testAsk(fmt.Sprint("p", i))
		a.Fingerprint = 13
		for _, d := range h.Ask(start, a) {
			at[d.Upstream] = true
		}
	}
	delete(at, "")
	if len(at) != printSpread {
		t.Errorf("ran on %d upstreams, want %d", len(at), printSpread)
	}
}

// A pool of plain services has no memory to forecast: its workers take as many
// calls at once as they report.
func TestPlainServicesCountCalls(t *testing.T) {
	h := NewHome(Settings{})
	for i := range 2 {
		h.Report(start, start, Report{Upstream: fmt.Sprint("s", i), Boot: "b", MaxBatch: 2})
	}
	got := map[Kind]int{}
	for i := range 6 {
		got[h.Ask(start, Ask{Attempt: fmt.Sprint(i), MaxWait: time.Minute})[0].Kind]++
	}
	if got[Granted] != 4 || got[Queued] != 2 {
		t.Errorf("got %v", got)
	}
}

// Weights arrive with a new configuration version while the home runs.
func TestConfigureChangesTheHeadroom(t *testing.T) {
	h := testHome(1)
	before := h.tuning.busyZ
	h.Configure(Settings{Weights: config.Weights{Stall: 1, Preemptions: 8, Tail: 8}, Engine: true})
	if h.tuning.busyZ <= before {
		t.Errorf("z %g, before %g", h.tuning.busyZ, before)
	}
}

// A pool's first caller after an idle time asks a home that has no report yet.
// It waits for the first report, which comes within a round trip, and is
// granted; where no report comes, it is refused with a time to come back.
func TestColdHomeWaitsForItsFirstReport(t *testing.T) {
	ask := Ask{Attempt: "a", Org: "o", Prompt: 10, MaxOutput: 10, MaxWait: time.Minute}
	h := NewHome(Settings{Engine: true})
	if ds := h.Ask(start, ask); len(ds) != 1 || ds[0].Kind != Queued {
		t.Fatalf("first ask of a cold home = %+v, want queued", ds)
	}
	if ds := h.Report(start, start, testReport("u0")); len(ds) != 1 || ds[0].Kind != Granted {
		t.Errorf("after the first report = %+v, want granted", ds)
	}
	h = NewHome(Settings{Engine: true})
	h.Ask(start, ask)
	ds := h.Tick(start.Add(reportMaxAge))
	if len(ds) != 1 || ds[0].Reason != ReasonNoUpstream || ds[0].RetryAfter <= 0 {
		t.Errorf("without a report = %+v, want a refusal with a time to come back", ds)
	}
}

// An entry gets a grant for an upstream that it does not know yet, and chooses another one
// by itself. The home must follow, or it leaves the answer behind when that upstream goes;
// one announcement may be older than a move that the home has just heard of.
func TestAGrantIsFollowedToWhereItRuns(t *testing.T) {
	h := testHome(2)
	granted := h.Ask(start, testAsk("a"))[0].Upstream
	other := map[string]string{"u0": "u1", "u1": "u0"}[granted]
	at := start
	for _, step := range []struct {
		says, believed string
	}{{other, granted}, {granted, granted}, {other, granted}, {other, other}, {other, other}} {
		at = at.Add(minSightingInterval)
		h.Running(at, testAsk("a"), step.says, Sighting{Tokens: 10})
		if on := h.On(at, step.believed); len(on) != 1 {
			t.Fatalf("after %q was named: %d grants on %s", step.says, len(on), step.believed)
		}
	}
}
