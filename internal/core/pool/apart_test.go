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

// apart plays a pool of four workers in each of three data centres, and an entry
// in each: together they ask for 4.5 drafts a second, about as many as the users.
type apart struct {
	*sim
	// placed counts drafts by the data centres of entry and upstream.
	placed map[string]map[string]int
	rounds int
}

var places = []string{"a", "b", "c"}

func newApart(t *testing.T) *apart {
	s := newSim(t, 0)
	for _, dc := range places {
		for k := range 4 {
			s.list = append(s.list, &roster.Upstream{
				Entry: roster.Entry{ID: fmt.Sprintf("%s%d", dc, k), Service: "pool", Address: dc, DataCentre: dc, Slots: 24}, Seen: s.now,
			})
		}
	}
	s.sync()
	return &apart{sim: s, placed: map[string]map[string]int{}}
}

func (a *apart) entry(dc string) Entry { return Entry{Name: "entry-" + dc, DataCentre: dc} }

// second plays a second: new drafts, and what each entry announces.
func (a *apart) second() {
	for range 2 {
		a.now = a.now.Add(500 * time.Millisecond)
		for _, dc := range places {
			if a.rounds%4 != 3 {
				a.draft(dc)
			}
			a.announceFrom(dc)
		}
		a.rounds++
		a.home.Tick(a.now)
		a.sync()
	}
}

func (a *apart) draft(dc string) {
	ask := placement.Ask{
		Attempt: fmt.Sprintf("%s-%d", dc, a.rounds), Org: "org", Prompt: 3000, MaxOutput: 900, Expected: 900, MaxWait: 3 * time.Second,
	}
	a.asks[ask.Attempt] = ask
	a.home.Ask(a.now, a.entry(dc), msg.GrantAsk{Pool: "pool", Ask: ask})
	a.drain()
	if a.placed[dc] == nil {
		a.placed[dc] = map[string]int{}
	}
	if up := a.granted[ask.Attempt]; up != "" {
		a.placed[dc][up[:1]]++
	}
}

func (a *apart) announceFrom(dc string) {
	m := msg.Announce{Pool: "pool"}
	for _, attempt := range slices.Sorted(maps.Keys(a.granted)) {
		up := a.granted[attempt]
		if attempt[:1] != dc {
			continue
		}
		age := a.now.Sub(a.began[attempt])
		if age > 9*time.Second {
			a.home.End(a.now, msg.GrantEnd{Pool: "pool", Attempt: attempt, Tokens: 900})
			delete(a.granted, attempt)
			continue
		}
		m.Running = append(m.Running, msg.RunningAttempt{Ask: a.asks[attempt], Upstream: up, Tokens: int(age / (10 * time.Millisecond))})
	}
	a.home.Announce(a.now, a.entry(dc), m)
}

// far counts the drafts of an entry that were placed in another data centre.
func (a *apart) far(dc string) (n int) {
	for up, k := range a.placed[dc] {
		if up != dc {
			n += k
		}
	}
	return n
}

// Readers see every token come through two links: from the upstream to the entry
// and from there to them. With room everywhere, an answer that stays in its data
// centre is exposed to one less. Two in ten may still cross, where the own data
// centre is fuller.
func TestDraftsStayInTheirEntrysDataCentre(t *testing.T) {
	a := newApart(t)
	for range 30 {
		a.second()
	}
	for _, dc := range places {
		if far, own := a.far(dc), a.placed[dc][dc]; far > own/4 {
			t.Errorf("entry in %s: %d drafts in its data centre, %d in others: %v", dc, own, far, a.placed[dc])
		}
	}
}
