package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// minNear is the minimum number of near instances for a response that contains only near
	// instances: a caller whose connection fails needs a second address to try.
	minNear = 2
	// minNearShare is the minimum number of near instances for such a response, as a fraction of
	// an even share of the fleet per data centre or region, so that a few instances do not serve
	// the callers of many.
	minNearShare = 0.25
	// In a weighted response nearWeighted near instances are listed nearWeight times each and
	// farWeighted instances of other data centres once. Callers choose an address at random and
	// skip those that failed. If the caller's data centre fails, so do the instances that the
	// caller could query for other addresses. The list is therefore short: the caller reaches a
	// far instance within a few attempts.
	nearWeighted = 3
	nearWeight   = 6
	farWeighted  = 2
	// goldenRatio is the fractional part of the golden ratio. The fractional parts of its multiples are
	// evenly spread.
	goldenRatio = 0.618033988749895
)

// Place is the location of a caller. Unknown fields are empty.
type Place struct {
	DataCentre string
	Region     string
	// Regions restricts the response to instances in these regions and in the caller's own
	// region. Empty means no restriction.
	Regions []string
	// Caller identifies the caller, "" if unknown. The same caller gets the same instances each
	// time, so that it can reuse connections.
	Caller string
}

// mayConnect reports whether a caller may connect to instances of a data centre.
func (f *Fleet) mayConnect(near Place, dataCentre string) bool {
	region := f.regions[dataCentre]
	return len(near.Regions) == 0 || region == near.Region || slices.Contains(near.Regions, region)
}

// Addresses returns the addresses of up to limit instances that accept callers. Instances of the
// caller's data centre are preferred, then those of its region, if there are enough of them to
// carry the load: connections within a data centre are not exposed to packet loss between data
// centres, where one retransmission exceeds the allowed gap between events. Successive responses
// rotate through the instances if there are more than limit.
//
// Instances are listed by weight if their capacities or loads differ, and some of another data centre
// if those of the caller's are loaded.
//
// For an identified caller the response is weighted, as described at nearWeighted.
func (f *Fleet) Addresses(near Place, limit int) []string {
	ready := slices.DeleteFunc(f.allServing(), func(b msg.Heartbeat) bool { return !f.mayConnect(near, b.DataCentre) })
	for _, group := range []struct {
		of      func(dataCentre string) string
		near    string
		spilled string
	}{
		{func(dc string) string { return dc }, near.DataCentre, near.DataCentre},
		{func(dc string) string { return f.regions[dc] }, near.Region, ""},
	} {
		in := nearest(ready, group.of, group.near)
		switch {
		case in == nil:
		case near.Caller == "" || len(in) == len(ready) || limit < nearWeighted*nearWeight+farWeighted:
			far, share := f.spillOf(group.spilled, ready)
			return f.byWeight(in, far, share, limit)
		default:
			return f.weighted(in, ready, near.Caller)
		}
	}
	return f.byWeight(ready, nil, 0, limit)
}

// byWeight returns up to limit addresses of instances by their weights. A share of them is of the
// instances in far. If all weights are equal and the share is 0, each instance is listed once.
func (f *Fleet) byWeight(in, far []msg.Heartbeat, share float64, limit int) []string {
	if f.without.Has(mechanism.RoomWeights) {
		return f.window(in, limit)
	}
	w := f.weights(in)
	if share == 0 && uniform(w) {
		return f.window(in, limit)
	}
	f.responses++
	_, start := math.Modf(float64(f.responses) * goldenRatio)
	if share == 0 {
		return sample(in, w, min(limit, slotsFor(w)), start)
	}
	fromFar := min(int(share*float64(limit)+start), int(maxSpill*float64(limit)))
	return append(sample(in, w, limit-fromFar, start), sample(far, f.weights(far), fromFar, start)...)
}

// slotsFor returns the smallest number of addresses in which the instance with the lowest weight is
// listed.
func slotsFor(w []float64) int {
	total := 0.0
	for _, v := range w {
		total += v
	}
	return int(math.Ceil(total/slices.Min(w) - weightPrecision))
}

// uniform reports whether all weights are equal.
func uniform(w []float64) bool {
	return !slices.ContainsFunc(w, func(v float64) bool { return v != w[0] })
}

// sample returns n addresses, each instance as often as its weight of the total, rounded up or down.
// start, from 0 to 1, determines which are rounded up: over evenly spread values of it the shares are
// exact.
func sample(list []msg.Heartbeat, w []float64, n int, start float64) []string {
	total := 0.0
	for _, v := range w {
		total += v
	}
	out := make([]string, 0, n)
	step := total / float64(n)
	reached, next := 0.0, start*step
	for k, b := range list {
		reached += w[k]
		for ; next < reached && len(out) < n; next += step {
			out = append(out, b.CallerAddress)
		}
	}
	return out
}

// weighted returns the addresses for an identified caller, weighted as described at nearWeighted.
// in lists the near instances, ready all instances that accept callers.
func (f *Fleet) weighted(in, ready []msg.Heartbeat, caller string) []string {
	var out []string
	usedDCs := map[string]bool{}
	for _, b := range f.ranked(in, caller)[:min(nearWeighted, len(in))] {
		for range nearWeight {
			out = append(out, b.CallerAddress)
		}
	}
	for _, b := range in {
		usedDCs[b.DataCentre] = true
	}
	far := 0
	for _, b := range f.ranked(ready, caller) {
		if far < farWeighted && !usedDCs[b.DataCentre] {
			usedDCs[b.DataCentre] = true
			out = append(out, b.CallerAddress)
			far++
		}
	}
	return out
}

// ranked orders instances for a caller by rendezvous hashing, weighted by capacity and load: an instance
// with twice the weight is the first of twice as many callers. When a weight changes, the order changes
// for few callers. Without differing weights the order is that of the hashes.
func (f *Fleet) ranked(list []msg.Heartbeat, caller string) []msg.Heartbeat {
	type rank struct {
		cost float64
		hash uint64
		at   int
	}
	ranks := make([]rank, len(list))
	for k, b := range list {
		ranks[k] = rank{hash: xxhash.Sum64String(caller + "/" + b.Name), at: k}
	}
	if w := f.weights(list); !uniform(w) && !f.without.Has(mechanism.RoomWeights) {
		for k := range ranks {
			ranks[k].cost = -math.Log((float64(ranks[k].hash)+1)/math.MaxUint64) / w[k]
		}
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.hash, a.hash), cmp.Compare(a.at, b.at))
	})
	out := make([]msg.Heartbeat, len(list))
	for k, r := range ranks {
		out[k] = list[r.at]
	}
	return out
}

// allServing lists the instances that accept callers, including this one.
func (f *Fleet) allServing() []msg.Heartbeat {
	out := make([]msg.Heartbeat, 0, len(f.live)+1)
	if f.self.Ready && !f.self.Leaving {
		out = append(out, f.self)
	}
	for _, m := range f.othersServing() {
		out = append(out, m.Heartbeat)
	}
	return out
}

// nearest returns the instances of the group near, which is a data centre or a region, or nil if
// they are too few. of returns the group of a data centre.
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

// window returns up to limit addresses, starting where the last response ended.
func (f *Fleet) window(list []msg.Heartbeat, limit int) []string {
	n := min(len(list), limit)
	out := make([]string, 0, n)
	for k := range n {
		out = append(out, list[(f.nextAddress+k)%len(list)].CallerAddress)
	}
	if n < len(list) {
		f.nextAddress = (f.nextAddress + n) % len(list)
	}
	return out
}
