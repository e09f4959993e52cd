package fleet

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Records of where streams began are held by some instances beside the one where the stream began: one in its data
// centre, which confirms within a fraction of a millisecond, and others elsewhere. They are computed from the
// stream's name, so that any instance finds them. Since a change of the fleet may have put others in their place,
// the first two of each data centre are asked.
const (
	// originHolders is the number of holders of a record. With three, a third of all instances can be lost at
	// once, and one record in 27 with them.
	originHolders = 3
	// askedPerDataCentre is the number of instances of each data centre that are asked for a record.
	askedPerDataCentre = 2
	// originShards is the number of groups of streams that have the same holders. In a large fleet, each instance is
	// thus connected to few others of other data centres.
	originShards = 64
	// maxAskedAll is the largest number of others of which all are asked for a record. Their agreement then proves that none
	// of them began the stream elsewhere, whatever the age of their lists; in larger fleets the messages would cost too much.
	maxAskedAll = 24
)

// originCandidates returns the instances of each data centre that may hold the record of a stream.
func (f *Fleet) originCandidates(stream string) map[string][]string {
	key := "origin/" + strconv.FormatUint(xxhash.Sum64String(stream)%originShards, 10)
	return f.view.FirstOfEach(key, askedPerDataCentre, func(name string) bool {
		m := f.members[name]
		return m != nil && m.UnderstandsSoftware()
	})
}

// OriginHolders lists the instances to which this one gives the record of a stream: the first of its own data centre,
// then those of others, then the second of each.
func (f *Fleet) OriginHolders(stream string) (out []string) {
	of := f.originCandidates(stream)
	order := slices.DeleteFunc(slices.Sorted(maps.Keys(of)), func(dc string) bool { return dc == f.self.DataCentre })
	if len(order) > 0 {
		first := int(xxhash.Sum64String(stream) % uint64(len(order))) // spreads the records over the others
		order = slices.Concat(order[first:], order[:first])
	}
	order = slices.Insert(order, 0, f.self.DataCentre)
	for k := range askedPerDataCentre {
		for _, dc := range order {
			if list := of[dc]; k < len(list) && len(out) < originHolders {
				out = append(out, list[k])
			}
		}
	}
	return out
}

// OriginWitnesses lists the instances that may have the record of a stream: in a small fleet all others, else its holders,
// whichever instance gave it to them. complete is false if this instance does not hear from one that it knows, or can't ask
// it: that one may have the record.
func (f *Fleet) OriginWitnesses(now time.Time, stream string) (out []string, complete bool) {
	complete = f.hearsAll(now)
	if len(f.members) > maxAskedAll {
		for _, list := range f.originCandidates(stream) {
			out = append(out, list...)
		}
		return out, complete
	}
	for name, m := range f.members {
		if f.alive(now, m) && m.UnderstandsSoftware() {
			out = append(out, name)
		}
	}
	return out, complete && len(out) == len(f.members)
}
