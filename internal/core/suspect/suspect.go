// Package suspect detects requests that crash each upstream that runs them. When an upstream
// crashes, every request that ran on it gets a strike under the fingerprint of its body. A
// fingerprint with two strikes from different crashes is refused for a time. If one more crash follows once it is
// served again, it is refused for longer (NewEscalatingList). Requests of which no two are alike may
// crash upstreams by a part of their prompts that they share; parts.go finds it.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Verdict states how to treat a request with a fingerprint.
type Verdict int

// Verdicts.
const (
	// Clean: no strike; it may be placed anywhere.
	Clean Verdict = iota
	// Suspected: one strike, or more whose refusal is over; it must not share an upstream with another suspect.
	Suspected
	// Refused: two strikes or more.
	Refused
)

const (
	// MaxStrikes is the number of crashes after which a fingerprint is refused.
	MaxStrikes = 2
	// maxFingerprints bounds the stored fingerprints; the ones with the oldest strikes are
	// evicted first. A crash gives strikes to at most one batch of requests, so the bound covers
	// a day with many crashes.
	maxFingerprints = 4096
	// repeatTolerance is the minimum by which a received strike must be newer to extend the TTL.
	// Otherwise instances that repeatedly send each other the same strike would keep it for
	// ever.
	repeatTolerance = 5 * time.Second
	// escalation is how many times longer than before a fingerprint is refused after each crash that follows a
	// refusal, and maxEscalations how often. A request that comes again without an end then reaches upstreams at
	// half a minute, 4 minutes, half an hour, 4 hours and 34 hours.
	escalation     = 8
	maxEscalations = 4
	// escalationMemory is how long a strike is kept beyond the refusal that it causes. A request that comes again
	// every few minutes must not be forgotten in between.
	escalationMemory = time.Hour
)

// Crash identifies one crash of an upstream. Boot identifies the process run that the crash ended.
type Crash struct {
	Upstream string
	Boot     string
}

// Strike records that a request with a fingerprint was running at a crash.
type Strike struct {
	Fingerprint uint64
	Crash       Crash
	At          time.Time
}

// List holds the strikes known to an instance.
type List struct {
	// refusal is for how long a fingerprint is refused after its second strike, memory how long a strike is kept beyond
	// that, and escalates whether further crashes prolong the refusal.
	refusal, memory time.Duration
	escalates       bool
	byFingerprint   map[uint64]*record
}

// record holds the crashes of a fingerprint, each with its time, and the time of the last strike.
type record struct {
	crashes    []Crash
	at         []time.Time
	lastStrike time.Time
}

// NewList returns a list that removes a strike after ttl.
func NewList(ttl time.Duration) *List {
	return &List{refusal: ttl, byFingerprint: map[uint64]*record{}}
}

// NewEscalatingList returns a list that refuses a fingerprint for a time after its second strike, and for longer after
// each crash that follows a refusal. Its user must report sound responses to Clear.
func NewEscalatingList(refusal time.Duration) *List {
	return &List{refusal: refusal, memory: escalationMemory, escalates: true, byFingerprint: map[uint64]*record{}}
}

// refusedFor returns for how long after the last of a number of strikes a fingerprint is refused.
func (l *List) refusedFor(strikes int) time.Duration {
	if strikes < MaxStrikes {
		return 0
	}
	d := l.refusal
	for range strikes - MaxStrikes {
		d *= escalation
	}
	return d
}

// refusedUntil returns the end of a refusal; it is in the past if there is none.
func (l *List) refusedUntil(e *record) time.Time {
	return e.lastStrike.Add(l.refusedFor(len(e.crashes)))
}

// expiresAt returns when a record is removed.
func (l *List) expiresAt(e *record) time.Time {
	return e.lastStrike.Add(max(l.refusedFor(len(e.crashes)), l.refusal) + l.memory)
}

// maxStrikes returns the largest number of strikes that a record has.
func (l *List) maxStrikes() int {
	if l.escalates {
		return MaxStrikes + maxEscalations
	}
	return MaxStrikes
}

// Strike records a strike and reports whether it was new. It is idempotent by crash. Strikes beyond the second one count
// only after a refusal: the requests of a crowd can be on many upstreams that crash at the same time.
func (l *List) Strike(now time.Time, s Strike) bool {
	if now.Sub(s.At) > l.refusedFor(l.maxStrikes())+l.memory {
		return false
	}
	e := l.byFingerprint[s.Fingerprint]
	if e == nil {
		l.evict(now)
		e = &record{lastStrike: s.At}
		l.byFingerprint[s.Fingerprint] = e
	}
	known := slices.Contains(e.crashes, s.Crash)
	beyond := len(e.crashes) >= MaxStrikes
	if l.escalates && beyond && (known || s.At.Before(l.refusedUntil(e))) {
		return false
	}
	if s.At.Sub(e.lastStrike) > repeatTolerance {
		e.lastStrike = s.At
	}
	if known || len(e.crashes) >= l.maxStrikes() {
		return false
	}
	e.crashes, e.at = append(e.crashes, s.Crash), append(e.at, s.At)
	return true
}

// Clear removes the strikes of a fingerprint that are older than the beginning of a run that ended soundly.
func (l *List) Clear(fingerprint uint64, began time.Time) {
	if e := l.byFingerprint[fingerprint]; e != nil && e.lastStrike.Before(began) {
		delete(l.byFingerprint, fingerprint)
	}
}

// evict enforces the bound. It removes an eighth of the fingerprints at once, so that the cost
// of sorting is shared by many strikes.
func (l *List) evict(now time.Time) {
	if len(l.byFingerprint) < maxFingerprints {
		return
	}
	all := l.Recent(now, len(l.byFingerprint)*l.maxStrikes())
	kept := map[uint64]*record{}
	for _, s := range all {
		if len(kept) < maxFingerprints-maxFingerprints/8 {
			kept[s.Fingerprint] = l.byFingerprint[s.Fingerprint]
		}
	}
	l.byFingerprint = kept
}

// Verdict returns the verdict on a fingerprint.
func (l *List) Verdict(now time.Time, fingerprint uint64) Verdict {
	e := l.byFingerprint[fingerprint]
	switch {
	case e == nil:
		return Clean
	case now.After(l.expiresAt(e)):
		delete(l.byFingerprint, fingerprint)
		return Clean
	case len(e.crashes) >= MaxStrikes && now.Before(l.refusedUntil(e)):
		return Refused
	default:
		return Suspected
	}
}

// RefusedUntil returns the end of the refusal of a fingerprint after its second strike; zero if it has no strike.
func (l *List) RefusedUntil(fingerprint uint64) time.Time {
	if e := l.byFingerprint[fingerprint]; e != nil {
		return e.lastStrike.Add(max(l.refusedFor(len(e.crashes)), l.refusal))
	}
	return time.Time{}
}

// Upstreams returns the upstreams whose crashes gave a fingerprint its strikes.
func (l *List) Upstreams(fingerprint uint64) []string {
	var out []string
	if e := l.byFingerprint[fingerprint]; e != nil {
		for _, c := range e.crashes {
			out = append(out, c.Upstream)
		}
	}
	return out
}

// Recent returns at most n strikes that have not expired, newest first.
func (l *List) Recent(now time.Time, n int) []Strike { return l.newest(now, n, 1) }

// Repeated does the same for the fingerprints that have been refused.
func (l *List) Repeated(now time.Time, n int) []Strike { return l.newest(now, n, MaxStrikes) }

// newest returns at most n strikes of fingerprints with some strikes or more, newest first.
func (l *List) newest(now time.Time, n, least int) []Strike {
	var out []Strike
	for fingerprint, e := range l.byFingerprint {
		for k, c := range e.crashes {
			if len(e.crashes) >= least && !now.After(l.expiresAt(e)) {
				at := e.lastStrike
				if l.escalates {
					at = e.at[k] // whether a strike counts depends on the refusal that it follows
				}
				out = append(out, Strike{Fingerprint: fingerprint, Crash: c, At: at})
			}
		}
	}
	slices.SortFunc(out, func(a, b Strike) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(n, len(out))]
}

// Len returns the number of stored fingerprints.
func (l *List) Len() int { return len(l.byFingerprint) }
