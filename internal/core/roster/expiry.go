package roster

import (
	"time"
)

// expiryGrace is how long an upstream whose entry expired during an outage of the store stays
// in use after the end of the outage. Entries expire while the store cannot accept the
// heartbeats of their upstreams; live upstreams renew their entries within two seconds of the
// end of the outage.
const expiryGrace = 2 * time.Second

// outageGrace is how long after an outage of the store a removal is still attributed to the
// outage: the store reports the expiries of the outage late.
const outageGrace = 1500 * time.Millisecond

// minExpiryOutage is the shortest time without a confirmation of the list in which entries can have expired: they do so
// after three heartbeats, of which the last one before may have just been written. A removal after a shorter one was
// ordered by the upstream.
const minExpiryOutage = 2 * time.Second

// A group from which an expired entry was dropped is announced again every reannounceInterval
// for reannounceDuration. The versions seen by two readers are less than a second apart.
const (
	reannounceDuration = 3 * time.Second
	reannounceInterval = time.Second
)

// tombstoneTTL is how long the version of a removed upstream is kept in order to recognize
// stale updates about it. Stale reads lag by several seconds.
const tombstoneTTL = time.Minute

// StoreDown records that the store does not respond.
func (r *Roster) StoreDown() { r.storeDown = true }

// StoreUp records that the store responded to a request.
func (r *Roster) StoreUp(now time.Time) {
	if r.storeDown && now.Sub(r.confirmedAt) >= minExpiryOutage {
		r.storeReturned = now
	}
	r.storeDown = false
}

// remove handles the removal of an upstream's entry. It drops the upstream and returns it. If
// the entry may have expired in an outage of the store, or been written after the copy was made from which the store
// has come back, remove keeps the upstream for expiryGrace and returns nil.
func (r *Roster) remove(now time.Time, u *Upstream) *Upstream {
	if u == nil {
		return nil
	}
	if r.era.entering {
		u.ExpiresAt = now.Add(expiryGrace)
		return nil
	}
	if r.storeDown || now.Sub(r.storeReturned) < outageGrace && !r.storeReturned.IsZero() {
		u.ExpiresAt = r.storeReturned.Add(expiryGrace)
		if r.storeDown {
			u.ExpiresAt = now.Add(expiryGrace)
		}
		return nil
	}
	return r.drop(now, u)
}

// drop removes an upstream from the roster and keeps its version as a tombstone.
func (r *Roster) drop(now time.Time, u *Upstream) *Upstream {
	r.markChanged(r.layout.GroupOf(u.Entry), r.newest)
	delete(r.byID, u.ID)
	r.removedAt[u.ID], r.removedRuns[u.ID] = now, u.Run()
	r.noteRemoved(now, u.Entry)
	if u.LeavingSince.IsZero() {
		u.LeavingSince = now
	}
	u.Removed = true
	return u
}

// Tick drops the upstreams whose expired entries were not renewed in time, and returns them. It
// also announces groups again and drops tombstones when they are due.
func (r *Roster) Tick(now time.Time) []*Upstream {
	var left []*Upstream
	for _, u := range r.byID {
		if !u.ExpiresAt.IsZero() && !r.storeDown && !now.Before(u.ExpiresAt) {
			g := r.layout.GroupOf(u.Entry)
			r.droppedAt[g], r.reannouncedAt[g] = now, now
			r.drops.note(now, g)
			left = append(left, r.drop(now, u))
		}
	}
	r.reannounce(now)
	r.drops.expire(now)
	left = append(left, r.endEraChange(now)...)
	if left != nil {
		r.rebuildIndexes()
	}
	r.dropTombstones(now)
	r.dropLeft(now)
	r.dropRemovedSoftware(now)
	return left
}

// reannounce marks the groups from which an expired entry was dropped as changed at the newest
// version, so that they are sent again. The store reports no change for such a drop, and an
// instance that followed another reader may already have a newer version than this instance
// had at the time of the drop.
func (r *Roster) reannounce(now time.Time) {
	for g, at := range r.droppedAt {
		switch {
		case now.Sub(at) > reannounceDuration:
			delete(r.droppedAt, g)
			delete(r.reannouncedAt, g)
		case now.Sub(r.reannouncedAt[g]) >= reannounceInterval:
			r.reannouncedAt[g] = now
			r.markChanged(g, r.newest)
		}
	}
}

// dropTombstones deletes tombstones older than tombstoneTTL. Ids are seldom reused, so
// tombstones would accumulate.
func (r *Roster) dropTombstones(now time.Time) {
	for id, at := range r.removedAt {
		switch {
		case r.byID[id] != nil:
			delete(r.removedAt, id)
			delete(r.removedRuns, id)
		case now.Sub(at) > tombstoneTTL:
			delete(r.removedAt, id)
			delete(r.removedRuns, id)
			delete(r.versions, id)
		}
	}
}

// RecentlyRemoved reports whether the upstream of an entry was removed within the last
// tombstoneTTL, in which case the entry is stale.
func (r *Roster) RecentlyRemoved(e Entry) bool {
	_, removed := r.removedAt[e.ID]
	return removed && r.byID[e.ID] == nil
}
