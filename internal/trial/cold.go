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

// ColdStart describes a service under load, some of whose upstreams return to service cold.
// Each instance chooses an upstream by itself.
type ColdStart struct {
	Instances, Upstreams, DataCentres int
	// Cold is the number of upstreams that return at the same time. They stay cold for
	// ColdFor; until then each sustains Rate requests per second.
	Cold    int
	ColdFor time.Duration
	Rate    float64
	// PerSecond is the load of all instances together in requests per second; Work is the
	// time that an upstream takes for a request.
	PerSecond float64
	Work      time.Duration
	// Unaware is the fraction of the instances that have only about half of their peers in
	// their view.
	Unaware float64
	Seed    uint64
}

// ColdResult holds the measured results of a ColdStart.
type ColdResult struct {
	// Peak is the maximum number of requests that reached one cold upstream within any
	// second.
	Peak int
	// Used is the mean number of requests per second that reached each cold upstream.
	Used float64
	// Served and Refused are the numbers of requests that were served and refused while the
	// upstreams were cold.
	Served, Refused int
	// RetryAfter is the mean retry delay in the refusals.
	RetryAfter time.Duration
}

// coldArrival is a request that arrives at a cold upstream.
type coldArrival struct {
	upstream string
	at       time.Duration
}

const (
	coldService = "service"
	// coldMaxDelay is the maximum network delay between an instance and an upstream.
	coldMaxDelay = 60 * time.Millisecond
)

// PlayColdStart simulates a cold start in virtual time.
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
	var sends []coldArrival
	var out ColdResult
	var retryAfter time.Duration // sum over the refused requests
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
			panic("gate refused a request before placement: " + string(refusal.Reason)) // the configuration in gates is wrong
		}
		s := g.Start(now, call)
		if s.Send == nil {
			out.Refused++
			retryAfter += s.Refuse.RetryAfter
			continue
		}
		out.Served++
		ends = append(ends, end{at: at + c.Work, gate: g, call: call})
		if u := s.Send.Upstream; !u.ColdUntil.IsZero() {
			sends = append(sends, coldArrival{upstream: u.ID, at: at + time.Duration(rng.Float64()*float64(coldMaxDelay))})
		}
	}
	out.Peak, out.Used = maxArrivals(sends), float64(len(sends))/float64(max(c.Cold, 1))/c.ColdFor.Seconds()
	if out.Refused > 0 {
		out.RetryAfter = retryAfter / time.Duration(out.Refused)
	}
	return out
}

// gates returns one gate per instance, in the state at which the upstreams return.
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

// maxArrivals returns the maximum number of arrivals at one upstream in any sliding window
// of pace.Window.
func maxArrivals(sends []coldArrival) int {
	slices.SortFunc(sends, func(a, b coldArrival) int {
		return cmp.Or(cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.at, b.at))
	})
	maximum, first := 0, 0
	for k, s := range sends {
		for sends[first].upstream != s.upstream || s.at-sends[first].at >= pace.Window {
			first++
		}
		maximum = max(maximum, k-first+1)
	}
	return maximum
}
