package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/pace"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// A cold upstream bears a few requests a second from all callers together and crashes well
// above that. Where a pool's home places the work, it keeps to that rate; instances that
// choose by themselves do not know of each other's choices and share it.
const (
	// coldAlone is the part of the rate that instances which choose by themselves use. The
	// rest covers those that do not agree yet on who lives.
	coldAlone = 0.8
	// coldBesideHome is the same for engines, whose pools' homes use the rest.
	coldBesideHome = 0.2
)

// Peer is an instance that lives.
type Peer struct {
	Name       string
	DataCentre string
}

// SetPeers tells which instances live, this one included.
func (g *Gate) SetPeers(peers []Peer) {
	if !slices.Equal(g.peers, peers) {
		g.peers = peers
	}
}

// ColdUntil is when an upstream will be warm. One whose data centre was cordoned may have
// become cold meanwhile, and its own word of that takes a heartbeat to arrive.
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

// paced reports whether an upstream bears only so many requests a second now.
func (g *Gate) paced(now time.Time, u *roster.Upstream) bool {
	s := g.service(u.Service)
	return s != nil && s.ColdRate > 0 && now.Before(g.ColdUntil(u))
}

// coldOpenAt is when this instance may send an upstream its next request by its own choice:
// zero if at any time, or once the upstream is warm.
func (g *Gate) coldOpenAt(now time.Time, u *roster.Upstream) time.Time {
	if !g.paced(now, u) {
		return time.Time{}
	}
	warm := g.ColdUntil(u)
	l := g.load(u)
	if l.coldShare == nil {
		l.coldShare = g.coldShare(now, u)
	}
	at := l.coldShare.openAt()
	if at.After(warm) {
		return warm
	}
	return at
}

// coldShare is what an instance may send to one cold upstream.
type coldShare struct {
	pace.Starts
	// interval is the time between two requests if the share is less than one a second;
	// next is when the next is allowed then.
	interval time.Duration
	next     time.Time
}

// never is later than any upstream stays cold.
const never = time.Hour

func (s *coldShare) openAt() time.Time {
	if s.interval > 0 {
		return s.next
	}
	return s.OpenAt()
}

func (s *coldShare) note(now time.Time) {
	s.Note(now)
	if s.interval > 0 {
		s.next = now.Add(s.interval)
	}
}

// coldShare works out this instance's share of an upstream that has become cold.
func (g *Gate) coldShare(now time.Time, u *roster.Upstream) *coldShare {
	s := g.service(u.Service)
	part := coldAlone
	if s.Engine != nil {
		part = coldBesideHome
	}
	rate := part * s.ColdRate
	if g.options.Ways.Has(mechanism.ColdShares) {
		each := rate / float64(max(len(g.peers), 1))
		if each >= 1 {
			return &coldShare{Starts: pace.Starts{Limit: int(each)}}
		}
		interval := time.Duration(float64(time.Second) / each)
		// The first turn is drawn: all instances see an upstream become cold at once.
		return &coldShare{interval: interval, next: now.Add(time.Duration(g.rng.Float64() * float64(interval)))}
	}
	starts := max(int(rate), 1)
	holders := g.holders(u, starts)
	if !slices.Contains(holders, g.options.Name) {
		return &coldShare{interval: never, next: now.Add(never)}
	}
	return &coldShare{Starts: pace.Starts{Limit: starts / len(holders)}}
}

// holders lists the n instances that may send to a cold upstream: those of its data centre
// first, in rendezvous order.
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

// noteCold counts a request that this instance sends to a cold upstream by its own choice.
func (g *Gate) noteCold(now time.Time, u *roster.Upstream) {
	if share := g.load(u).coldShare; share != nil && g.paced(now, u) {
		share.note(now)
	}
}

// Tick forgets the shares of upstreams that are warm: when one becomes cold again others may
// hold it.
func (g *Gate) Tick(now time.Time) {
	for u, l := range g.loads {
		if l.coldShare != nil && !g.paced(now, u) {
			l.coldShare = nil
		}
	}
}

// coldLater is how long until some upstream takes a call that cold ones turn away now; 0 if
// that is not why it can't be sent.
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
