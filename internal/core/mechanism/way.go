package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Way is an alternative to the default way of a decision.
type Way uint8

// The alternatives, grouped by decision.
const (
	// ChoiceMemory: generations run on the upstream with the most free memory. The default is
	// the upstream with the shortest predicted time in flight, of the generation itself and of
	// the others beside it.
	ChoiceMemory Way = iota
	// DirectoryMixed: callers are sent to some near instances and a few distant ones, which
	// remain available if the data centre is lost. The default is near instances only.
	DirectoryMixed
	wayCount
)

// decision is a decision with a default way and alternatives.
type decision struct {
	name string
	// defaultWay is the name of the default way; ways holds the alternatives by name.
	defaultWay string
	ways       map[string]Way
}

var decisions = []decision{
	{"choice", "cost", map[string]Way{"memory": ChoiceMemory}},
	{"directory", "near", map[string]Way{"mixed": DirectoryMixed}},
}

// String returns the alternative in the form decision=way.
func (w Way) String() string { return Ways(1 << w).String() }

// Ways is a set of alternatives. The zero value selects the default of each decision.
type Ways uint64

// WaysOf returns the set of the given alternatives.
func WaysOf(list ...Way) (w Ways) {
	for _, way := range list {
		w |= 1 << way
	}
	return w
}

// Has reports whether an alternative is in the set.
func (w Ways) Has(way Way) bool { return w&(1<<way) != 0 }

// String returns the alternatives in the form decision=way, separated by commas.
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

// names returns the names of the ways of a decision, the default first.
func (d decision) names() []string {
	out := []string{d.defaultWay}
	for name := range d.ways {
		out = append(out, name)
	}
	slices.Sort(out[1:])
	return out
}

// ParseWays returns the set for a list of items in the form decision=way. For each decision the
// last item applies. The error for an unknown decision or way lists the known ones.
func ParseWays(list []string) (w Ways, err error) {
	for _, item := range list {
		if w, err = w.with(item); err != nil {
			return 0, err
		}
	}
	return w, nil
}

// with returns the set after the item decision=way is applied.
func (w Ways) with(item string) (Ways, error) {
	name, way, _ := strings.Cut(item, "=")
	k := slices.IndexFunc(decisions, func(d decision) bool { return d.name == name })
	if k < 0 {
		return 0, fmt.Errorf("decision %q is unknown; there are %s", name, strings.Join(Decisions(), ", "))
	}
	d := decisions[k]
	for _, alternative := range d.ways {
		w &^= 1 << alternative
	}
	if way == d.defaultWay {
		return w, nil
	}
	chosen, ok := d.ways[way]
	if !ok {
		return 0, fmt.Errorf("decision %q has no way %q; there are %s", name, way, strings.Join(d.names(), ", "))
	}
	return w | 1<<chosen, nil
}

// Decisions returns every way in the form decision=way, the default of each decision first.
func Decisions() []string {
	var out []string
	for _, d := range decisions {
		for _, name := range d.names() {
			out = append(out, d.name+"="+name)
		}
	}
	return out
}
