package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// convictingCrashes is the number of crashes, and of different requests, without a sound answer in
	// between that convict a part. With two, a part that waits twice on engines that crash for other reasons
	// would be convicted; each crash more costs an engine.
	convictingCrashes = 3
	// certainCrashes is used instead while more than a third of the crashes from the part's first to its last one do
	// not involve the part. Where many engines crash for other reasons, a part is on three of them by chance.
	certainCrashes = 5
	// SettleTime is how long after the crash that convicts a part the conviction is in force. A part that many
	// requests share is on several of the engines that crash for other reasons; sound answers to it are known
	// everywhere by then.
	SettleTime = 300 * time.Millisecond
	// suspectedCrashes is the number from which a request with the part is not sent to another engine after
	// a failed attempt.
	suspectedCrashes = 2
	// evidenceTTL is how long a crash counts against the parts of its requests at an instance that learned of
	// it: one that starts later learns of it then, piece by piece. A part that sound requests
	// share is cleared by them long before.
	evidenceTTL = 10 * time.Minute
	// convictionTTL is used instead for the evidence of a conviction, which lasts for so long without
	// further crashes. A part that is still at fault then costs convictingCrashes engines again.
	convictionTTL = time.Hour
	// maxEvidence bounds the stored evidence and maxCleared the stored times of sound answers. The oldest
	// go first, and evidence that convicts nothing before other evidence.
	maxEvidence = 512
	maxCleared  = 1024
	// MaxParts is the maximum number of parts of a request that are considered.
	MaxParts = 16
	// SoundEvents is the number of events after which an answer counts as begun soundly: an engine that a
	// part crashes ends as it begins to write.
	SoundEvents = 4
)

// Evidence records that a request had no sound answer when its upstream crashed.
type Evidence struct {
	// Fingerprint identifies requests of the same content, so that repeats count once.
	Fingerprint uint64
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []uint64
	Crash Crash
	At    time.Time
	// recordedAt is when this instance learned of it.
	recordedAt time.Time
}

// Conviction is a set of parts. A request whose prompt contains all of them crashes upstreams: the parts
// that no evidence tells apart are convicted together, so that requests with only some of them run.
type Conviction struct {
	Parts []uint64
	// Crashes and Requests are the numbers of crashes and of different requests that convicted it.
	Crashes, Requests int
	// From is when the conviction is in force, unless a sound answer clears the parts before.
	From time.Time
}

// In reports whether a list has a conviction of the same parts.
func (c Conviction) In(list []Conviction) bool {
	return slices.ContainsFunc(list, func(other Conviction) bool { return slices.Equal(c.Parts, other.Parts) })
}

// Parts finds the parts of prompts that crash upstreams, by elimination over crashes. The result depends
// on the evidence only, not on its order, so that all instances that know the same reach the same verdict. It
// is not safe for concurrent use.
type Parts struct {
	evidence []Evidence
	// soundAt holds when an answer to a request with a part was last begun soundly, as far as this instance
	// knows: at itself, and elsewhere if the part was accused.
	soundAt map[uint64]time.Time
	// convictions holds what follows from the evidence; stale is set if it must be computed again.
	convictions []Conviction
	stale       bool
}

// NewParts returns an empty list.
func NewParts() *Parts { return &Parts{soundAt: map[uint64]time.Time{}} }

// Accuse records evidence and reports whether it is new.
func (p *Parts) Accuse(now time.Time, e Evidence) bool {
	if len(e.Parts) == 0 || now.Sub(e.At) > convictionTTL || p.has(e) {
		return false
	}
	if len(p.evidence) >= maxEvidence {
		p.evict(now)
	}
	e.Parts = slices.Clone(e.Parts)
	slices.Sort(e.Parts)
	e.Parts = slices.Compact(e.Parts)
	e.recordedAt = now
	p.evidence = append(p.evidence, e)
	slices.SortStableFunc(p.evidence, func(a, b Evidence) int { return a.At.Compare(b.At) })
	p.stale = true
	return true
}

// evict drops an eighth of the evidence.
func (p *Parts) evict(now time.Time) {
	p.Convictions(now)
	left := maxEvidence / 8
	p.evidence = slices.DeleteFunc(p.evidence, func(e Evidence) bool {
		drop := left > 0 && !p.convicts(e)
		if drop {
			left--
		}
		return drop
	})
	p.evidence = slices.Delete(p.evidence, 0, left)
}

// convicts reports whether evidence belongs to a conviction.
func (p *Parts) convicts(e Evidence) bool {
	return slices.ContainsFunc(p.convictions, func(c Conviction) bool { return containsAll(e.Parts, c.Parts) })
}

func (p *Parts) has(e Evidence) bool {
	return slices.ContainsFunc(p.evidence, func(known Evidence) bool {
		return known.Crash == e.Crash && known.Fingerprint == e.Fingerprint
	})
}

// Accused returns those of the parts against which there is evidence.
func (p *Parts) Accused(parts []uint64) (out []uint64) {
	for _, part := range parts {
		if slices.ContainsFunc(p.evidence, func(e Evidence) bool { return p.counts(e, part) }) {
			out = append(out, part)
		}
	}
	return out
}

// counts reports whether evidence counts against a part: it contains the part, and no sound answer to a
// request with the part was begun since.
func (p *Parts) counts(e Evidence, part uint64) bool {
	return slices.Contains(e.Parts, part) && e.At.After(p.soundAt[part])
}

// Clear records that an answer to a request with these parts was begun soundly at a time. Evidence from
// before does not count against them any more.
func (p *Parts) Clear(parts []uint64, at time.Time) {
	for _, part := range parts {
		if at.After(p.soundAt[part]) {
			p.soundAt[part] = at
			p.stale = true
		}
	}
	if len(p.soundAt) > maxCleared {
		oldest := slices.SortedFunc(maps.Keys(p.soundAt), func(a, b uint64) int {
			return cmp.Or(p.soundAt[a].Compare(p.soundAt[b]), cmp.Compare(a, b))
		})
		for _, part := range oldest[:maxCleared/8] {
			p.forget(part)
		}
	}
}

// forget drops the time of a part's last sound answer, with the evidence that does not count because of
// it.
func (p *Parts) forget(part uint64) {
	for k, e := range p.evidence {
		if slices.Contains(e.Parts, part) && !p.counts(e, part) {
			p.evidence[k].Parts = slices.DeleteFunc(e.Parts, func(other uint64) bool { return other == part })
		}
	}
	delete(p.soundAt, part)
}

// Convicted returns the conviction that applies to a request with these parts, or nil.
func (p *Parts) Convicted(now time.Time, parts []uint64) *Conviction {
	if len(p.evidence) == 0 {
		return nil
	}
	for _, c := range p.Convictions(now) {
		if !now.Before(c.From) && containsAll(parts, c.Parts) {
			return &c
		}
	}
	return nil
}

// Suspected reports whether one of the parts has evidence of several crashes and requests against it. A
// request with such a part must not be sent to another upstream after it failed.
func (p *Parts) Suspected(now time.Time, parts []uint64) bool {
	p.expire(now)
	for _, part := range parts {
		if crashes, requests := p.count(p.evidence, part); min(crashes, requests) >= suspectedCrashes {
			return true
		}
	}
	return false
}

// count returns the numbers of crashes and of different requests that count against a part.
func (p *Parts) count(evidence []Evidence, part uint64) (crashes, requests int) {
	seen, asked := map[Crash]bool{}, map[uint64]bool{}
	for _, e := range evidence {
		if p.counts(e, part) {
			seen[e.Crash], asked[e.Fingerprint] = true, true
		}
	}
	return len(seen), len(asked)
}

// Convictions returns the convictions, also those that are not in force yet.
func (p *Parts) Convictions(now time.Time) []Conviction {
	p.expire(now)
	if p.stale {
		p.convictions, p.stale = p.convict(), false
	}
	return p.convictions
}

// expire drops evidence that no longer counts.
func (p *Parts) expire(now time.Time) {
	kept := p.evidence[:0]
	for _, e := range p.evidence {
		if now.Sub(e.At) <= convictionTTL && (p.convicts(e) || now.Sub(e.recordedAt) <= evidenceTTL) {
			kept = append(kept, e)
		}
	}
	p.stale = p.stale || len(kept) < len(p.evidence)
	p.evidence = kept
}

// convict computes the convictions. A part explains the crashes that count against it, which then count
// against no other part: requests that only waited on an engine that crashed are not accused by it. Parts with
// more crashes come first. Of parts with equally many, the one with the least evidence is the most specific: the
// others also occur in requests without it.
func (p *Parts) convict() (out []Conviction) {
	left := slices.Clone(p.evidence)
	for {
		t := p.convictable(left)
		if t == nil {
			return out
		}
		c := Conviction{Crashes: len(t.crashes), Requests: len(t.requests)}
		for _, e := range left {
			if !p.counts(e, t.part) {
				continue
			}
			if c.Parts == nil {
				c.Parts = slices.Clone(e.Parts)
			}
			c.Parts = slices.DeleteFunc(c.Parts, func(other uint64) bool { return !p.counts(e, other) })
		}
		c.From = p.convictedAt(left, t).Add(SettleTime)
		out = append(out, c)
		left = slices.DeleteFunc(left, func(e Evidence) bool { return t.crashes[e.Crash] })
	}
}

// convictedAt returns the time of the crash from which a tally convicts its part.
func (p *Parts) convictedAt(evidence []Evidence, t *tally) time.Time {
	crashes, requests := map[Crash]bool{}, map[uint64]bool{}
	for _, e := range evidence {
		if !p.counts(e, t.part) {
			continue
		}
		crashes[e.Crash], requests[e.Fingerprint] = true, true
		if min(len(crashes), len(requests)) >= convictingCrashes {
			return e.At
		}
	}
	return t.to
}

// tally is the evidence against one part.
type tally struct {
	part     uint64
	crashes  map[Crash]bool
	requests map[uint64]bool
	entries  int
	// from and to are the times of the first and the last crash.
	from, to time.Time
}

// strength is the number of crashes by different requests.
func (t *tally) strength() int { return min(len(t.crashes), len(t.requests)) }

// convictable returns the strongest tally that convicts its part, or nil.
func (p *Parts) convictable(evidence []Evidence) *tally {
	tallies := p.tallies(evidence)
	slices.SortFunc(tallies, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(b.strength(), a.strength()), cmp.Compare(a.entries, b.entries), cmp.Compare(a.part, b.part))
	})
	for _, t := range tallies {
		if t.strength() < convictingCrashes {
			return nil
		}
		if t.strength() >= certainCrashes || 3*len(t.crashes) >= 2*crashesWithin(p.evidence, t.from, t.to) {
			return t
		}
	}
	return nil
}

// crashesWithin counts the crashes from one time to another.
func crashesWithin(evidence []Evidence, from, to time.Time) int {
	seen := map[Crash]bool{}
	for _, e := range evidence {
		if !e.At.Before(from) && !e.At.After(to) {
			seen[e.Crash] = true
		}
	}
	return len(seen)
}

// tallies returns the evidence by part, from evidence in the order of its times.
func (p *Parts) tallies(evidence []Evidence) (out []*tally) {
	byPart := map[uint64]*tally{}
	for _, e := range evidence {
		for _, part := range e.Parts {
			if !p.counts(e, part) {
				continue
			}
			t := byPart[part]
			if t == nil {
				t = &tally{part: part, crashes: map[Crash]bool{}, requests: map[uint64]bool{}, from: e.At}
				byPart[part] = t
				out = append(out, t)
			}
			t.crashes[e.Crash], t.requests[e.Fingerprint], t.to = true, true, e.At
			t.entries++
		}
	}
	return out
}

// Evidence returns the evidence that still counts, oldest first, for an instance that has just started.
func (p *Parts) Evidence(now time.Time) (out []Evidence) {
	p.expire(now)
	for _, e := range p.evidence {
		e.Parts = slices.DeleteFunc(slices.Clone(e.Parts), func(part uint64) bool { return !p.counts(e, part) })
		if len(e.Parts) > 0 {
			out = append(out, e)
		}
	}
	return out
}

// containsAll reports whether a list contains all elements of another one.
func containsAll(list, all []uint64) bool {
	return len(all) > 0 && !slices.ContainsFunc(all, func(part uint64) bool { return !slices.Contains(list, part) })
}
