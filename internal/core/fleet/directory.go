package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// minNear is the fewest near instances that are returned alone: a caller whose connection
	// fails needs a second address to try.
	minNear = 2
	// minNearShare is the part of an even share of the fleet that near instances must make up
	// to be returned alone, so that a few instances do not carry the callers of many.
	minNearShare = 0.25
	// Weighted answers: nearWeighted near instances are listed nearWeight times each,
	// farWeighted instances of other data centres once. Callers pick an address at random and
	// skip those that failed. A caller that loses its data centre also loses the instances
	// that could name others, so a short list leads it to a far instance within a few
	// attempts.
	nearWeighted = 3
	nearWeight   = 6
	farWeighted  = 2
)

// Place is the caller's location; unknown fields are empty.
type Place struct {
	DataCentre string
	Region     string
	// Regions restricts the answer to instances in these regions and in the caller's own.
	// Empty means no restriction.
	Regions []string
	// Caller identifies the caller, "" if unknown. The same caller gets the same instances, so
	// that it can reuse connections.
	Caller string
}

// mayConnect reports whether a caller may connect to instances of a data centre.
func (f *Fleet) mayConnect(near Place, dataCentre string) bool {
	region := f.regions[dataCentre]
	return len(near.Regions) == 0 || region == near.Region || slices.Contains(near.Regions, region)
}

// Addresses returns the addresses of up to most live, ready instances for a caller. Instances
// of the caller's data centre are preferred, then those of its region, as long as they are
// enough to carry the load: connections that stay within a data centre are not exposed to
// packet loss between data centres, where one retransmission exceeds the allowed gap between
// events. Successive answers rotate through the candidates if there are more than most.
//
// For an identified caller the answer is weighted: see nearWeight.
func (f *Fleet) Addresses(near Place, most int) []string {
	ready := slices.DeleteFunc(f.ready(), func(b msg.Heartbeat) bool { return !f.mayConnect(near, b.DataCentre) })
	for _, group := range []struct {
		of   func(dataCentre string) string
		near string
	}{
		{func(dc string) string { return dc }, near.DataCentre},
		{func(dc string) string { return f.regions[dc] }, near.Region},
	} {
		in := nearest(ready, group.of, group.near)
		switch {
		case in == nil:
		case near.Caller == "" || len(in) == len(ready) || most < nearWeighted*nearWeight+farWeighted:
			return f.window(in, most)
		default:
			return weighted(in, ready, near.Caller)
		}
	}
	return f.window(ready, most)
}

// weighted returns the weighted answer for one caller.
func weighted(in, ready []msg.Heartbeat, caller string) []string {
	var out []string
	named := map[string]bool{}
	for _, b := range ranked(in, caller)[:min(nearWeighted, len(in))] {
		for range nearWeight {
			out = append(out, b.CallerAddress)
		}
	}
	for _, b := range in {
		named[b.DataCentre] = true
	}
	far := 0
	for _, b := range ranked(ready, caller) {
		if far < farWeighted && !named[b.DataCentre] {
			named[b.DataCentre] = true
			out = append(out, b.CallerAddress)
			far++
		}
	}
	return out
}

// ranked orders instances by rendezvous hashing for a caller.
func ranked(list []msg.Heartbeat, caller string) []msg.Heartbeat {
	type rank struct {
		hash uint64
		at   int
	}
	ranks := make([]rank, len(list))
	for k, b := range list {
		ranks[k] = rank{hash: xxhash.Sum64String(caller + "/" + b.Name), at: k}
	}
	slices.SortFunc(ranks, func(a, b rank) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.at, b.at)) })
	out := make([]msg.Heartbeat, len(list))
	for k, r := range ranks {
		out[k] = list[r.at]
	}
	return out
}

// ready lists the instances that accept callers, including this one.
func (f *Fleet) ready() []msg.Heartbeat {
	var out []msg.Heartbeat
	if f.self.Ready && !f.self.Leaving {
		out = append(out, f.self)
	}
	for _, m := range f.serving() {
		out = append(out, m.Heartbeat)
	}
	return out
}

// nearest returns the instances of one group, or nil if they are too few.
func nearest(ready []msg.Heartbeat, of func(dataCentre string) string, near string) []msg.Heartbeat {
	if near == "" {
		return nil
	}
	var in []msg.Heartbeat
	groups := map[string]bool{}
	for _, b := range ready {
		g := of(b.DataCentre)
		groups[g] = true
		if g == near {
			in = append(in, b)
		}
	}
	if len(in) < minNear || float64(len(in)) < minNearShare*float64(len(ready))/float64(len(groups)) {
		return nil
	}
	return in
}

// window returns up to most addresses, starting where the last answer ended.
func (f *Fleet) window(list []msg.Heartbeat, most int) []string {
	n := min(len(list), most)
	out := make([]string, 0, n)
	for k := range n {
		out = append(out, list[(f.turn+k)%len(list)].CallerAddress)
	}
	if n < len(list) {
		f.turn = (f.turn + n) % len(list)
	}
	return out
}
