package fleet

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// seedResponse is the response of a seed, and the number of known instances after it.
type seedResponse struct {
	msg.JoinResponse
	known int
}

// simulateJoin simulates the start of an instance in virtual time. respond returns the
// response of the seeds to a request at a time after the start, or nil if they do not
// respond. simulateJoin returns the step with which joining ended, the time that it took, and
// the number of requests to the seeds.
func simulateJoin(seeds bool, respond func(d time.Duration) *seedResponse) (by JoinStep, at time.Duration, requests int) {
	j := NewJoin(start, seeds)
	for at = 0; at < 10*time.Second; at += 10 * time.Millisecond {
		switch by = j.Next(start.Add(at)); by {
		case JoinDone, JoinByStore:
			return by, at, requests
		case JoinAskSeeds:
			requests++
			if a := respond(at); a != nil {
				j.OnResponse(a.JoinResponse, a.known)
			}
		case JoinWait:
		}
	}
	return by, at, requests
}

func TestJoining(t *testing.T) {
	always := func(a msg.JoinResponse, known int) func(time.Duration) *seedResponse {
		return func(time.Duration) *seedResponse { return &seedResponse{a, known} }
	}
	// starting simulates a fleet of 200 whose instances all start within 0.3 s. The seeds respond
	// from the given time on.
	starting := func(seedsFrom time.Duration) func(time.Duration) *seedResponse {
		return func(d time.Duration) *seedResponse {
			if d < seedsFrom {
				return nil
			}
			return &seedResponse{known: int(200 * min(d.Seconds()/0.3, 1))}
		}
	}
	for _, c := range []struct {
		name     string
		seeds    bool
		respond  func(time.Duration) *seedResponse
		by       JoinStep
		from     time.Duration
		to       time.Duration
		requests int // minimum
	}{
		{"replaced instance, seeds know the fleet: done at the first response", true, always(msg.JoinResponse{Eligible: true}, 200), JoinDone, 0, 20 * time.Millisecond, 1},
		{"all start at once: done when all are known", true, starting(0), JoinDone, 300 * time.Millisecond, 500 * time.Millisecond, 4},
		{"seeds start last: done after another request", true, starting(280 * time.Millisecond), JoinDone, 380 * time.Millisecond, 500 * time.Millisecond, 5},
		{"known instances keep growing: done after the timeout", true, func(d time.Duration) *seedResponse { return &seedResponse{known: int(100 * d.Seconds())} }, JoinDone, growthTimeout, growthTimeout, 7},
		{"seeds are isolated from the others: the store", true, always(msg.JoinResponse{Isolated: true, Eligible: true}, 3), JoinByStore, seedTimeout, seedTimeout, 5},
		{"seeds do not respond: the store", true, func(time.Duration) *seedResponse { return nil }, JoinByStore, seedTimeout, seedTimeout, 5},
		{"no seeds: the store", false, nil, JoinByStore, 0, 0, 0},
	} {
		by, at, requests := simulateJoin(c.seeds, c.respond)
		if by != c.by || at < c.from || at > c.to || requests < c.requests {
			t.Errorf("%s: joining ended with JoinStep %d after %v and %d requests, want the step by, a time between from and to and at least the requests of this case", c.name, by, at, requests)
		}
	}
}

// The response to an instance that has just started must list the live instances, but not the
// dead ones that are still known. A sender that already knows the same instances must get no
// list.
func TestJoinResponses(t *testing.T) {
	f := fleetOf(0, 6)
	now := start.Add(10 * time.Second)
	for k := 1; k < 5; k++ {
		f.OnHeartbeat(now, heartbeat(k))
	}
	f.Tick(now)
	f.SetSelf(now, true, false, true)
	newcomer := heartbeat(9)
	f.OnHeartbeat(now, newcomer)
	a := f.JoinResponse(msg.JoinRequest{Sender: newcomer, Digest: New(now, newcomer, nil, 0).JoinRequest().Digest}, true)
	listed := map[string]bool{}
	for _, b := range a.Instances {
		listed[b.Name] = true
	}
	if len(listed) != 6 || !listed["i00"] || !listed["i04"] || listed["i05"] || !a.Eligible || a.Isolated {
		t.Errorf("eligible %v, isolated %v, instances %v; want eligible, not isolated and the six live instances", a.Eligible, a.Isolated, listed)
	}
	if same := f.JoinResponse(msg.JoinRequest{Digest: f.JoinRequest().Digest}, true); same.Instances != nil {
		t.Errorf("%d instances sent to a sender that already knows them, want none", len(same.Instances))
	}
	if young := fleetOf(0, 6); young.JoinResponse(msg.JoinRequest{}, true).Eligible || f.JoinResponse(msg.JoinRequest{}, false).Eligible {
		t.Error("response of an instance that has just started or not joined is eligible, want not eligible")
	}
}

// A seed that is cut off from most other instances must report that it is isolated. Otherwise
// a new instance would join the smaller side of a partition.
func TestAnIsolatedSeedReportsIt(t *testing.T) {
	f := fleetOf(0, 12)
	now := start.Add(10 * time.Second)
	f.OnHeartbeat(now, heartbeat(1))
	f.Tick(now)
	f.SetSelf(now, true, false, true)
	if !f.JoinResponse(msg.JoinRequest{}, true).Isolated {
		t.Error("seed that has lost ten of eleven other instances does not report that it is isolated, want it reported")
	}
}
