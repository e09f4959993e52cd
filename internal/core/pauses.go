package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

const (
	// ReasonPaused: every upstream that could run the request has asked this instance for a pause.
	ReasonPaused = "upstreams_paused"
	// maxPausedRetryAfter bounds the Retry-After for ReasonPaused: the upstreams may accept requests
	// of other instances.
	maxPausedRetryAfter = time.Second
)

// upstreamPauses holds, by upstream, the time until which an upstream that turned a request away
// wants no new work from this instance. Other instances are not bound by it.
type upstreamPauses map[string]upstreamPause

type upstreamPause struct {
	// boot identifies the run of the upstream that asked for the pause.
	boot  string
	until time.Time
}

// begin records that a run of an upstream asked for a pause. A shorter pause does not end a longer one.
func (p upstreamPauses) begin(now time.Time, name, boot string, d time.Duration) {
	until := now.Add(d)
	if old := p[name]; old.boot == boot && old.until.After(until) {
		until = old.until
	}
	p[name] = upstreamPause{boot: boot, until: until}
}

// has reports whether a run of an upstream wants no new work at present. An unknown run, "", counts
// as the one that asked.
func (p upstreamPauses) has(now time.Time, name, boot string) bool {
	x, ok := p[name]
	return ok && now.Before(x.until) && (boot == "" || x.boot == "" || boot == x.boot)
}

// names lists the upstreams that want no new work at present, and drops the pauses that have ended.
func (p upstreamPauses) names(now time.Time) []string {
	var out []string
	for name, x := range p {
		if !now.Before(x.until) {
			delete(p, name)
			continue
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// firstEnd returns the time until the first of some upstreams accepts work again; 0 if one of them
// does now.
func (p upstreamPauses) firstEnd(now time.Time, upstreams []string) time.Duration {
	var first time.Duration
	for _, name := range upstreams {
		if !p.has(now, name, "") {
			return 0
		}
		if left := p[name].until.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// withoutPaused returns the pools with an upstream that accepts new work of this instance. If there
// is none, retryAfter is the time after which to try again.
func (i *Instance) withoutPaused(now time.Time, pools []*config.Pool) (open []*config.Pool, retryAfter time.Duration) {
	for _, p := range pools {
		left := i.pauses.firstEnd(now, p.Upstreams)
		if left == 0 {
			open = append(open, p)
		} else if retryAfter == 0 || left < retryAfter {
			retryAfter = left
		}
	}
	return open, min(retryAfter, maxPausedRetryAfter)
}

// onUpstreamPaused records that an upstream turned a request of this instance away and asked for a
// pause.
func (i *Instance) onUpstreamPaused(now time.Time, e UpstreamStatement) {
	i.pauses.begin(now, e.Upstream, e.Boot, e.Pause)
	i.count("upstream_statements_total", "upstream_paused")
	i.emit(Log{Event: "upstream_paused", Pairs: []any{"upstream", e.Upstream, "boot", e.Boot, "for", e.Pause}})
}

// returnPausedGrant returns a grant for an upstream that has asked this instance for a pause since the
// grant was requested, and requests another one.
func (i *Instance) returnPausedGrant(now time.Time, r *request, m msg.GrantResponse) {
	i.count("retries_total", "grant_paused")
	i.send(r.place.home, msg.GrantEnd{Pool: m.Pool, Attempt: r.attempt})
	r.place.home = ""
	i.placeInOpenPools(now, r)
}

// placeInOpenPools requests a grant in the first of the request's pools that has an upstream without a
// pause, or refuses the request if there is none.
func (i *Instance) placeInOpenPools(now time.Time, r *request) {
	open, retryAfter := i.withoutPaused(now, r.place.pools[r.place.poolIndex:])
	if len(open) == 0 {
		retryAfter += spread(r.attempt, retryAfter/2)
		i.refuse(now, r, Finish{Status: status.ServiceUnavailable, Reason: ReasonPaused, Step: "place", RetryAfter: retryAfter})
		return
	}
	r.place.pools, r.place.poolIndex = open, 0
	i.requestGrant(now, r)
}

// spread returns a duration of less than most that depends on the attempt: callers that are refused
// until the same time must not all return together.
func spread(attempt string, most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(xxhash.Sum64String(attempt) % uint64(most))
}
