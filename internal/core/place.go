package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/status"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

const (
	// grantTTL is the validity of a grant from its ask. With the age of the report behind it,
	// it bounds how long a leaving upstream can get new work.
	grantTTL = time.Second
	// askInterval is the interval at which a queued request repeats its ask, which shows both
	// sides that the other is alive.
	askInterval = 400 * time.Millisecond
	// maxMissed is the number of consecutive asks without an answer.
	maxMissed = 2
	// ReasonNoPoolHome: no home of the pool answered.
	ReasonNoPoolHome = "no_pool_home"
	// ReasonOtherRegions: the service has no upstream in the allowed regions.
	ReasonOtherRegions = "no_upstream_in_regions"
)

// poolHomeName returns the current home of a pool: in its data centre if possible, otherwise
// in its region, otherwise anywhere.
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

func (i *Instance) startPlacing(now time.Time, r *request) {
	r.phase = placing
	r.place = placeState{failed: r.place.failed, failedBoot: r.place.failedBoot, heard: now}
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
			Step: "place", RetryAfter: retryNoHome,
		})
		return
	}
	i.askGrant(now, r)
}

func (i *Instance) askGrant(now time.Time, r *request) {
	pool := r.currentPool()
	home := i.poolHomeName(now, pool)
	if home == "" {
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: ReasonNoPoolHome, Step: "place", RetryAfter: retryNoHome,
		})
		return
	}
	if r.place.home != "" && home != r.place.home {
		// The home has moved: leave no place in the old one's queue.
		i.send(r.place.home, msg.GrantEnd{Pool: pool.Name, Attempt: r.attempt})
	}
	r.place.home = home
	r.place.asked = now
	r.place.sent = append(r.place.sent, now)
	i.wakeAt(r, now.Add(askInterval))
	i.send(home, msg.GrantAsk{
		Pool: pool.Name, Ask: r.placementAsk(i, now), Number: len(r.place.sent),
		Failed: r.place.failed, FailedBoot: r.place.failedBoot,
	})
}

// lapses returns when a grant expires. It counts from the ask that the home had received
// before it granted: counted from a later one, a grant delayed in a link would stay valid
// while the entry keeps asking, and the upstream may have begun to leave.
func (r *request) lapses(m msg.GrantAnswer) time.Time {
	if m.Number < 1 || m.Number > len(r.place.sent) {
		return time.Time{}
	}
	return r.place.sent[m.Number-1].Add(m.TTL)
}

func (r *request) placementAsk(i *Instance, now time.Time) placement.Ask {
	return placement.Ask{
		Attempt: r.attempt, Org: r.org.Name, Fingerprint: r.Fingerprint,
		Prompt: r.Prompt, MaxOutput: r.MaxTokens, Prefix: r.Prefix, Exclude: r.exclude,
		Suspect: i.suspects.Judge(now, r.Fingerprint) == suspect.Suspected,
		MaxWait: max(r.service.MaxWait.D()-now.Sub(r.started), 0),
	}
}

// placeTimeout repeats the ask, or skips a home that stays silent.
func (i *Instance) placeTimeout(now time.Time, r *request) {
	if r.place.heard.Before(r.place.asked) {
		r.place.missed++
	}
	if r.place.missed >= maxMissed {
		i.count("retries_total", "pool_home_silent")
		i.giveUpOn(now, r.place.home)
		r.place.missed = 0
	}
	if now.Sub(r.started) > r.service.MaxWait.D()+askTimeout {
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: ReasonNoPoolHome,
			Step: "place", Peer: r.place.home, RetryAfter: retryNoHome,
		})
		return
	}
	i.askGrant(now, r)
}

func (i *Instance) onGrantAnswer(now time.Time, from string, m msg.GrantAnswer) {
	r := i.byAttempt(m.Decision.Attempt)
	if r == nil || r.phase != placing || from != r.place.home {
		i.lateGrant(r, from, m)
		return
	}
	r.place.heard = now
	r.place.missed = 0
	switch m.Decision.Kind {
	case placement.Granted:
		i.useGrant(now, r, m)
	case placement.Refused:
		i.placeElsewhere(now, r, m.Decision, from)
	case placement.Queued:
		i.note(now, r.ID, "queued", "home", from, "position", m.Decision.Position)
	}
}

// lateGrant returns a grant that is no longer needed.
func (i *Instance) lateGrant(r *request, from string, m msg.GrantAnswer) {
	if m.Decision.Kind != placement.Granted {
		return
	}
	if r != nil && from == r.place.home {
		return // a repeated answer to the grant in use
	}
	i.count("late_answers_total", "grant")
	i.send(from, msg.GrantEnd{Pool: m.Pool, Attempt: m.Decision.Attempt})
}

// useGrant dispatches unless the grant has expired: an entry that was frozen must not send
// work to an upstream that has begun to leave.
func (i *Instance) useGrant(now time.Time, r *request, m msg.GrantAnswer) {
	lapses := r.lapses(m)
	if !now.Before(lapses) {
		i.count("retries_total", "grant_lapsed")
		i.send(r.place.home, msg.GrantEnd{Pool: m.Pool, Attempt: r.attempt})
		i.askGrant(now, r)
		return
	}
	if i.cordoned(m.Decision.Upstream) {
		i.returnCordoned(now, r, m)
		return
	}
	r.run = runState{
		upstream: m.Decision.Upstream, address: m.Address, priority: m.Decision.Priority, boot: m.Boot,
		before: lapses, progress: now,
	}
	i.note(now, r.ID, "granted", "home", r.place.home, "upstream", r.run.upstream, "attempt", r.attempt)
	if r.NotRepeatable {
		i.claim(now, r)
		return
	}
	i.dispatch(now, r)
}

// returnCordoned returns a grant for a cordoned upstream. The home does not know of the
// cordon: it is told and asked once more, but not again, as it may take a while to learn.
func (i *Instance) returnCordoned(now time.Time, r *request, m msg.GrantAnswer) {
	i.count("retries_total", "grant_cordoned")
	i.send(r.place.home, msg.GrantEnd{Pool: m.Pool, Attempt: r.attempt})
	if r.place.toldCordons {
		r.place.home = ""
		i.refuse(now, r, Finish{
			Status: status.ServiceUnavailable, Reason: placement.ReasonCordoned, Step: "place", RetryAfter: retryNoHome,
		})
		return
	}
	r.place.toldCordons = true
	i.send(r.place.home, i.configTold(now, 0))
	i.askGrant(now, r)
}

// placeElsewhere asks the next pool of the service, or passes the refusal on.
func (i *Instance) placeElsewhere(now time.Time, r *request, d placement.Decision, from string) {
	if r.place.pool+1 < len(r.place.pools) && d.Reason != placement.ReasonPoison {
		i.count("retries_total", "pool_"+d.Reason)
		r.place.pool++
		r.place.home = ""
		i.askGrant(now, r)
		return
	}
	code := status.ServiceUnavailable
	if d.Reason == placement.ReasonPoison {
		code = status.UnprocessableEntity
	}
	i.refuse(now, r, Finish{Status: code, Reason: d.Reason, Step: "place", Peer: from, RetryAfter: d.RetryAfter})
}

// endGrant returns the request's grant or place in a queue.
func (i *Instance) endGrant(r *request, failed bool) {
	if r.place.home == "" {
		return
	}
	i.send(r.place.home, msg.GrantEnd{
		Pool: r.currentPool().Name, Attempt: r.attempt, Tokens: r.seq.Next(), Failed: failed, Cut: r.gone,
		Upstream: r.run.upstream, Boot: r.run.boot, Fingerprint: r.Fingerprint,
	})
	r.place.home = ""
}
