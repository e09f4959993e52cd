package core_test

import (
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// A home grants whatever it is asked for, whether or not it is still the home of the pool. An entry that has turned to
// the next home must return the grant of the former one. Otherwise it ends that grant at a home that does not know it,
// and the former home takes the upstream's memory for used.
func TestGrantOfAnotherThanTheAskedHomeIsReturned(t *testing.T) {
	sim := newSimulation(8, "100.00") // with fewer, one instance is the home of both the organisation and the pool
	sim.warmUpEngines()
	tried := 0
	for _, entry := range sim.instances {
		for _, home := range sim.instances {
			if home == entry {
				continue
			}
			home.frozen = true
			id := sim.generate(entry, true)
			former := sim.instances[slices.IndexFunc(sim.instances, func(n *simInstance) bool { return n != entry && n != home })]
			former.frozen = true
			if request, asked := grantRequestIn(home); asked {
				tried++
				attempt := request.Request.Attempt
				sim.handle(entry, core.PeerMessage{From: former.name, Msg: msg.GrantResponse{
					Pool: request.Pool, Number: request.Number, TTL: time.Second, Address: "engine", Boot: "u",
					Decision: placement.Decision{Attempt: attempt, Kind: placement.Granted, Upstream: "engine-1"},
				}})
				if d := sim.takeDispatch(id); d != nil {
					t.Errorf("%s asked %s and used a grant of %s, want it returned", entry.name, home.name, former.name)
				}
				if !slices.ContainsFunc(former.inbox, func(ev core.Event) bool {
					m, _ := ev.(core.PeerMessage)
					end, ok := m.Msg.(msg.GrantEnd)
					return ok && end.Attempt == attempt
				}) {
					t.Errorf("%s did not return the grant of %s", entry.name, former.name)
				}
			}
			sim.unfreeze(home)
			sim.unfreeze(former)
			sim.advance(5 * time.Second) // until the two do not count as silent any more
			if sim.takeDispatch(id) == nil {
				t.Errorf("%s: the request was not sent with the grant of the home", entry.name)
			}
		}
	}
	if tried == 0 {
		t.Error("no entry had asked a home that waited, want at least one: otherwise the test shows nothing")
	}
}

// grantRequestIn returns the request for a grant that waits at a frozen instance.
func grantRequestIn(n *simInstance) (request msg.GrantRequest, ok bool) {
	for _, ev := range n.inbox {
		if m, peer := ev.(core.PeerMessage); peer && !ok {
			request, ok = m.Msg.(msg.GrantRequest)
		}
	}
	return request, ok
}
