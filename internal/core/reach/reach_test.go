package reach

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// A single upstream that fails must not make an instance send all requests through others.
func TestOneLostPathRedirectsOneUpstreamOnly(t *testing.T) {
	p := New()
	p.Connected(start, "a")
	p.Connected(start, "b")
	if c := p.Bypassed(after(100), "a"); c != Lost {
		t.Errorf("change %v, want Lost", c)
	}
	if p.Way(after(100), "a") != Tunnelled || p.Way(after(100), "b") != Direct || p.Isolated() {
		t.Error("want a tunnel to a and a direct connection to b")
	}
}

// An instance that has lost the paths to some upstreams still reaches the others: while they respond it
// must not count as isolated.
func TestAResponseShowsThatAnInstanceIsNotIsolated(t *testing.T) {
	p := New()
	p.Bypassed(after(0), "a")
	p.Heard(after(10), "c")
	if c := p.Bypassed(after(20), "b"); c != Lost || p.Isolated() {
		t.Errorf("change %v, isolated %v, want Lost and not isolated", c, p.Isolated())
	}
	if p.Way(after(20), "c") != Direct {
		t.Error("no direct way to an upstream that responds")
	}
	if c := p.Bypassed(after(30), "d"); c != Isolated {
		t.Errorf("change %v after two lost paths without a response, want Isolated", c)
	}
}

// After a cut an instance must not return to all upstreams at once: one probe at a time shows that the
// paths are back.
func TestLostPathsAreProbedOneAtATime(t *testing.T) {
	p := New()
	for _, address := range []string{"a", "b", "c"} {
		p.Connected(start, address)
	}
	p.Bypassed(after(10), "a")
	p.Bypassed(after(20), "b")
	probes := map[string]int{}
	for ms := 20; ms < 2020; ms += 10 {
		if address := p.Probe(after(ms)); address != "" {
			probes[address]++
		}
	}
	if n := probes["a"] + probes["b"] + probes["c"]; n > int(2*time.Second/ProbeInterval) || probes["c"] == 0 || probes["a"] == 0 {
		t.Errorf("probes in 2 s of an isolated instance: %v, want one each %s, in turn", probes, ProbeInterval)
	}
	if c := p.Connected(after(2020), "c"); c != Restored || p.Isolated() {
		t.Errorf("change %v, isolated %v after a connection, want Restored", c, p.Isolated())
	}
	if p.Way(after(2030), "a") != Tunnelled || p.Way(after(2030), "c") != Direct {
		t.Error("a path that was found to be lost by itself must stay so until it is probed")
	}
	p.Connected(after(2040), "a")
	p.Connected(after(2050), "b")
	if address := p.Probe(after(4000)); address != "" {
		t.Errorf("probe of %s, though no path is lost", address)
	}
}

// Requests that are sent at the same time to an upstream that is slow must not check its path again and
// again, and none that responds must be checked.
func TestASilentPathIsCheckedOnceASecond(t *testing.T) {
	p := New()
	p.Heard(start, "a")
	if p.CheckDue(after(100), "a") {
		t.Error("check of an upstream that has just responded")
	}
	if !p.CheckDue(after(500), "a") || p.CheckDue(after(600), "a") || !p.CheckDue(after(1600), "a") {
		t.Error("want one check of a silent upstream each second")
	}
}

// A connection to the upstream in question does not show that an instance reaches others.
func TestReachingOthersNeedsAnotherUpstream(t *testing.T) {
	p := New()
	p.Connected(start, "a")
	if p.ReachesOthers(after(10), "a") {
		t.Error("only a was reached")
	}
	p.Connected(after(20), "b")
	if !p.ReachesOthers(after(30), "a") || p.ReachesOthers(after(2000), "a") {
		t.Error("want b to count for a second")
	}
}

// The state of upstreams that are gone must not be kept and probed for ever.
func TestUnusedPathsAreDropped(t *testing.T) {
	p := New()
	p.Bypassed(start, "a")
	p.Bypassed(start, "b")
	p.Sweep(start.Add(2 * pathTTL))
	if len(p.byAddress) > 0 || p.Isolated() || p.Probe(start.Add(2*pathTTL)) != "" {
		t.Error("unused paths are kept")
	}
}

// An isolated instance that tried each further upstream directly first would hold every request until that attempt
// has failed.
func TestAnIsolatedInstanceTunnelsAtOnce(t *testing.T) {
	p := New()
	p.Connected(start, "c")
	p.Bypassed(after(10), "a")
	if p.Bypassed(after(20), "b"); !p.Isolated() || p.Way(after(20), "c") != Tunnelled || p.Way(after(20), "new") != Tunnelled {
		t.Error("no tunnel to an upstream whose path was not tried since the instance is isolated")
	}
	if p.Connected(after(30), "a"); p.Way(after(30), "c") != Direct {
		t.Error("no direct way once a path is back")
	}
}
