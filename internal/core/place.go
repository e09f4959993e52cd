package core

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

const (
	// grantTTL is the validity of a grant, counted from the time at which the entry sent the
	// request for it. With the age of the load report behind the grant, it bounds how long an
	// upstream that has begun to leave can get new work.
	grantTTL = time.Second
	// grantRetryInterval is the interval at which an entry repeats the grant request of a queued
	// request. The repeats also serve as heartbeats between the entry and the home.
	grantRetryInterval = 400 * time.Millisecond
	// maxUnanswered is the number of consecutive grant requests without a reply after which the
	// home is marked as silent.
	maxUnanswered = 2
	// ReasonNoPoolHome: no home of the pool replied.
	ReasonNoPoolHome = "no_pool_home"
	// ReasonOtherRegions: the service has no upstream in the allowed regions.
	ReasonOtherRegions = "no_upstream_in_regions"
)

// poolHomeName returns the instance that is the current home of a pool, "" if there is none. The
// home is in the pool's data centre if possible, otherwise in its region, otherwise anywhere.
func (i *Instance) poolHomeName(now time.Time, p *config.Pool) string {
	homes := i.view.Homes(now, "pool/"+p.Name, 1, func(dc string) int {
		switch {
		case p.DataCentre != "" && dc == p.DataCentre:
			return 0
		case i.version.Region(dc) == p.Region:
			return 1
		default:
			return 2
		}
	})
	if len(homes) == 0 {
		return ""
	}
	return homes[0]
}

// startPlacing requests a grant in the first of the pools that the request may use.
func (i *Instance) startPlacing(now time.Time, r *request) {
	r.phase = phasePlacing
	r.place = placeState{failedUpstream: r.place.failedUpstream, failedBoot: r.place.failedBoot, repliedAt: now}
	dc := i.selfMember().DataCentre
	all := r.version.PoolsFor(r.service.Name, dc)
	r.place.pools = i.allowedPools(all, r)
	if len(r.place.pools) == 0 {
		reason := placement.ReasonNoUpstream
		if len(all) > 0 {
			reason = ReasonOtherRegions
		}
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: reason,
			Step: "place", RetryAfter: retryAfterNoHome,
		})
		return
	}
	i.placeInOpenPools(now, r)
}

// requestGrant requests a grant from the current home of the current pool.
func (i *Instance) requestGrant(now time.Time, r *request) {
	pool := r.currentPool()
	home := i.poolHomeName(now, pool)
	if home == "" {
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: ReasonNoPoolHome, Step: "place", RetryAfter: retryAfterNoHome,
		})
		return
	}
	if r.place.home != "" && home != r.place.home {
		// The pool has another home now: remove the attempt from the old home's queue.
		i.send(r.place.home, msg.GrantEnd{Pool: pool.Name, Attempt: r.attempt})
	}
	r.place.home = home
	r.place.requestedAt = now
	r.place.requestTimes = append(r.place.requestTimes, now)
	i.wakeAt(r, now.Add(grantRetryInterval))
	i.send(home, msg.GrantRequest{
		Pool: pool.Name, Request: r.placementRequest(i, now), Number: len(r.place.requestTimes),
		FailedUpstream: r.place.failedUpstream, FailedBoot: r.place.failedBoot,
	})
}

// grantExpiry returns when a grant expires. The validity counts from the grant request to which the
// home replied. If it counted from a later request, a grant that is delayed in a link would stay
// valid as long as the entry repeats its request, while the upstream may have begun to leave.
func (r *request) grantExpiry(m msg.GrantResponse) time.Time {
	if m.Number < 1 || m.Number > len(r.place.requestTimes) {
		return time.Time{}
	}
	return r.place.requestTimes[m.Number-1].Add(m.TTL)
}

func (r *request) placementRequest(i *Instance, now time.Time) placement.Request {
	return placement.Request{
		Attempt: r.attempt, Org: r.org.Name, Fingerprint: r.Fingerprint,
		Prompt: r.Prompt, MaxOutput: r.MaxTokens, Prefix: r.Prefix, Exclude: slices.Concat(r.excluded, i.pauses.names(now)),
		Suspect: i.suspects.Verdict(now, r.Fingerprint) == suspect.Suspected,
		MaxWait: max(r.service.MaxWait.D()-now.Sub(r.started), 0),
	}
}

// onPlaceTimeout repeats the grant request, after marking a home that did not reply as silent. It
// refuses the caller's request once its maximum wait is over.
func (i *Instance) onPlaceTimeout(now time.Time, r *request) {
	if r.place.repliedAt.Before(r.place.requestedAt) {
		r.place.unanswered++
	}
	if r.place.unanswered >= maxUnanswered {
		i.count("retries_total", "pool_home_silent")
		i.markSilent(now, r.place.home)
		r.place.unanswered = 0
	}
	if now.Sub(r.started) > r.service.MaxWait.D()+homeTimeout {
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: ReasonNoPoolHome,
			Step: "place", Peer: r.place.home, RetryAfter: retryAfterNoHome,
		})
		return
	}
	i.requestGrant(now, r)
}

func (i *Instance) onGrantResponse(now time.Time, from string, m msg.GrantResponse) {
	r := i.requestByAttempt(m.Decision.Attempt)
	if r == nil || r.phase != phasePlacing || from != r.place.home {
		i.returnLateGrant(r, from, m)
		return
	}
	r.place.repliedAt = now
	r.place.unanswered = 0
	switch m.Decision.Kind {
	case placement.Granted:
		i.useGrant(now, r, m)
	case placement.Refused:
		i.onGrantRefused(now, r, m.Decision, from)
	case placement.Queued:
		i.recordDecision(now, r.ID, "queued", "home", from, "position", m.Decision.Position)
	}
}

// returnLateGrant returns a grant that is no longer needed.
func (i *Instance) returnLateGrant(r *request, from string, m msg.GrantResponse) {
	if m.Decision.Kind != placement.Granted {
		return
	}
	if r != nil && from == r.place.home {
		return // a repeat of the grant in use
	}
	i.count("late_answers_total", "grant")
	i.send(from, msg.GrantEnd{Pool: m.Pool, Attempt: m.Decision.Attempt})
}

// useGrant dispatches the attempt, or claims the key of a booking first. An expired grant is
// returned, as an entry that was frozen must not send work to an upstream that has begun to leave.
func (i *Instance) useGrant(now time.Time, r *request, m msg.GrantResponse) {
	expiry := r.grantExpiry(m)
	if !now.Before(expiry) {
		i.count("retries_total", "grant_lapsed")
		i.send(r.place.home, msg.GrantEnd{Pool: m.Pool, Attempt: r.attempt})
		i.requestGrant(now, r)
		return
	}
	if i.cordoned(m.Decision.Upstream) {
		i.returnCordonedGrant(now, r, m)
		return
	}
	if i.leavingRuns.has(m.Decision.Upstream, m.Boot) {
		i.returnLeavingGrant(now, r, m)
		return
	}
	if i.pauses.has(now, m.Decision.Upstream, m.Boot) {
		i.returnPausedGrant(now, r, m)
		return
	}
	r.run = runState{
		upstream: m.Decision.Upstream, address: m.Address, priority: m.Decision.Priority, boot: m.Boot,
		sendBefore: expiry, lastProgress: now,
	}
	i.recordDecision(now, r.ID, "granted", "home", r.place.home, "upstream", r.run.upstream, "attempt", r.attempt)
	if r.NotRepeatable {
		i.claim(now, r)
		return
	}
	i.dispatch(now, r)
}

// returnCordonedGrant returns a grant for a cordoned upstream. The home has not applied the cordon
// yet, so the entry sends it the cordons and requests a grant once more. If the home grants a
// cordoned upstream again, the caller's request is refused, as the home may take a while to apply
// the cordons.
func (i *Instance) returnCordonedGrant(now time.Time, r *request, m msg.GrantResponse) {
	i.count("retries_total", "grant_cordoned")
	i.send(r.place.home, msg.GrantEnd{Pool: m.Pool, Attempt: r.attempt})
	if r.place.cordonsSent {
		r.place.home = ""
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: placement.ReasonCordoned, Step: "place", RetryAfter: retryAfterNoHome,
		})
		return
	}
	r.place.cordonsSent = true
	i.send(r.place.home, i.configUpdate(now, 0))
	i.requestGrant(now, r)
}

// onGrantRefused requests a grant in the next pool of the service. After the last pool, and for
// ReasonPoison, it refuses the request.
func (i *Instance) onGrantRefused(now time.Time, r *request, d placement.Decision, from string) {
	if r.place.poolIndex+1 < len(r.place.pools) && d.Reason != placement.ReasonPoison {
		i.count("retries_total", "pool_"+d.Reason)
		r.place.poolIndex++
		r.place.home = ""
		i.requestGrant(now, r)
		return
	}
	code := status.ServiceUnavailable
	if d.Reason == placement.ReasonPoison {
		code = status.UnprocessableEntity
	}
	i.refuse(now, r, Finish{Status: code, Reason: d.Reason, Step: "place", Peer: from, RetryAfter: d.RetryAfter})
}

// endGrant ends the request's grant, or removes the request from the home's queue.
func (i *Instance) endGrant(r *request, failed bool) {
	if r.place.home == "" {
		return
	}
	i.send(r.place.home, msg.GrantEnd{
		Pool: r.currentPool().Name, Attempt: r.attempt, Tokens: r.seq.Next(), Failed: failed, CallerDisconnected: r.disconnected,
		Upstream: r.run.upstream, Boot: r.run.boot, Fingerprint: r.Fingerprint,
	})
	r.place.home = ""
}
