package roster

import (
	"time"
)

// lapseTimeout is how long an entry that vanished during an outage of the store stays in use
// after the store's return. Entries lapse when the store cannot take their heartbeats; live
// upstreams renew theirs within two seconds of its return.
const lapseTimeout = 2 * time.Second

// outageGrace is how long after an outage a vanished entry still counts as lapsed: the first
// change that the store reports is delayed.
const outageGrace = 1500 * time.Millisecond

// retellDuration is for how long, and retellInterval how often, a group is told again in which
// a lapsed entry was given up. Readers are less than a second apart.
const (
	// After a lapsed entry was dropped, its group is announced again every retellInterval for
	// retellDuration. Readers are less than a second apart.
	retellDuration = 3 * time.Second
	retellInterval = time.Second
)

// tombstoneTTL is how long stale updates about a removed upstream are recognized. Stale reads
// are several seconds behind.
const tombstoneTTL = time.Minute

// StoreDown records that the store does not answer.
func (r *Roster) StoreDown() { r.down = true }

// StoreUp records that the store answered a request.
func (r *Roster) StoreUp(now time.Time) {
	if r.down {
		r.down, r.returned = false, now
	}
}

// remove drops an upstream, or keeps it until lapseTimeout if its entry may have lapsed in an
// outage.
func (r *Roster) remove(now time.Time, u *Upstream) *Upstream {
	if u == nil {
		return nil
	}
	if r.down || now.Sub(r.returned) < outageGrace && !r.returned.IsZero() {
		u.Lapses = r.returned.Add(lapseTimeout)
		if r.down {
			u.Lapses = now.Add(lapseTimeout)
		}
		return nil
	}
	return r.drop(now, u)
}

func (r *Roster) drop(now time.Time, u *Upstream) *Upstream {
	r.mark(r.layout.Of(u.Entry), r.newest)
	delete(r.byID, u.ID)
	r.gone[u.ID] = now
	if u.LeavingSince.IsZero() {
		u.LeavingSince = now
	}
	u.Gone = true
	return u
}

// Tick drops the lapsed entries that were not renewed.
func (r *Roster) Tick(now time.Time) []*Upstream {
	var left []*Upstream
	for _, u := range r.byID {
		if !u.Lapses.IsZero() && !r.down && !now.Before(u.Lapses) {
			g := r.layout.Of(u.Entry)
			r.lapsed[g], r.retold[g] = now, now
			left = append(left, r.drop(now, u))
		}
	}
	r.retell(now)
	if left != nil {
		r.index()
	}
	r.forget(now)
	return left
}

// retell marks groups as changed again from which a lapsed entry was dropped. No change of the
// store announces the drop, and an instance that followed another reader may already know a
// newer version than this one did at the time.
func (r *Roster) retell(now time.Time) {
	for g, at := range r.lapsed {
		switch {
		case now.Sub(at) > retellDuration:
			delete(r.lapsed, g)
			delete(r.retold, g)
		case now.Sub(r.retold[g]) >= retellInterval:
			r.retold[g] = now
			r.mark(g, r.newest)
		}
	}
}

// forget drops expired tombstones. Ids are never reused, so they would accumulate.
func (r *Roster) forget(now time.Time) {
	for id, at := range r.gone {
		switch {
		case r.byID[id] != nil:
			delete(r.gone, id)
		case now.Sub(at) > tombstoneTTL:
			delete(r.gone, id)
			delete(r.versions, id)
		}
	}
}

// Left reports whether an upstream was listed and has been removed recently, in which case an
// entry that names it is stale.
func (r *Roster) Left(e Entry) bool {
	_, left := r.gone[e.ID]
	return left && r.byID[e.ID] == nil
}
