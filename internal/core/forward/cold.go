package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/pace"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// A cold upstream, such as one that has just started, accepts a limited rate of requests, summed
// over all instances, and crashes well above that rate. Pool homes enforce the rate for the work
// that they place. Instances that choose an upstream without a grant do not see each other's
// choices and have to divide the rate among themselves.
const (
	// coldPartPlain is the fraction of a cold upstream's rate that instances may use together
	// without grants. The rest covers instances with differing views of the fleet.
	coldPartPlain = 0.8
	// coldPartEngine is the same fraction for engines, where pool homes use the rest of the rate.
	coldPartEngine = 0.2
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

// ColdUntil returns when an upstream will be warm; zero if it is not known to have been cold.
// After a cordon is lifted its upstreams are assumed to be cold, because their own reports
// arrive one heartbeat later.
func (g *Gate) ColdUntil(u *roster.Upstream) time.Time {
	until := u.ColdUntil
	s := g.service(u.Service)
	if s == nil || s.ColdRate <= 0 {
		return until
	}
	if lifted, ok := g.liftedAt[u.DataCentre]; ok && lifted.Add(s.ColdFor).After(until) {
		until = lifted.Add(s.ColdFor)
	}
	return until
}

// rateLimited reports whether an upstream accepts only a limited rate of requests at present.
func (g *Gate) rateLimited(now time.Time, u *roster.Upstream) bool {
	s := g.service(u.Service)
	return s != nil && s.ColdRate > 0 && now.Before(g.ColdUntil(u))
}

// coldAllowedAt returns when this instance may send its next request to an upstream without a
// grant; zero if at any time.
func (g *Gate) coldAllowedAt(now time.Time, u *roster.Upstream) time.Time {
	if !g.rateLimited(now, u) {
		return time.Time{}
	}
	warm := g.ColdUntil(u)
	l := g.load(u)
	if l.coldShare == nil {
		l.coldShare = g.coldShare(now, u)
	}
	at := l.coldShare.OpenAt()
	if l.coldShare.empty || at.After(warm) {
		return warm
	}
	return at
}

// coldShare is this instance's share of a cold upstream's rate.
type coldShare struct {
	pace.Starts
	// empty is set if the shares of other instances use up the rate and none is left for this one.
	empty bool
}

// coldShare computes this instance's share of a cold upstream's rate.
func (g *Gate) coldShare(now time.Time, u *roster.Upstream) *coldShare {
	s := g.service(u.Service)
	part := coldPartPlain
	if s.Engine != nil {
		part = coldPartEngine
	}
	starts := max(int(part*s.ColdRate), 1)
	holders := g.holders(u, starts)
	if !slices.Contains(holders, g.options.Name) {
		return &coldShare{empty: true}
	}
	return &coldShare{Starts: pace.Starts{Limit: starts / len(holders)}}
}

// holders lists up to n instances that may send requests to a cold upstream without a grant:
// in rendezvous order, those of the upstream's data centre first.
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

// countColdSend counts a request to a cold upstream against this instance's share.
func (g *Gate) countColdSend(now time.Time, u *roster.Upstream) {
	if share := g.load(u).coldShare; share != nil && g.rateLimited(now, u) {
		share.Note(now)
	}
}

// Tick drops the shares of upstreams that are warm, and outdated rate limits. The holders of shares
// may differ when an upstream is cold again.
func (g *Gate) Tick(now time.Time) {
	g.dropLimits(now)
	g.dropPauses(now)
	g.dropSpeeds(now)
	g.settleTargets(now)
	for u, l := range g.loads {
		if l.coldShare != nil && !g.rateLimited(now, u) {
			l.coldShare = nil
		}
	}
}

// coldRetryAfter returns the time until the first cold upstream accepts the call, or 0 if the
// rate of cold upstreams is not the reason why it cannot be sent.
func (g *Gate) coldRetryAfter(now time.Time, c *Call) time.Duration {
	var first time.Time
	for _, u := range g.candidates(c.Service) {
		if !g.maySend(c, u) {
			continue
		}
		at := g.coldAllowedAt(now, u)
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
	return max(first.Sub(now), briefRetryAfter)
}
