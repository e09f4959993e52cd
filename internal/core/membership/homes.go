package membership

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rendezvous holds the data about live instances that rendezvous hashing needs. It is computed
// once for each instance list: homes are looked up twice for every request and once per second
// for every running generation, and with 390 instances these lookups must not each sort a list.
type rendezvous struct {
	dataCentres []string
	candidates  []candidate
}

// candidate is an instance that can be a home.
type candidate struct {
	name string
	hash uint64
	// dataCentre is an index into rendezvous.dataCentres.
	dataCentre int
	// large is set for the larger machines of a fleet of unequal ones.
	large bool
}

// minLargeShare is the minimum share of large machines in the fleet for a preference of them. A few
// large machines among hundreds would be the homes of all keys.
const minLargeShare = 0.05

// isLarge returns whether each instance runs on one of the larger machines: of at least twice the
// capacity of the smallest. It returns none if the capacity of an instance is unknown, as in a fleet of
// two releases, which must agree on homes.
func isLarge(live []string, members map[string]Member) map[string]bool {
	smallest := uint8(math.MaxUint8)
	for _, name := range live {
		smallest = min(smallest, members[name].Capacity)
	}
	if smallest == 0 {
		return nil
	}
	large := map[string]bool{}
	for _, name := range live {
		if members[name].Capacity > smallest {
			large[name] = true
		}
	}
	if float64(len(large)) < minLargeShare*float64(len(live)) {
		return nil
	}
	return large
}

// newRendezvous returns the data for the given live instances.
func newRendezvous(live []string, members map[string]Member) rendezvous {
	r := rendezvous{candidates: make([]candidate, 0, len(live))}
	large := isLarge(live, members)
	for _, name := range live {
		dc := members[name].DataCentre
		at := slices.Index(r.dataCentres, dc)
		if at < 0 {
			at = len(r.dataCentres)
			r.dataCentres = append(r.dataCentres, dc)
		}
		r.candidates = append(r.candidates, candidate{name: name, hash: xxhash.Sum64String(name), dataCentre: at, large: large[name]})
	}
	return r
}

// score is the position of a candidate in the order for one key: a lower rank comes first and,
// with equal ranks, a higher hash.
type score struct {
	rank int
	hash uint64
	// at is the candidate's index.
	at int
}

// before reports whether s comes before o.
func (s score) before(o score) bool {
	return s.rank < o.rank || s.rank == o.rank && s.hash > o.hash
}

// Homes returns the first n instances for a key in rendezvous order, or all if there are fewer.
// Instances in data centres of a lower rank come first, which callers use to prefer a data
// centre and its region. Suspected instances come last among those of the same rank.
func (v *View) Homes(now time.Time, key string, n int, rank func(dataCentre string) int) []string {
	return v.homes(key, n, rank, func(string) bool { return true }, func(name string) bool { return v.suspected(now, name) }, false)
}

// LargeHome returns the first instance for a key, as Homes does, but prefers large machines among those
// of the same rank that are not suspected.
func (v *View) LargeHome(now time.Time, key string, rank func(dataCentre string) int) string {
	homes := v.homes(key, 1, rank, func(string) bool { return true }, func(name string) bool { return v.suspected(now, name) }, true)
	if len(homes) == 0 {
		return ""
	}
	return homes[0]
}

// StableHome returns the first instance for a key among those for which may returns true, "" if there
// is none. It ignores suspicions, which each instance has for itself: instances with the same list of
// live instances agree on the home.
func (v *View) StableHome(key string, rank func(dataCentre string) int, may func(name string) bool) string {
	homes := v.homes(key, 1, rank, may, func(string) bool { return false }, false)
	if len(homes) == 0 {
		return ""
	}
	return homes[0]
}

// FirstOfEach returns, for each data centre, the first n instances for a key among those for which may returns
// true, or all if there are fewer. Like StableHome it ignores suspicions.
func (v *View) FirstOfEach(key string, n int, may func(name string) bool) map[string][]string {
	keyHash := xxhash.Sum64String(key)
	best := make([][]score, len(v.rendezvous.dataCentres))
	for k, c := range v.rendezvous.candidates {
		s, list := score{hash: mix(c.hash ^ keyHash), at: k}, best[c.dataCentre]
		if (len(list) < n || s.before(list[n-1])) && may(c.name) {
			best[c.dataCentre] = insertBest(list, s, n)
		}
	}
	out := make(map[string][]string, len(best))
	for k, list := range best {
		for _, s := range list {
			dc := v.rendezvous.dataCentres[k]
			out[dc] = append(out[dc], v.rendezvous.candidates[s.at].name)
		}
	}
	return out
}

func (v *View) homes(key string, n int, rank func(dataCentre string) int, may, suspected func(name string) bool, preferLarge bool) []string {
	ranks := make([]int, len(v.rendezvous.dataCentres))
	for k, dc := range v.rendezvous.dataCentres {
		ranks[k] = 4 * rank(dc)
	}
	keyHash := xxhash.Sum64String(key)
	best := make([]score, 0, n)
	for k, c := range v.rendezvous.candidates {
		if !may(c.name) {
			continue
		}
		s := score{rank: ranks[c.dataCentre], hash: mix(c.hash ^ keyHash), at: k}
		if suspected(c.name) {
			s.rank += 2
		}
		if preferLarge && !c.large {
			s.rank++
		}
		best = insertBest(best, s, n)
	}
	out := make([]string, len(best))
	for k, s := range best {
		out[k] = v.rendezvous.candidates[s.at].name
	}
	return out
}

func (v *View) suspected(now time.Time, name string) bool {
	if len(v.suspects) == 0 {
		return false
	}
	until, ok := v.suspects[name]
	return ok && now.Before(until)
}

// insertBest adds a score to the ordered list of the n best scores if it is one of them.
func insertBest(best []score, s score, n int) []score {
	if len(best) == n {
		if n == 0 || !s.before(best[n-1]) {
			return best
		}
		best = best[:n-1]
	}
	at := len(best)
	for at > 0 && s.before(best[at-1]) {
		at--
	}
	return slices.Insert(best, at, s)
}

// mix is the finalizer of MurmurHash3. It spreads the combination of two hashes over all bits,
// so that each key has an independent order of instances.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
