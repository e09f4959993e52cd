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
	// maxUndivided is the number of upstreams above which a service is divided into groups.
	// Every instance knows all upstreams of an undivided service.
	maxUndivided = 64
	// mergeThreshold is the number of upstreams at or below which a divided service becomes
	// undivided again. It is lower than maxUndivided so that a few upstreams that join or leave
	// do not change the layout.
	mergeThreshold = 48
	// maxGroupSize is the maximum average number of upstreams per group when a service is
	// divided. One home places the work of a group and polls its upstreams, each within 100 ms.
	maxGroupSize = 32
	// maxGroupFill and minGroupFill bound the average group size, as factors of maxGroupSize.
	// Outside these bounds the number of groups is computed again.
	maxGroupFill = 1.5
	minGroupFill = 0.3
	// divideDelay is how long the number of upstreams must require another layout before the layout
	// changes: the homes of the new pools must rebuild their state, and a release or an outage
	// doubles the number of entries for some seconds.
	divideDelay = 30 * time.Second
	// divideNowFactor is the multiple of maxUndivided above which an undivided service is
	// divided without waiting for divideDelay.
	divideNowFactor = 2
	// groupsPerInstance is the number of groups of a divided service over which one instance
	// balances requests. With two, the load of a group does not depend on how many instances
	// hash to it.
	groupsPerInstance = 2
)

// Group is a subset of a service's upstreams: all of them, or a part of those in one data
// centre. An instance keeps only the groups that it uses.
type Group struct {
	Service string
	// DataCentre is the location of the upstreams; "" for the group of an undivided service.
	DataCentre string
	// Index is the number of the group, from 0, and Count the number of groups in the data
	// centre. Count is 0 for the group of an undivided service.
	Index int
	Count int
}

// Undivided returns the group that contains all upstreams of an undivided service.
func Undivided(service string) Group { return Group{Service: service} }

// Name returns the name of the pool that serves the group: the service name if the service is
// undivided, otherwise "service/data centre/index/number of groups".
func (g Group) Name() string {
	if g.Count == 0 {
		return g.Service
	}
	return fmt.Sprintf("%s/%s/%d/%d", g.Service, g.DataCentre, g.Index, g.Count)
}

// ParseGroup returns the group with the given name. It is the inverse of Group.Name; a name
// without valid group numbers is the name of an undivided service.
func ParseGroup(name string) Group {
	parts := strings.Split(name, "/")
	n := len(parts)
	if n < 4 {
		return Undivided(name)
	}
	index, err := strconv.Atoi(parts[n-2])
	count, err2 := strconv.Atoi(parts[n-1])
	if err != nil || err2 != nil || count < 1 || index < 0 || index >= count {
		return Undivided(name)
	}
	return Group{Service: strings.Join(parts[:n-3], "/"), DataCentre: parts[n-3], Index: index, Count: count}
}

// Layout maps a service and a data centre to a number of groups. Services that it does not
// contain are undivided.
type Layout map[string]map[string]int

// GroupOf returns the group that the upstream of an entry belongs to.
func (l Layout) GroupOf(e Entry) Group {
	count := l[e.Service][e.DataCentre]
	if count == 0 {
		return Undivided(e.Service)
	}
	return Group{Service: e.Service, DataCentre: e.DataCentre, Index: groupIndex(e.ID, count), Count: count}
}

// groupIndex hashes a name to an index from 0 to n-1.
func groupIndex(name string, n int) int { return int(xxhash.Sum64String(name) % uint64(n)) }

// Groups returns the groups of a divided service in one data centre, or in all data centres if
// dataCentre is "".
func (l Layout) Groups(service, dataCentre string) []Group {
	var out []Group
	for dc, count := range l[service] {
		for k := 0; k < count && (dataCentre == "" || dc == dataCentre); k++ {
			out = append(out, Group{Service: service, DataCentre: dc, Index: k, Count: count})
		}
	}
	slices.SortFunc(out, compareGroups)
	return out
}

// GroupsFor returns the groups of a service over which an instance balances requests: the only
// group of an undivided service, otherwise up to groupsPerInstance groups of the instance's data
// centre. Data centres for which open returns false are excluded. If no group of the instance's
// data centre remains, the groups that remain in all data centres are used. GroupsFor returns nil
// if there is none.
func (l Layout) GroupsFor(service, dataCentre, instance string, open func(dataCentre string) bool) []Group {
	if l[service] == nil {
		return []Group{Undivided(service)}
	}
	closed := func(g Group) bool { return !open(g.DataCentre) }
	groups := slices.DeleteFunc(l.Groups(service, dataCentre), closed)
	if len(groups) == 0 {
		groups = slices.DeleteFunc(l.Groups(service, ""), closed)
	}
	if len(groups) == 0 {
		return nil
	}
	first := groupIndex(instance, len(groups))
	var out []Group
	for k := range min(groupsPerInstance, len(groups)) {
		out = append(out, groups[(first+k)%len(groups)])
	}
	return out
}

// divide computes the layout from the number of upstreams by service and data centre. Small
// changes of these numbers keep the previous layout, because each change creates new pools.
func divide(before Layout, count map[string]map[string]int) Layout {
	out := Layout{}
	for service, byDataCentre := range count {
		total := 0
		for _, n := range byDataCentre {
			total += n
		}
		if total <= mergeThreshold || before[service] == nil && total <= maxUndivided {
			continue
		}
		out[service] = map[string]int{}
		for dc, n := range byDataCentre {
			out[service][dc] = groupCount(before[service][dc], n)
		}
	}
	return out
}

// groupCount returns the number of groups for n upstreams of one data centre; before is the
// previous number, or 0. The result is a power of two, so that growth seldom changes it.
func groupCount(before, n int) int {
	if before > 0 {
		size := float64(n) / float64(before)
		if size <= maxGroupFill*maxGroupSize && (size >= minGroupFill*maxGroupSize || before == 1) {
			return before
		}
	}
	count := 1
	for count*maxGroupSize < n {
		count *= 2
	}
	return count
}

// Has reports whether a group exists in the layout.
func (l Layout) Has(g Group) bool {
	if g.Count == 0 {
		return l[g.Service] == nil
	}
	return l[g.Service][g.DataCentre] == g.Count
}

func (l Layout) equal(o Layout) bool {
	if len(l) != len(o) {
		return false
	}
	for service, byDataCentre := range l {
		if len(byDataCentre) != len(o[service]) {
			return false
		}
		for dc, count := range byDataCentre {
			if o[service][dc] != count {
				return false
			}
		}
	}
	return true
}
