package pool

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// One of six engines passes its health checks but fails two in five requests 0.4 s after their
// start. Failed requests free it at once, so that it appears idle. If failures were not recorded,
// it would get more than its share of the requests. The load is light for six engines: 2.5
// generations a second of about eight seconds each.
func TestAnEngineThatFailsGetsLittleWork(t *testing.T) {
	s := newSim(t, 6)
	const bad = "u03"
	placed, failed := 0, 0
	for k := range 72 {
		id := fmt.Sprintf("f-%02d", k)
		s.requestGrant(id, 3000, 900)
		if s.granted[id] == bad {
			if placed++; placed%5 < 2 {
				failed++
				s.advance(400 * time.Millisecond)
				delete(s.granted, id)
				s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: id, Upstream: bad, Failed: true})
				continue
			}
		}
		s.advance(400 * time.Millisecond)
	}
	if placed == 0 {
		t.Fatal("no request was placed on the failing engine: the test checks nothing")
	}
	if placed >= 72/6 || failed > 5 {
		t.Errorf("requests on the failing engine = %d of 72, failed %d, want fewer than an even share of 12 and at most 5 failed", placed, failed)
	}
	for range 30 {
		s.advance(time.Second)
	}
	before := placed
	for k := range 24 {
		id := fmt.Sprintf("w-%02d", k)
		s.requestGrant(id, 3000, 900)
		if s.granted[id] == bad {
			placed++
		}
		s.advance(400 * time.Millisecond)
	}
	if placed == before {
		t.Error("no request was placed on the engine half a minute after its last failure, want some")
	}
}

// A leaving engine breaks off its running streams. These must not count as failures, as they say
// nothing about the health of an engine that later joins under the same name.
func TestStreamsBrokenOffByALeavingEngineAreNotFailures(t *testing.T) {
	s := newSim(t, 3)
	s.fill(6, 200*time.Millisecond)
	s.find("u01").LeavingSince = s.now
	s.sync()
	for attempt, up := range s.granted {
		if up == "u01" {
			s.home.End(s.now, msg.GrantEnd{Pool: "pool", Attempt: attempt, Upstream: up, Failed: true})
		}
	}
	if rate := s.home.failureRate(s.now, "u01"); rate != 0 {
		t.Errorf("failure rate of u01, which is leaving and broke off its streams, = %.2f, want 0", rate)
	}
}
