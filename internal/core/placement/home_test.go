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

func testRequest(id string) Request {
	return Request{Attempt: id, Org: "o", Prompt: 300, MaxOutput: 500, MaxWait: time.Minute}
}

// A home that takes over has a report of the upstream, but no record of the attempts that run
// there until entries announce them. If announced attempts were not added to the ledger, the new
// home would overcommit the upstream's memory.
func TestTakeoverRebuildsTheLedger(t *testing.T) {
	h := testHome(1)
	for i := range 5 {
		h.RecordRunning(start, Request{Attempt: fmt.Sprint("old", i), Org: "o", Prompt: 700, MaxOutput: 500}, "u0", Progress{Tokens: 90})
	}
	if d := h.Place(start, testRequest("new")); d[0].Kind != Queued {
		t.Errorf("decision on a request while the upstream is full = %+v, want queued", d)
	}
	for i := range 5 {
		h.End(start, fmt.Sprint("old", i), 100, true)
	}
	if d := h.Place(start, testRequest("new")); d[0].Kind != Granted {
		t.Errorf("decision on the repeated request after the announced attempts ended = %+v, want granted", d)
	}
}

// After a takeover no entry has announced its attempts yet, but the upstream reports generations
// that hold most of its memory. The home must not treat the upstream as empty.
func TestUnknownGenerationsHoldMemory(t *testing.T) {
	h := testHome(1)
	r := testReport("u0")
	r.Used, r.Running, r.Gens = 3900, 1, []GenLoad{{Attempt: "foreign", Tokens: 900}}
	h.Report(start, start, r)
	if d := h.Place(start, testRequest("new")); d[0].Kind != Queued {
		t.Errorf("decision on a request = %+v, want queued: unknown generations fill the upstream", d)
	}
}

// After an attempt has ended, an announcement that was in transit and a delayed report may still
// list it. Neither may add it to the ledger again.
func TestLateUpdateOfAnEndedAttempt(t *testing.T) {
	h := testHome(1)
	h.Place(start, testRequest("a"))
	h.End(start, "a", 10, true)
	h.RecordRunning(start, testRequest("a"), "u0", Progress{Tokens: 9})
	r := testReport("u0")
	r.Used, r.Gens = 3900, []GenLoad{{Attempt: "a", Tokens: 9}}
	h.Report(start, start, r)
	if d := h.Place(start, testRequest("b")); d[0].Kind != Granted {
		t.Errorf("decision on request b = %+v, want granted: the only other attempt has ended", d)
	}
	if len(h.granted) != 1 {
		t.Errorf("grants in the ledger = %d, want 1", len(h.granted))
	}
}

// The queue is so long that a request can't be granted within its maximum wait. It is refused at
// once, and later callers get a longer Retry-After. A caller that returns at the stated time is
// queued ahead of callers that arrived in the meantime.
func TestEarlyRefusalKeepsTheCallersPlace(t *testing.T) {
	h := testHome(1)
	for i := range 200 {
		h.Place(start, testRequest(fmt.Sprint("queued", i)))
	}
	var retryAfter []time.Duration
	for i := range 2 {
		a := testRequest(fmt.Sprint("late", i))
		a.Fingerprint, a.MaxWait = uint64(7+i), 50*time.Millisecond
		d := h.Place(start, a)
		if d[0].Kind != Refused || d[0].Reason != ReasonQueueFull {
			t.Fatalf("decision on a request that can't be granted in time = %+v, want refused with queue_wait", d)
		}
		retryAfter = append(retryAfter, d[0].RetryAfter)
	}
	if retryAfter[1] <= retryAfter[0] {
		t.Errorf("Retry-After of two refusals = %v, want the second to be longer", retryAfter)
	}
	returnAt := start.Add(retryAfter[0])
	h.Report(returnAt, returnAt, testReport("u0"))
	newcomer := testRequest("newcomer")
	newcomer.MaxWait = time.Hour
	h.Place(returnAt, newcomer)
	a := testRequest("again")
	a.Fingerprint, a.MaxWait = 7, time.Hour
	h.Place(returnAt, a)
	if n, r := h.queue.byAttempt["newcomer"], h.queue.byAttempt["again"]; n == nil || r == nil || !r.key.Before(n.key) {
		t.Errorf("queued request of the returning caller = %+v, of the newcomer = %+v, want the returning caller queued first", r, n)
	}
}

// Many callers send a request that crashes upstreams at the same moment, before any strike is
// known. It must run on at most two upstreams.
func TestOneFingerprintRunsOnTwoUpstreams(t *testing.T) {
	h := testHome(4)
	used := map[string]bool{}
	for i := range 6 {
		a := testRequest(fmt.Sprint("p", i))
		a.Fingerprint = 13
		for _, d := range h.Place(start, a) {
			used[d.Upstream] = true
		}
	}
	delete(used, "")
	if len(used) != maxFingerprintSpread {
		t.Errorf("upstreams that run the fingerprint = %d, want %d", len(used), maxFingerprintSpread)
	}
}

// The upstreams of a plain service have no memory to forecast: each takes as many concurrent
// calls as its report allows.
func TestPlainServicesCountCalls(t *testing.T) {
	h := NewHome(Settings{})
	for i := range 2 {
		h.Report(start, start, Report{Upstream: fmt.Sprint("s", i), Boot: "b", MaxBatch: 2})
	}
	got := map[Kind]int{}
	for i := range 6 {
		got[h.Place(start, Request{Attempt: fmt.Sprint(i), MaxWait: time.Minute})[0].Kind]++
	}
	if got[Granted] != 4 || got[Queued] != 2 {
		t.Errorf("decisions by kind = %v, want 4 granted and 2 queued", got)
	}
}

// A new configuration version changes the weights while the home runs. Higher weights of
// preemptions and of the tail must increase the headroom.
func TestConfigureChangesTheHeadroom(t *testing.T) {
	h := testHome(1)
	before := h.tuning.busyZ
	h.Configure(Settings{Weights: config.Weights{Stall: 1, Preemptions: 8, Tail: 8}, Engine: true})
	if h.tuning.busyZ <= before {
		t.Errorf("busyZ = %g after the change, want more than the previous %g", h.tuning.busyZ, before)
	}
}

// A pool's first caller after an idle time reaches a home that has no report yet. Its request
// must wait for the first report, which arrives within a round trip, and is then granted. If no
// report arrives, it is refused with a Retry-After.
func TestColdHomeWaitsForItsFirstReport(t *testing.T) {
	req := Request{Attempt: "a", Org: "o", Prompt: 10, MaxOutput: 10, MaxWait: time.Minute}
	h := NewHome(Settings{Engine: true})
	if ds := h.Place(start, req); len(ds) != 1 || ds[0].Kind != Queued {
		t.Fatalf("decisions on a request before the first report = %+v, want queued", ds)
	}
	if ds := h.Report(start, start, testReport("u0")); len(ds) != 1 || ds[0].Kind != Granted {
		t.Errorf("decisions after the first report = %+v, want granted", ds)
	}
	h = NewHome(Settings{Engine: true})
	h.Place(start, req)
	ds := h.Tick(start.Add(reportMaxAge))
	if len(ds) != 1 || ds[0].Reason != ReasonNoUpstream || ds[0].RetryAfter <= 0 {
		t.Errorf("decisions without a report = %+v, want refused with a Retry-After", ds)
	}
}

// An entry gets a grant for an upstream that it does not know yet and runs the attempt on
// another one. The home must update its ledger, or it does not move the generation when that
// upstream leaves. A single announcement must not suffice, as it may have been sent before a
// move that the home has just recorded.
func TestGrantMovesToTheAnnouncedUpstream(t *testing.T) {
	h := testHome(2)
	granted := h.Place(start, testRequest("a"))[0].Upstream
	other := map[string]string{"u0": "u1", "u1": "u0"}[granted]
	at := start
	for _, step := range []struct {
		announced, want string
	}{{other, granted}, {granted, granted}, {other, granted}, {other, other}, {other, other}} {
		at = at.Add(minProgressInterval)
		h.RecordRunning(at, testRequest("a"), step.announced, Progress{Tokens: 10})
		if on := h.Generations(at, step.want); len(on) != 1 {
			t.Fatalf("after an announcement on %q: %d grants on %s, want 1", step.announced, len(on), step.want)
		}
	}
}
