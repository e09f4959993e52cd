package roster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxWhole is the size above which a service is divided. Every instance knows all
	// upstreams of a smaller one.
	maxWhole = 64
	// mergeBelow is the size below which a divided service becomes whole again. The gap to
	// maxWhole keeps a few arrivals and departures from redividing it.
	mergeBelow = 48
	// maxGroup is the size of a group when a service is divided. One home places its work and
	// polls its upstreams, each within 100 ms.
	maxGroup = 32
	// groupFull and groupThin are the fill factors, relative to maxGroup, beyond which a
	// service is redivided.
	groupFull = 1.5
	groupThin = 0.3
	// divideDelay is how long a service must exceed these bounds before it is redivided: the
	// new pools' homes must rebuild their state, and a release or an outage doubles the
	// entries for some seconds. Above divideNow times maxWhole it is divided at once.
	divideDelay = 30 * time.Second
	divideNow   = 2
	// ownGroups is how many groups of a service an instance balances over itself. With two, no
	// group depends on how many instances hash to it.
	ownGroups = 2
)

// Group is a subset of a service's upstreams: all of them, or a share of those in one data
// centre. An instance knows only the groups that it uses.
type Group struct {
	Service string
	// DataCentre is the location of the upstreams; "" for the whole service.
	DataCentre string
	// Index is the group's number, from 0, among the Of groups of the data centre.
	Index int
	Of    int
}

// Whole returns the group of all upstreams of a service.
func Whole(service string) Group { return Group{Service: service} }

// Name returns the pool name of the group: the service, or "service/data centre/index/of".
func (g Group) Name() string {
	if g.Of == 0 {
		return g.Service
	}
	return fmt.Sprintf("%s/%s/%d/%d", g.Service, g.DataCentre, g.Index, g.Of)
}

// ParseGroup is the inverse of Name.
func ParseGroup(name string) Group {
	parts := strings.Split(name, "/")
	n := len(parts)
	if n < 4 {
		return Whole(name)
	}
	index, err := strconv.Atoi(parts[n-2])
	of, err2 := strconv.Atoi(parts[n-1])
	if err != nil || err2 != nil || of < 1 || index < 0 || index >= of {
		return Whole(name)
	}
	return Group{Service: strings.Join(parts[:n-3], "/"), DataCentre: parts[n-3], Index: index, Of: of}
}

// Layout maps service and data centre to a number of groups. Services not listed are whole.
type Layout map[string]map[string]int

// Of returns the group that an entry belongs to.
func (l Layout) Of(e Entry) Group {
	of := l[e.Service][e.DataCentre]
	if of == 0 {
		return Whole(e.Service)
	}
	return Group{Service: e.Service, DataCentre: e.DataCentre, Index: part(e.ID, of), Of: of}
}

// part hashes a name to one of a number of groups.
func part(name string, of int) int { return int(xxhash.Sum64String(name) % uint64(of)) }

// Groups lists the groups of a service in a data centre, or in all of them for "".
func (l Layout) Groups(service, dataCentre string) []Group {
	var out []Group
	for dc, of := range l[service] {
		for k := 0; k < of && (dataCentre == "" || dc == dataCentre); k++ {
			out = append(out, Group{Service: service, DataCentre: dc, Index: k, Of: of})
		}
	}
	slices.SortFunc(out, compareGroups)
	return out
}

// Own returns the groups of a service that an instance balances over: the whole service if it
// is undivided, otherwise some of its own data centre, or of another one if its own is closed
// or has none.
func (l Layout) Own(service, dataCentre, instance string, open func(dataCentre string) bool) []Group {
	if l[service] == nil {
		return []Group{Whole(service)}
	}
	closed := func(g Group) bool { return !open(g.DataCentre) }
	groups := slices.DeleteFunc(l.Groups(service, dataCentre), closed)
	if len(groups) == 0 {
		groups = slices.DeleteFunc(l.Groups(service, ""), closed)
	}
	if len(groups) == 0 {
		return nil
	}
	first := part(instance, len(groups))
	var out []Group
	for k := range min(ownGroups, len(groups)) {
		out = append(out, groups[(first+k)%len(groups)])
	}
	return out
}

// divide returns the layout for a number of upstreams by service and data centre. It keeps the
// previous one on small changes, as each change makes new pools.
func divide(before Layout, count map[string]map[string]int) Layout {
	out := Layout{}
	for service, by := range count {
		total := 0
		for _, n := range by {
			total += n
		}
		if total <= mergeBelow || before[service] == nil && total <= maxWhole {
			continue
		}
		out[service] = map[string]int{}
		for dc, n := range by {
			out[service][dc] = partsOf(before[service][dc], n)
		}
	}
	return out
}

// partsOf returns the number of groups for n upstreams: a power of two, so that growth changes
// it seldom.
func partsOf(before, n int) int {
	if before > 0 {
		each := float64(n) / float64(before)
		if each <= groupFull*maxGroup && (each >= groupThin*maxGroup || before == 1) {
			return before
		}
	}
	of := 1
	for of*maxGroup < n {
		of *= 2
	}
	return of
}

// Has reports whether a group belongs to the layout.
func (l Layout) Has(g Group) bool {
	if g.Of == 0 {
		return l[g.Service] == nil
	}
	return l[g.Service][g.DataCentre] == g.Of
}

func (l Layout) equal(o Layout) bool {
	if len(l) != len(o) {
		return false
	}
	for service, by := range l {
		if len(by) != len(o[service]) {
			return false
		}
		for dc, of := range by {
			if o[service][dc] != of {
				return false
			}
		}
	}
	return true
}
