package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Way is an alternative to the default way of making a decision.
type Way uint8

// The alternatives, by decision.
const (
	// ChoiceMemory: answers run on the upstream with the most free memory. By default where the
	// predicted time in flight, of the answer and of others beside it, is shortest.
	ChoiceMemory Way = iota
	// DirectoryMixed: callers are sent to some near and a few far instances, which survive the
	// loss of their data centre. By default to near ones only.
	DirectoryMixed
	ways
)

// decision is a decision that can be made in several ways.
type decision struct {
	name string
	// otherwise is the default way.
	otherwise string
	ways      map[string]Way
}

var decisions = []decision{
	{"choice", "cost", map[string]Way{"memory": ChoiceMemory}},
	{"directory", "near", map[string]Way{"mixed": DirectoryMixed}},
}

// String returns the way as decision=way.
func (w Way) String() string { return Ways(1 << w).String() }

// Ways is a set of alternatives; the zero value is the default of each decision.
type Ways uint64

// WaysOf returns the set of some ways.
func WaysOf(list ...Way) (w Ways) {
	for _, way := range list {
		w |= 1 << way
	}
	return w
}

// Has reports whether an alternative is in the set.
func (w Ways) Has(way Way) bool { return w&(1<<way) != 0 }

// String lists the alternatives in the form that ParseWays accepts.
func (w Ways) String() string {
	var out []string
	for _, d := range decisions {
		for _, name := range d.names()[1:] {
			if w.Has(d.ways[name]) {
				out = append(out, d.name+"="+name)
			}
		}
	}
	return strings.Join(out, ",")
}

// names lists the ways of a decision, the default first.
func (d decision) names() []string {
	out := []string{d.otherwise}
	for name := range d.ways {
		out = append(out, name)
	}
	slices.Sort(out[1:])
	return out
}

// ParseWays returns the set for a list of decision=way. An unknown one is an error that lists
// the known ones.
func ParseWays(list []string) (w Ways, err error) {
	for _, item := range list {
		if w, err = w.with(item); err != nil {
			return 0, err
		}
	}
	return w, nil
}

func (w Ways) with(item string) (Ways, error) {
	name, way, _ := strings.Cut(item, "=")
	k := slices.IndexFunc(decisions, func(d decision) bool { return d.name == name })
	if k < 0 {
		return 0, fmt.Errorf("decision %q is unknown; there are %s", name, strings.Join(Decisions(), ", "))
	}
	d := decisions[k]
	for _, other := range d.ways {
		w &^= 1 << other
	}
	if way == d.otherwise {
		return w, nil
	}
	chosen, ok := d.ways[way]
	if !ok {
		return 0, fmt.Errorf("decision %q has no way %q; there are %s", name, way, strings.Join(d.names(), ", "))
	}
	return w | 1<<chosen, nil
}

// Decisions lists every decision=way, the default of each decision first.
func Decisions() []string {
	var out []string
	for _, d := range decisions {
		for _, name := range d.names() {
			out = append(out, d.name+"="+name)
		}
	}
	return out
}
