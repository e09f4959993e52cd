// Package reach tracks which upstreams an instance reaches directly. Its state is about the path from
// this instance to an upstream, and says nothing about the upstream: a path counts as lost only if
// another instance reached the upstream while this one did not. The package does no I/O.
package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// isolationPaths is the number of paths that must be lost, with no sign of any upstream since, for an
	// instance to count as isolated from all upstreams. A single failed path or upstream must not
	// redirect all requests.
	isolationPaths = 2
	// ProbeInterval is the interval between attempts to connect directly over a lost path. Only one path
	// is tried at a time, so that an instance does not return to all upstreams at once.
	ProbeInterval = 250 * time.Millisecond
	// checkInterval is the minimum interval between checks of a silent upstream.
	checkInterval = time.Second
	// SilenceLimit is the time without a response, or any other sign of the upstream, after which the path
	// of a request is checked. It exceeds the round trip between regions and a lost packet's first
	// retransmission.
	SilenceLimit = 400 * time.Millisecond
	// contactTTL is how long a new connection to an upstream shows that this instance reaches others.
	contactTTL = time.Second
	// downTTL is how long an upstream counts as down without another attempt through other instances.
	downTTL = time.Second
	// pathTTL is how long the state of an unused path is kept.
	pathTTL = 30 * time.Second
)

// Way is how to connect to an upstream.
type Way int

// The ways.
const (
	// Direct: over this instance's own path.
	Direct Way = iota
	// Tunnelled: through another instance, as this one's path is lost.
	Tunnelled
)

// path is the state of the path to one upstream.
type path struct {
	// connectedAt is when a direct connection was last made, and heardAt when the upstream last responded
	// directly.
	connectedAt, heardAt time.Time
	// lostAt is when another instance reached the upstream while this one did not; zero if the path is not
	// known to be lost.
	lostAt time.Time
	// downAt is when the upstream itself was found to be down.
	downAt time.Time
	// checkedAt is when the path was last checked because of silence, probedAt when it was last probed.
	checkedAt, probedAt time.Time
	usedAt              time.Time
}

// Paths holds the state of the paths of one instance by the addresses of upstreams. It is not safe for
// concurrent use.
type Paths struct {
	byAddress map[string]*path
	// heardAt is the time of the last direct sign of any upstream.
	heardAt time.Time
	// isolatedAt is when this instance found that it reaches no upstream; zero if it does.
	isolatedAt time.Time
	probedAt   time.Time
}

// New returns paths of which none is known to be lost.
func New() *Paths { return &Paths{byAddress: map[string]*path{}} }

func (p *Paths) path(now time.Time, address string) *path {
	at := p.byAddress[address]
	if at == nil {
		at = &path{}
		p.byAddress[address] = at
	}
	at.usedAt = now
	return at
}

// Change is a change of what is known of paths.
type Change int

// The changes.
const (
	None Change = iota
	// Lost: the path was found to be lost.
	Lost
	// Isolated: the path was found to be lost, and this instance reaches no upstream.
	Isolated
	// Restored: the path works again.
	Restored
)

// Connected records a direct connection to an upstream.
func (p *Paths) Connected(now time.Time, address string) (c Change) {
	at := p.path(now, address)
	if !at.lostAt.IsZero() || !p.isolatedAt.IsZero() {
		c = Restored
	}
	at.connectedAt, at.heardAt, at.lostAt, at.downAt = now, now, time.Time{}, time.Time{}
	p.heardAt, p.isolatedAt = now, time.Time{}
	return c
}

// Heard records a direct response of an upstream on an open connection. It does not restore a lost path:
// open connections may live on while new ones fail.
func (p *Paths) Heard(now time.Time, address string) {
	at := p.path(now, address)
	at.heardAt, at.downAt, p.heardAt = now, time.Time{}, now
}

// Bypassed records that another instance reached an upstream while a direct attempt did not.
func (p *Paths) Bypassed(now time.Time, address string) Change {
	at := p.path(now, address)
	at.downAt = time.Time{}
	if !at.lostAt.IsZero() {
		return None
	}
	at.lostAt, at.probedAt = now, now
	if p.isolatedAt.IsZero() && p.lostSince(p.heardAt) >= isolationPaths {
		p.isolatedAt = now
		return Isolated
	}
	return Lost
}

// lostSince counts the paths that were lost after a time.
func (p *Paths) lostSince(since time.Time) (n int) {
	for _, at := range p.byAddress {
		if at.lostAt.After(since) {
			n++
		}
	}
	return n
}

// FoundDown records that an upstream itself was found to be down.
func (p *Paths) FoundDown(now time.Time, address string) {
	at := p.path(now, address)
	at.downAt, at.lostAt = now, time.Time{}
}

// Down reports whether an upstream was found to be down a moment ago.
func (p *Paths) Down(now time.Time, address string) bool {
	at := p.byAddress[address]
	return at != nil && !at.downAt.IsZero() && now.Sub(at.downAt) < downTTL
}

// Way returns how to connect to an upstream.
func (p *Paths) Way(now time.Time, address string) Way {
	if at := p.path(now, address); !at.lostAt.IsZero() || !p.isolatedAt.IsZero() {
		return Tunnelled
	}
	return Direct
}

// RecentlyHeard reports whether an upstream responded directly within SilenceLimit. A connection attempt
// that takes long is then due to the upstream, and a second one would add to its load.
func (p *Paths) RecentlyHeard(now time.Time, address string) bool {
	at := p.byAddress[address]
	return at != nil && !at.heardAt.IsZero() && now.Sub(at.heardAt) < SilenceLimit
}

// Isolated reports whether this instance reaches no upstream.
func (p *Paths) Isolated() bool { return !p.isolatedAt.IsZero() }

// ReachesOthers reports whether this instance has connected directly to another upstream than the one at
// an address a moment ago. Otherwise its own path may be why it does not reach that one.
func (p *Paths) ReachesOthers(now time.Time, address string) bool {
	for other, at := range p.byAddress {
		if other != address && !at.connectedAt.IsZero() && now.Sub(at.connectedAt) < contactTTL {
			return true
		}
	}
	return false
}

// CheckDue reports whether the path to an upstream that has not responded to a request is to be checked,
// and records the check.
func (p *Paths) CheckDue(now time.Time, address string) bool {
	at := p.path(now, address)
	if !at.lostAt.IsZero() || now.Sub(at.heardAt) < SilenceLimit || now.Sub(at.checkedAt) < checkInterval {
		return false
	}
	at.checkedAt = now
	return true
}

// Probe returns the address of a lost path to be tried directly, "" if none is due. An isolated instance
// tries the paths in turn, whether they were found to be lost one by one or not.
func (p *Paths) Probe(now time.Time) string {
	if now.Sub(p.probedAt) < ProbeInterval {
		return ""
	}
	var due string
	for _, address := range slices.Sorted(maps.Keys(p.byAddress)) {
		at := p.byAddress[address]
		if at.lostAt.IsZero() && p.isolatedAt.IsZero() || now.Sub(at.probedAt) < ProbeInterval {
			continue
		}
		if due == "" || at.probedAt.Before(p.byAddress[due].probedAt) {
			due = address
		}
	}
	if due != "" {
		p.byAddress[due].probedAt, p.probedAt = now, now
	}
	return due
}

// Sweep drops the state of paths that are not used any more. The state of a lost path of an upstream that
// is gone would otherwise be probed for ever.
func (p *Paths) Sweep(now time.Time) {
	for address, at := range p.byAddress {
		if now.Sub(at.usedAt) > pathTTL {
			delete(p.byAddress, address)
		}
	}
	if len(p.byAddress) == 0 {
		p.isolatedAt = time.Time{}
	}
}
