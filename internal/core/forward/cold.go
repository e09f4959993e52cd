package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/pace"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// A cold upstream accepts a limited rate of requests, summed over all instances, and crashes
// well above it. Pool homes enforce the rate for the work that they place. Instances that
// choose on their own do not see each other's choices and have to share it.
const (
	// coldAlone is the part of a cold upstream's rate that instances use which choose on their
	// own. The rest covers instances with differing views of the fleet.
	coldAlone = 0.8
	// coldBesideHome is the same for engines, where pool homes use the rest.
	coldBesideHome = 0.2
)

// Peer is a live instance.
type Peer struct {
	Name       string
	DataCentre string
}

// SetPeers sets the live instances, including this one.
func (g *Gate) SetPeers(peers []Peer) {
	if !slices.Equal(g.peers, peers) {
		g.peers = peers
	}
}

// ColdUntil returns when an upstream will be warm. After a cordon upstreams are assumed to be
// cold: their own reports take a heartbeat to arrive.
func (g *Gate) ColdUntil(u *roster.Upstream) time.Time {
	until := u.ColdUntil
	s := g.service(u.Service)
	if s == nil || s.ColdRate <= 0 {
		return until
	}
	if lifted, ok := g.lifted[u.DataCentre]; ok && lifted.Add(s.ColdFor).After(until) {
		until = lifted.Add(s.ColdFor)
	}
	return until
}

// paced reports whether an upstream accepts a limited rate of requests at present.
func (g *Gate) paced(now time.Time, u *roster.Upstream) bool {
	s := g.service(u.Service)
	return s != nil && s.ColdRate > 0 && now.Before(g.ColdUntil(u))
}

// coldOpenAt returns when this instance may send its next request to an upstream on its own
// choice; zero if at any time.
func (g *Gate) coldOpenAt(now time.Time, u *roster.Upstream) time.Time {
	if !g.paced(now, u) {
		return time.Time{}
	}
	warm := g.ColdUntil(u)
	l := g.load(u)
	if l.coldShare == nil {
		l.coldShare = g.coldShare(now, u)
	}
	at := l.coldShare.OpenAt()
	if l.coldShare.none || at.After(warm) {
		return warm
	}
	return at
}

// coldShare is this instance's share of a cold upstream's rate.
type coldShare struct {
	pace.Starts
	// none is set if other instances hold all of it.
	none bool
}

// coldShare computes this instance's share of a cold upstream.
func (g *Gate) coldShare(now time.Time, u *roster.Upstream) *coldShare {
	s := g.service(u.Service)
	part := coldAlone
	if s.Engine != nil {
		part = coldBesideHome
	}
	starts := max(int(part*s.ColdRate), 1)
	holders := g.holders(u, starts)
	if !slices.Contains(holders, g.options.Name) {
		return &coldShare{none: true}
	}
	return &coldShare{Starts: pace.Starts{Limit: starts / len(holders)}}
}

// holders lists the n instances that may send to a cold upstream: rendezvous order, those of
// its data centre first.
func (g *Gate) holders(u *roster.Upstream, n int) []string {
	key := xxhash.Sum64String(u.ID)
	rank := func(p Peer) int {
		if p.DataCentre == u.DataCentre {
			return 0
		}
		return 1
	}
	list := slices.Clone(g.peers)
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(xxhash.Sum64String(b.Name)^key, xxhash.Sum64String(a.Name)^key), cmp.Compare(a.Name, b.Name))
	})
	out := make([]string, 0, n)
	for _, p := range list[:min(n, len(list))] {
		out = append(out, p.Name)
	}
	return out
}

// noteCold counts a request to a cold upstream.
func (g *Gate) noteCold(now time.Time, u *roster.Upstream) {
	if share := g.load(u).coldShare; share != nil && g.paced(now, u) {
		share.Note(now)
	}
}

// Tick drops the shares of upstreams that are warm, since holders may differ the next time.
func (g *Gate) Tick(now time.Time) {
	for u, l := range g.loads {
		if l.coldShare != nil && !g.paced(now, u) {
			l.coldShare = nil
		}
	}
}

// coldLater returns the time until a cold upstream accepts the call; 0 if coldness is not what
// prevents sending it.
func (g *Gate) coldLater(now time.Time, c *Call) time.Duration {
	var first time.Time
	for _, u := range g.candidates(c.Service) {
		if !g.takes(c, u) {
			continue
		}
		at := g.coldOpenAt(now, u)
		if !at.After(now) {
			return 0
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return 0
	}
	return max(first.Sub(now), soon)
}
