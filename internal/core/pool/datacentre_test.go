package pool

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// dataCentreSim simulates a pool of four upstreams in each of three data centres, and an entry in
// each. Together the entries request 4.5 generations a second, about the load in deployments of this
// system.
type dataCentreSim struct {
	*sim
	// placed counts granted generations by the data centres of entry and upstream.
	placed      map[string]map[string]int
	halfSeconds int
}

var dataCentres = []string{"a", "b", "c"}

func newDataCentreSim(t *testing.T) *dataCentreSim {
	s := newSim(t, 0)
	for _, dc := range dataCentres {
		for k := range 4 {
			s.list = append(s.list, &roster.Upstream{
				Entry: roster.Entry{ID: fmt.Sprintf("%s%d", dc, k), Service: "pool", Address: dc, DataCentre: dc, Slots: 24, Software: "v1"}, FirstSeen: s.now,
			})
		}
	}
	s.sync()
	return &dataCentreSim{sim: s, placed: map[string]map[string]int{}}
}

func (a *dataCentreSim) entry(dc string) Entry { return Entry{Name: "entry-" + dc, DataCentre: dc} }

// advanceSecond simulates one second: entries request generations and announce running ones.
func (a *dataCentreSim) advanceSecond() {
	for range 2 {
		a.now = a.now.Add(500 * time.Millisecond)
		for _, dc := range dataCentres {
			if a.halfSeconds%4 != 3 {
				a.requestFrom(dc)
			}
			a.announceFrom(dc)
		}
		a.halfSeconds++
		a.home.Tick(a.now)
		a.sync()
	}
}

// requestFrom requests a generation from the entry in a data centre.
func (a *dataCentreSim) requestFrom(dc string) {
	req := placement.Request{
		Attempt: fmt.Sprintf("%s-%d", dc, a.halfSeconds), Org: "org", Prompt: 3000, MaxOutput: 900, Expected: 900, MaxWait: 3 * time.Second,
	}
	a.requests[req.Attempt] = req
	a.home.Place(a.now, a.entry(dc), msg.GrantRequest{Pool: "pool", Request: req})
	a.deliverMessages()
	if a.placed[dc] == nil {
		a.placed[dc] = map[string]int{}
	}
	if up := a.granted[req.Attempt]; up != "" {
		a.placed[dc][up[:1]]++
	}
}

// announceFrom announces the running generations of an entry and ends those that are complete.
func (a *dataCentreSim) announceFrom(dc string) {
	m := msg.Announce{Pool: "pool"}
	for _, attempt := range slices.Sorted(maps.Keys(a.granted)) {
		up := a.granted[attempt]
		if attempt[:1] != dc {
			continue
		}
		age := a.now.Sub(a.prefilledAt[attempt])
		if age > 9*time.Second {
			a.home.End(a.now, msg.GrantEnd{Pool: "pool", Attempt: attempt, Tokens: 900})
			delete(a.granted, attempt)
			continue
		}
		m.Running = append(m.Running, msg.RunningAttempt{Request: a.requests[attempt], Upstream: up, Tokens: int(age / (10 * time.Millisecond))})
	}
	a.home.Announce(a.now, a.entry(dc), m)
}

// countRemote returns the number of an entry's generations in other data centres.
func (a *dataCentreSim) countRemote(dc string) (n int) {
	for up, k := range a.placed[dc] {
		if up != dc {
			n += k
		}
	}
	return n
}

// A token passes two links: from the upstream to the entry and from there to the caller. A
// generation in its entry's data centre is exposed to the faults of one link less. With room
// everywhere, at most two in ten generations may be placed in another data centre because their
// own is fuller.
func TestGenerationsStayInTheirEntrysDataCentre(t *testing.T) {
	a := newDataCentreSim(t)
	for range 30 {
		a.advanceSecond()
	}
	for _, dc := range dataCentres {
		if remote, own := a.countRemote(dc), a.placed[dc][dc]; remote > own/4 {
			t.Errorf("entry in %s: %d generations in its data centre, %d in others, want at most a quarter as many: %v", dc, own, remote, a.placed[dc])
		}
	}
}
