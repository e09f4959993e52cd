// Package cordon holds the set of cordoned data centres. Operators cordon a data centre so that
// its upstreams receive no new work while their running work continues. The package does no
// I/O.
package cordon

import "slices"

// Set holds the cordoned data centres as of one version. It is immutable.
type Set struct {
	// Version increases with each change; 0 means that the cordons are not known yet.
	Version int64
	// DataCentres is sorted and has no duplicates.
	DataCentres []string
}

// NewSet returns the set of the given data centres as of a version.
func NewSet(version int64, dataCentres []string) Set {
	list := slices.Clone(dataCentres)
	slices.Sort(list)
	return Set{Version: version, DataCentres: slices.Compact(list)}
}

// Known reports whether the cordons are known. A known set can be empty.
func (s Set) Known() bool { return s.Version > 0 }

// Has reports whether a data centre is cordoned.
func (s Set) Has(dataCentre string) bool {
	_, found := slices.BinarySearch(s.DataCentres, dataCentre)
	return found
}

// Empty reports whether no data centre is cordoned.
func (s Set) Empty() bool { return len(s.DataCentres) == 0 }

// Same reports whether two sets contain the same data centres. It ignores their versions.
func (s Set) Same(o Set) bool { return slices.Equal(s.DataCentres, o.DataCentres) }

// Lifted returns the data centres that are cordoned in s but not in a later set.
func (s Set) Lifted(later Set) []string {
	var out []string
	for _, dc := range s.DataCentres {
		if !later.Has(dc) {
			out = append(out, dc)
		}
	}
	return out
}
