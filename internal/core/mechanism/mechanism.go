// Package mechanism names the mechanisms that an instance can do without, so that
// each can be left out to measure what it is worth. None of them keeps a promise:
// what must always hold has no switch.
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one way of deciding better that can be left out.
type Mechanism uint8

// The mechanisms. Without one, what its comment says happens.
const (
	// Homes: each entry places generations by itself.
	Homes Mechanism = iota
	// Moves: generations stay on upstreams that leave.
	Moves
	count
)

var names = [count]string{Homes: "homes", Moves: "moves"}

// String returns the name in settings, logs and tables.
func (m Mechanism) String() string { return names[m] }

// All lists the mechanisms.
func All() []Mechanism {
	out := make([]Mechanism, count)
	for m := range out {
		out[m] = Mechanism(m)
	}
	return out
}

// Set is a set of mechanisms; the zero value is empty.
type Set uint64

// Of returns the set of some mechanisms.
func Of(list ...Mechanism) (s Set) {
	for _, m := range list {
		s |= 1 << m
	}
	return s
}

// Has reports whether a mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Names lists the set's mechanisms in a fixed order.
func (s Set) Names() []string {
	var out []string
	for _, m := range All() {
		if s.Has(m) {
			out = append(out, m.String())
		}
	}
	return out
}

// String joins the names by commas.
func (s Set) String() string { return strings.Join(s.Names(), ",") }

// Parse returns the set with the given names; an unknown one is an error that
// lists those that there are.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		m := slices.Index(names[:], name)
		if m < 0 {
			return 0, fmt.Errorf("mechanism %q is unknown; there are %s", name, strings.Join(names[:], ", "))
		}
		s |= 1 << m
	}
	return s, nil
}
