package trial

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/pace"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// ColdStart is a plain service some of whose upstreams come back cold under load, before
// instances that each choose by themselves.
type ColdStart struct {
	Instances, Upstreams, DataCentres int
	// Cold are the upstreams that come back at once; they stay cold for ColdFor and bear
	// Rate requests a second each meanwhile.
	Cold    int
	ColdFor time.Duration
	Rate    float64
	// PerSecond is the load on all instances together, Work the time for a request.
	PerSecond float64
	Work      time.Duration
	// Unaware is the part of the instances that know only half of the others.
	Unaware float64
	Seed    uint64
}

// ColdResult is what came of a ColdStart.
type ColdResult struct {
	// Peak is the most requests that reached a cold upstream in any second.
	Peak int
	// Used is the mean number of requests a second that reached a cold upstream.
	Used float64
	// Served and Refused count the requests during the cold time.
	Served, Refused int
	// RetryAfter is the mean time that refused callers were told to wait.
	RetryAfter time.Duration
}

// coldSend is a request that arrives at a cold upstream.
type coldSend struct {
	upstream string
	at       time.Duration
}

const (
	coldService = "service"
	coldHop     = 60 * time.Millisecond
)

// PlayColdStart plays a cold start in virtual time.
func PlayColdStart(c ColdStart) ColdResult {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	begin := time.Unix(1000, 0)
	gates := c.gates(begin, rng)
	type end struct {
		at   time.Duration
		gate *forward.Gate
		call *forward.Call
	}
	var ends []end
	var sends []coldSend
	var out ColdResult
	var after time.Duration
	for at := time.Duration(0); at < c.ColdFor; {
		at += time.Duration(rng.ExpFloat64() / c.PerSecond * float64(time.Second))
		now := begin.Add(at)
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if e.at > at {
				return false
			}
			e.gate.Ended(begin.Add(e.at), e.call, forward.Done, false)
			return true
		})
		g := gates[rng.IntN(len(gates))]
		call, refusal := g.Admit(now, forward.Request{ID: fmt.Sprint(at), Host: "h", Path: "/", Timeout: 3 * time.Second, Replayable: true})
		if refusal != nil {
			panic("refused at the door: " + string(refusal.Reason)) // the trial's own configuration
		}
		s := g.Start(now, call)
		if s.Send == nil {
			out.Refused++
			after += s.Refuse.RetryAfter
			continue
		}
		out.Served++
		ends = append(ends, end{at: at + c.Work, gate: g, call: call})
		if u := s.Send.Upstream; !u.ColdUntil.IsZero() {
			sends = append(sends, coldSend{upstream: u.ID, at: at + time.Duration(rng.Float64()*float64(coldHop))})
		}
	}
	out.Peak, out.Used = peak(sends), float64(len(sends))/float64(max(c.Cold, 1))/c.ColdFor.Seconds()
	if out.Refused > 0 {
		out.RetryAfter = after / time.Duration(out.Refused)
	}
	return out
}

// gates returns the instances at the moment at which the upstreams come back.
func (c ColdStart) gates(now time.Time, rng *rand.Rand) []*forward.Gate {
	table := route.NewTable(route.Config{
		Version:  1,
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Idempotent, Timeout: 3 * time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: coldService, Weight: 1}}}},
		Services: []route.Service{{Name: coldService, ColdFor: c.ColdFor, ColdRate: c.Rate}},
	})
	peers := make([]forward.Peer, 0, c.Instances)
	for k := range c.Instances {
		peers = append(peers, forward.Peer{Name: fmt.Sprintf("instance-%03d", k), DataCentre: c.dataCentre(k)})
	}
	var list []roster.Change
	for k := range c.Upstreams {
		e := roster.Entry{ID: fmt.Sprintf("upstream-%02d", k), Service: coldService, Address: fmt.Sprint(k), DataCentre: c.dataCentre(k), Slots: 6}
		if k < c.Cold {
			e.ColdRemaining = c.ColdFor
		}
		list = append(list, roster.Change{ID: e.ID, Version: int64(k + 1), Valid: true, Entry: e})
	}
	var out []*forward.Gate
	for k, p := range peers {
		g := forward.New(forward.Options{Name: p.Name, DataCentre: p.DataCentre, RetryWindow: 10 * time.Second, Seed: c.Seed + uint64(k)})
		g.Adopt(table)
		g.SetCordons(now, cordon.NewSet(1, nil))
		known := peers
		if rng.Float64() < c.Unaware {
			known = slices.DeleteFunc(slices.Clone(peers), func(o forward.Peer) bool { return o.Name != p.Name && rng.IntN(2) == 0 })
		}
		g.SetPeers(known)
		g.Roster().Update(now, list, int64(len(list)))
		out = append(out, g)
	}
	return out
}

func (c ColdStart) dataCentre(k int) string { return fmt.Sprintf("dc-%d", k%max(c.DataCentres, 1)) }

// peak is the most arrivals at one upstream in any sliding second.
func peak(sends []coldSend) int {
	slices.SortFunc(sends, func(a, b coldSend) int {
		return cmp.Or(cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.at, b.at))
	})
	most, first := 0, 0
	for k, s := range sends {
		for sends[first].upstream != s.upstream || s.at-sends[first].at >= pace.Window {
			first++
		}
		most = max(most, k-first+1)
	}
	return most
}
