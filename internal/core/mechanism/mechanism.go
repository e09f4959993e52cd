// Package mechanism names the mechanisms of an instance that can be disabled to measure their
// value, and the decisions that can be made in several ways. No mechanism is needed to keep a
// guarantee: safeguards that must always hold cannot be disabled.
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is an optimization that can be disabled.
type Mechanism uint8

// The mechanisms. Each comment describes the behaviour while the mechanism is disabled.
const (
	// Homes: each entry places generations without a grant of a home.
	Homes Mechanism = iota
	// Moves: generations stay on leaving upstreams.
	Moves
	// MoveOrder: generations are moved in the order of their ids, not of their value.
	MoveOrder
	// MoveReserve: new work may take the memory that generations on leaving upstreams need
	// elsewhere, and moves need as much headroom as new work.
	MoveReserve
	// CopyMemory: copies do not count as used memory until their generations run at the
	// destination.
	CopyMemory
	// LeaveProbes: upstreams with running generations are not queried whether they are leaving.
	LeaveProbes
	// Near: homes do not prefer upstreams in the entry's data centre.
	Near
	// Failures: recent failures of an upstream do not affect the choice.
	Failures
	// WaitAtHome: prompts are sent to upstreams that are still computing other prompts.
	WaitAtHome
	// Delays: the delay that a prompt causes to running generations is not part of the cost.
	Delays
	// Speeds: all upstreams of a pool are assumed to be equally fast.
	Speeds
	// Headroom: the memory forecast has no margin for its variance.
	Headroom
	// Lengths: the lengths of generations are not learned from earlier ones.
	Lengths
	// Kinds: lengths are learned regardless of the declared maximum.
	Kinds
	// Hints: callers' estimates of the length are ignored.
	Hints
	// DueOrder: queued work is granted in the order of its cost, not of its targets.
	DueOrder
	// LateBehind: requests that can no longer meet their deadline keep their place in the
	// queue.
	LateBehind
	// Fairness: the lead of an organisation over other waiting organisations is not bounded.
	Fairness
	// EarlyRefusal: work that would exceed its maximum wait is queued and refused only when
	// that has passed.
	EarlyRefusal
	// Retries: repeatable calls are not retried.
	Retries
	// Relays: all instances poll the readers of the store directly.
	Relays
	// Parts: large services are not divided into groups.
	Parts
	// RareHeartbeats: heartbeats are as frequent in a large fleet as in a small one.
	RareHeartbeats
	// SilenceProbes: upstreams are not queried about silent streams.
	SilenceProbes
	// StatedSpeeds: the speed that upstreams state for the moment is ignored.
	StatedSpeeds
	// Urgency: queued work is granted regardless of its rank.
	Urgency
	// Deferrals: requests that cannot be in time are queued, not refused with a turn to return for.
	Deferrals
	// PlainAdmission: calls of plain services are sent although they are predicted to be too late.
	PlainAdmission
	// RoomWeights: callers are directed to instances regardless of their capacity and load.
	RoomWeights
	// LargeHomes: homes of pools do not prefer the larger machines of a fleet.
	LargeHomes
	// ReadAhead: responses are read only as fast as their callers read them.
	ReadAhead
	// Tunnels: requests are not sent through other instances when the own path to an upstream is lost.
	Tunnels
	mechanismCount
)

var mechanismNames = [mechanismCount]string{
	Homes: "homes", Moves: "moves", MoveOrder: "move_order", MoveReserve: "move_reserve", CopyMemory: "copy_memory",
	LeaveProbes: "leave_probes", Near: "near", Failures: "failures", WaitAtHome: "wait_at_home", Delays: "delays", Speeds: "speeds",
	Headroom: "headroom", Lengths: "lengths", Kinds: "kinds", Hints: "hints", DueOrder: "due_order", LateBehind: "late_behind",
	Fairness: "fairness", EarlyRefusal: "early_refusal", Retries: "retries", Relays: "relays", Parts: "parts",
	RareHeartbeats: "rare_heartbeats", SilenceProbes: "silence_probes",
	StatedSpeeds: "stated_speeds", Urgency: "urgency", Deferrals: "deferrals", PlainAdmission: "plain_admission",
	RoomWeights: "room_weights", LargeHomes: "large_homes", ReadAhead: "read_ahead", Tunnels: "tunnels",
}

// String returns the name of the mechanism in settings, logs and tables.
func (m Mechanism) String() string { return mechanismNames[m] }

// All returns all mechanisms.
func All() []Mechanism {
	out := make([]Mechanism, mechanismCount)
	for m := range out {
		out[m] = Mechanism(m)
	}
	return out
}

// Set is a set of mechanisms; the zero value is empty.
type Set uint64

// Of returns the set of the given mechanisms.
func Of(list ...Mechanism) (s Set) {
	for _, m := range list {
		s |= 1 << m
	}
	return s
}

// Has reports whether a mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Names returns the names of the set's mechanisms in a fixed order.
func (s Set) Names() []string {
	var out []string
	for _, m := range All() {
		if s.Has(m) {
			out = append(out, m.String())
		}
	}
	return out
}

// String returns the names, separated by commas.
func (s Set) String() string { return strings.Join(s.Names(), ",") }

// Known reports whether a mechanism has the given name.
func Known(name string) bool { return slices.Contains(mechanismNames[:], name) }

// Allowed returns the names of all mechanisms, separated by commas.
func Allowed() string { return strings.Join(mechanismNames[:], ", ") }

// Parse returns the set of the mechanisms with the given names. The error for an unknown name
// lists the known names.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		m := slices.Index(mechanismNames[:], name)
		if m < 0 {
			return 0, fmt.Errorf("mechanism %q is unknown; there are %s", name, Allowed())
		}
		s |= 1 << m
	}
	return s, nil
}
