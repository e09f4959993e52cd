// Package mechanism names the mechanisms of an instance that can be disabled to measure their
// value, and the decisions that can be made in several ways. None of them keeps a promise:
// what must always hold has no switch.
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is an optimization that can be disabled.
type Mechanism uint8

// The mechanisms. The comments say what happens without them.
const (
	// Homes: each entry places generations by itself.
	Homes Mechanism = iota
	// Moves: generations stay on upstreams that leave.
	Moves
	// MoveOrder: generations leave in the order of their ids, not of their worth.
	MoveOrder
	// MoveReserve: new work takes the memory that leaving generations need.
	MoveReserve
	// CopyMemory: copies count as memory only once their generations run there.
	CopyMemory
	// LeaveProbes: upstreams that run something are not asked whether they leave.
	LeaveProbes
	// Near: homes do not prefer the entry's data centre.
	Near
	// Failures: recent failures of an upstream do not count against it.
	Failures
	// WaitAtHome: prompts are sent to upstreams that still compute others.
	WaitAtHome
	// Delays: the delay of running generations by a prompt is not a cost.
	Delays
	// Speeds: all upstreams of a pool are assumed to be equally fast.
	Speeds
	// Headroom: memory is forecast without a margin for its variance.
	Headroom
	// Lengths: the lengths of answers are not learned.
	Lengths
	// Kinds: lengths are learned without regard to the declared maximum.
	Kinds
	// Hints: callers' estimates are ignored.
	Hints
	// DueOrder: queued work is granted in the order of its cost, not of its targets.
	DueOrder
	// LateBehind: requests that can no longer meet their deadline are not demoted.
	LateBehind
	// Fairness: the lead of an organisation over others that wait is not bounded.
	Fairness
	// EarlyRefusal: work that would wait too long is refused only once it has.
	EarlyRefusal
	// Retries: repeatable calls are not retried.
	Retries
	// Relays: all instances poll the readers of the store.
	Relays
	// Parts: large services are not divided.
	Parts
	// RareHeartbeats: heartbeats are as frequent in a large fleet as in a small one.
	RareHeartbeats
	// SilenceProbes: upstreams are not asked about silent streams.
	SilenceProbes
	count
)

var names = [count]string{
	Homes: "homes", Moves: "moves", MoveOrder: "move_order", MoveReserve: "move_reserve", CopyMemory: "copy_memory",
	LeaveProbes: "leave_probes", Near: "near", Failures: "failures", WaitAtHome: "wait_at_home", Delays: "delays", Speeds: "speeds",
	Headroom: "headroom", Lengths: "lengths", Kinds: "kinds", Hints: "hints", DueOrder: "due_order", LateBehind: "late_behind",
	Fairness: "fairness", EarlyRefusal: "early_refusal", Retries: "retries", Relays: "relays", Parts: "parts",
	RareHeartbeats: "rare_heartbeats", SilenceProbes: "silence_probes",
}

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

// Known reports whether a name is that of a mechanism.
func Known(name string) bool { return slices.Contains(names[:], name) }

// Allowed lists the names of all mechanisms.
func Allowed() string { return strings.Join(names[:], ", ") }

// Parse returns the set with the given names. An unknown one is an error that lists the
// known ones.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		m := slices.Index(names[:], name)
		if m < 0 {
			return 0, fmt.Errorf("mechanism %q is unknown; there are %s", name, Allowed())
		}
		s |= 1 << m
	}
	return s, nil
}
