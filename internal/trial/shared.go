package trial

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// homePerEntry runs a placement.Home at each entry for the requests of that entry: the
// alternative design to one home for a pool. Entries may announce their running attempts to
// each other.
type homePerEntry struct {
	run   *Run
	homes []*simHome
	// interval is the interval at which entries announce their running attempts to all other
	// entries; if it is 0, entries announce nothing.
	interval   time.Duration
	lastGossip time.Duration
}

// EntriesAlone returns a policy with one home per entry. A home sees the work of other
// entries only in the engines' delayed reports.
func EntriesAlone(weights config.Weights) Maker { return perEntryMaker("entries", weights, 0) }

// gossipInterval is the interval at which Gossip's entries announce their running attempts
// to each other.
const gossipInterval = 250 * time.Millisecond

// Gossip returns a policy with one home per entry. Entries announce their running attempts
// to each other every quarter of a second.
func Gossip(weights config.Weights) Maker { return perEntryMaker("gossip", weights, gossipInterval) }

func perEntryMaker(name string, weights config.Weights, interval time.Duration) Maker {
	return Maker{Name: name, Make: func(r *Run) Policy {
		s := &homePerEntry{run: r, interval: interval}
		for range r.work.Entries {
			s.homes = append(s.homes, newSimHome(r, placement.Settings{Weights: weights, Engine: true}))
		}
		return s
	}}
}

// Arrive implements Policy.
func (s *homePerEntry) Arrive(q *Request) { s.homes[q.Entry].Arrive(q) }

// Report implements Policy.
func (s *homePerEntry) Report(engine int, r placement.Report) {
	for _, e := range s.homes {
		e.Report(engine, r)
	}
}

// Ended implements Policy.
func (s *homePerEntry) Ended(q *Request, id string, engine, tokens int, complete bool) {
	for i, e := range s.homes {
		if i == q.Entry || s.interval > 0 {
			e.Ended(q, id, engine, tokens, complete)
		}
	}
}

// Tick implements Policy.
func (s *homePerEntry) Tick() {
	for i, e := range s.homes {
		e.apply(e.home.Tick(e.now()))
		e.announce(announceInterval, func(q *Request) bool { return q.Entry == i })
	}
	if s.interval == 0 || s.run.now-s.lastGossip < s.interval {
		return
	}
	s.lastGossip = s.run.now
	for i, e := range s.homes {
		e.announce(0, func(q *Request) bool { return q.Entry != i })
	}
}
