package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// spillBegins is the mean load of a data centre, in percent, from which its callers also get
	// addresses of another data centre. Waiting on a machine that is used to four fifths takes longer
	// than the few milliseconds to another data centre. Below spillEnds this ends.
	spillBegins = 80.0
	spillEnds   = 70.0
	// spillMargin is how much lower the load of the other data centre must be, in percentage points.
	spillMargin = 30.0
	// maxSpill is the maximum share of addresses in the other data centre.
	maxSpill = 0.25
	// spillStep is the part of the difference between the share and its target that is closed in each
	// second, so that callers move gradually.
	spillStep = 1.0 / 3
	// spillWindow is the time constant of the moving average of a data centre's load. The demand of data
	// centres rises and falls in waves of 17 s, and callers keep a response for 5 to 15 s: those that
	// are sent away at the peak of one wave arrive at the peak of the next data centre's.
	spillWindow = 10 * time.Second
	// minMeanLoad is the mean load in percent below which a moving average counts as 0.
	minMeanLoad = 1.0
	// minSpill is the smallest share; less than one address of a response.
	minSpill = 0.005
)

// spill is the use of another data centre by the callers of one.
type spill struct {
	// active is set while the conditions hold. After that the share returns to 0 gradually.
	active bool
	// to is the other data centre, share the share of its addresses in a response.
	to    string
	share float64
	at    time.Time
}

// SpillChange is the beginning or end of the use of another data centre. Loads are in percent.
type SpillChange struct {
	Began            bool
	From, To         string
	Load, LoadAtDest float64
}

// updateSpills updates the use of other data centres.
func (f *Fleet) updateSpills(now time.Time) (changes []SpillChange) {
	if len(f.rooms) == 0 && len(f.spills) == 0 && len(f.loads) == 0 {
		f.loadsAt = now
		return nil
	}
	loads := f.averageLoads(now)
	for _, dc := range slices.Sorted(maps.Keys(loads)) {
		s := f.spills[dc]
		if s == nil {
			s = &spill{at: now}
		}
		if s.update(now, dc, loads, f.regions) {
			changes = append(changes, SpillChange{Began: s.active, From: dc, To: s.to, Load: loads[dc], LoadAtDest: loads[s.to]})
		}
		if s.active || s.share > 0 {
			f.spills[dc] = s
		} else {
			delete(f.spills, dc)
		}
	}
	for dc, s := range f.spills {
		if _, serving := loads[dc]; !serving { // its callers get addresses in the region
			delete(f.spills, dc)
			if s.active {
				changes = append(changes, SpillChange{From: dc, To: s.to, LoadAtDest: loads[s.to]})
			}
		}
	}
	return changes
}

// update processes the mean loads of all data centres and reports whether the use of another one has
// begun or ended.
func (s *spill) update(now time.Time, dc string, loads map[string]float64, regions map[string]string) (changed bool) {
	before := s.active
	there, serving := loads[s.to]
	switch {
	case s.active:
		s.active = serving && loads[dc] >= spillEnds && there < loads[dc]
	case loads[dc] >= spillBegins:
		if to := leastLoaded(dc, loads, regions); to != "" {
			if to != s.to {
				s.share = 0
			}
			s.active, s.to, there = true, to, loads[to]
		}
	}
	target := s.targetShare(loads[dc], there)
	s.share = target + (s.share-target)*math.Pow(1-spillStep, max(now.Sub(s.at).Seconds(), 0))
	if s.share < minSpill && !s.active {
		s.share = 0
	}
	s.at = now
	return s.active != before
}

// targetShare returns the share of addresses in the other data centre, given the loads in percent. It
// grows from 0 at spillEnds to maxSpill at 100. A fixed share would take the load below spillEnds,
// which would end the use, and the load would return.
func (s *spill) targetShare(load, there float64) float64 {
	if !s.active {
		return 0
	}
	need := max(load-spillEnds, 0) / (100 - spillEnds)
	return maxSpill * min(need, 1) * min(max(load-there, 0)/spillMargin, 1)
}

// leastLoaded returns the data centre with the lowest load among those whose load is lower by
// spillMargin, "" if there is none. Those in the region of dc are preferred.
func leastLoaded(dc string, loads map[string]float64, regions map[string]string) string {
	var candidates []string
	for other, load := range loads {
		if other != dc && load <= loads[dc]-spillMargin {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	distance := func(other string) int {
		if regions[other] == regions[dc] {
			return 0
		}
		return 1
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(loads[a], loads[b]), cmp.Compare(a, b))
	})
}

// average is the moving average of the mean load of a data centre, in percent. since is when the data
// centre became known while others were loaded, zero if it was known before.
type average struct {
	load  float64
	since time.Time
}

// averageLoads returns the moving averages of the mean loads, in percent, of data centres with instances
// that accept callers. A data centre that has just become known, as after a cut, is left out until its
// instances must have stated their loads.
func (f *Fleet) averageLoads(now time.Time) map[string]float64 {
	current := f.meanLoads(now)
	next, out := make(map[string]average, len(current)), make(map[string]float64, len(current))
	part := 1 - math.Exp(-now.Sub(f.loadsAt).Seconds()/spillWindow.Seconds())
	f.loadsAt = now
	loaded := false
	for dc, load := range current {
		avg, known := f.loads[dc]
		switch {
		case !known && f.loads != nil:
			avg = average{load: load, since: now}
		case now.Sub(avg.since) < loadTTL:
			avg.load = load
		default:
			avg.load += (load - avg.load) * part
		}
		next[dc] = avg
		loaded = loaded || avg.load >= minMeanLoad || load > 0
		if now.Sub(avg.since) >= loadTTL {
			out[dc] = avg.load
		}
	}
	f.loads = nil
	if loaded {
		f.loads = next
	}
	return out
}

// meanLoads returns the mean stated load, in percent, of each data centre with instances that accept
// callers and state their load, weighted by their capacity.
func (f *Fleet) meanLoads(now time.Time) map[string]float64 {
	serving := f.allServing()
	weights := capacityWeights(serving)
	load, capacity := map[string]float64{}, map[string]float64{}
	for k, b := range serving {
		if !b.UnderstandsLoad() {
			continue // an instance of an earlier release does not state its load
		}
		capacity[b.DataCentre] += weights[k]
		load[b.DataCentre] += 0
		if r := f.rooms[b.Name]; r != nil && r.boot == b.Boot {
			load[b.DataCentre] += weights[k] * float64(r.load(now))
		}
	}
	for dc := range load {
		load[dc] /= capacity[dc]
	}
	return load
}

// spillOf returns the instances of the other data centre that the callers of a data centre also use,
// and the share of their addresses in a response. ready lists the instances to which a caller may
// connect; it may lack those of the other data centre.
func (f *Fleet) spillOf(dataCentre string, ready []msg.Heartbeat) ([]msg.Heartbeat, float64) {
	s := f.spills[dataCentre]
	if s == nil {
		return nil, 0
	}
	var far []msg.Heartbeat
	for _, b := range ready {
		if b.DataCentre == s.to {
			far = append(far, b)
		}
	}
	if len(far) == 0 {
		return nil, 0
	}
	return far, s.share
}
