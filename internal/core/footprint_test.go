package core_test

import (
	"encoding/json"
	"runtime"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// maxState is the bound in bytes on the core's state at one instance of a deployment of the
// target's size.
const maxState = 64 << 20

// liveHeap returns the size in bytes of the live heap after a full garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // frees the objects whose finalizers the first collection ran
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapGrowth returns the growth of the live heap in bytes during f.
func heapGrowth(f func()) int {
	before := liveHeap()
	f()
	return int(liveHeap()) - int(before)
}

// Guards against instances that are killed for lack of memory in a deployment of the
// target's size, where an instance has 64 MB for the core's state. The instance under
// test has the complete instance list, is home of every organisation (its share would
// be one in 390) and of a tenth of all pools (forty times its share), and its ring of
// recorded decisions is full.
func TestStateFitsTarget(t *testing.T) {
	s := sizeTarget
	var h *targetHarness
	before := liveHeap()
	part := func(name string, items int, f func()) {
		bytes := heapGrowth(f)
		t.Logf("part=%s bytes=%d items=%d bytes_per_item=%d", name, bytes, items, bytes/items)
	}
	part("configuration_and_view", s.orgs, func() {
		h = newTargetHarness(t, s)
		h.object = nil // the published object belongs to the harness, not to the instance
	})
	part("budget_accounts", s.orgs, func() { h.fillAccounts(s) })
	part("running_requests", runningPerInstance, func() {
		for n := range runningPerInstance {
			h.startRequest(n, s.orgs)
		}
	})
	part("pool_homes", s.upstreams/10*gensPerEngine, func() { h.fillPools(s, s.upstreams/10) })
	part("decisions_ring", ringRecords, func() { h.fillRing(s) })
	total := int(liveHeap() - before)
	t.Logf("part=total bytes=%d", total)
	if total > maxState {
		t.Errorf("state at the target's size = %d bytes, want at most %d", total, maxState)
	}
	runtime.KeepAlive(h)
}

func (h *targetHarness) fillAccounts(s targetSize) {
	limits := s.config().Organisations[0].Limits
	for n := range s.orgs {
		req := budget.Request{RequestID: attemptName(n), Org: orgName(n), Limits: limits, Amount: 1000, Tokens: 500}
		h.handle(core.PeerMessage{From: "entry-1", Msg: msg.ReserveRequest{Request: req}})
	}
}

// fillPools makes the instance the home of the pools of the given number of upstreams,
// and announces the target's number of running generations on each.
func (h *targetHarness) fillPools(s targetSize, upstreams int) {
	v := config.Compile(1, "", s.config())
	for u := range upstreams {
		name := upstreamName(u)
		h.handle(core.UpstreamReport{PolledAt: h.now, Report: report(name, gensPerEngine)})
		m := msg.Announce{Pool: v.PoolOf(name)}
		for n := range gensPerEngine {
			req := grantRequest(m.Pool, u*gensPerEngine+n).Request
			m.Running = append(m.Running, msg.RunningAttempt{Request: req, Upstream: name})
		}
		h.handle(core.PeerMessage{From: "entry-1", Msg: m})
		h.handle(core.UpstreamReport{PolledAt: h.now, Report: report(name, gensPerEngine)})
	}
}

// ringRecords is the number of decisions that the ring holds.
const ringRecords = 20_000

func (h *targetHarness) fillRing(s targetSize) {
	const perRequest = 3
	for n := range ringRecords/perRequest + 1 {
		r := request(runningPerInstance+n, s.orgs)
		h.handle(r)
		h.handle(core.UpstreamEnd{Request: r.ID, Attempt: r.ID + "/1", Link: 1})
	}
}

// Guards against excessive memory use during a change of the configuration: the old
// version, the new version and the new version's object are in memory at the same time.
func TestConfigChangePeak(t *testing.T) {
	h := newTargetHarness(t, sizeTarget)
	before := liveHeap()
	object := append([]byte(nil), h.object...)
	next := config.Compile(2, h.hash, mustDecode(t, object, h.hash))
	peak := int(liveHeap() - before)
	t.Logf("part=second_version_and_object bytes=%d object=%d", peak, len(object))
	if peak > maxState/2 {
		t.Errorf("additional memory during a configuration change = %d bytes, want at most %d", peak, maxState/2)
	}
	runtime.KeepAlive(next)
	runtime.KeepAlive(object)
	runtime.KeepAlive(h)
}

// Guards against load reports that are too large: a home polls each of its upstreams
// four times a second, and each report lists every running generation.
func TestReportSize(t *testing.T) {
	for _, gens := range []int{0, gensPerEngine} {
		raw, err := json.Marshal(report(upstreamName(0), gens))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("report generations=%d bytes=%d", gens, len(raw))
		if maxBytes := 256 + 64*gens; len(raw) > maxBytes {
			t.Errorf("report of %d generations = %d bytes, want at most %d", gens, len(raw), maxBytes)
		}
	}
}

func mustDecode(t *testing.T, object []byte, hash string) *config.Config {
	t.Helper()
	cfg, err := config.Decode(object, hash)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}
