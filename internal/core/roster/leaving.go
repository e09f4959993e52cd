package roster

import (
	"maps"
	"slices"
	"time"
)

// leftTTL is how long it is kept that a run of an upstream leaves after its entry was removed. An
// entry that expired can return, also in an older form, until its upstream has stopped.
const leftTTL = 10 * time.Minute

// MarkLeaving records a sign of shutdown that did not come from the list. It returns false if
// the upstream was already known to be leaving.
func (r *Roster) MarkLeaving(now time.Time, u *Upstream) bool {
	r.markLeft(now, u.Run())
	if !u.LeavingSince.IsZero() {
		return false
	}
	u.LeavingSince, u.LeavingAsOf = now, r.confirmedAt
	return true
}

// MarkRunLeaving records that a run of an upstream leaves, whether or not it is listed. It returns
// false if that was known.
func (r *Roster) MarkRunLeaving(now time.Time, run Run) bool {
	if u := r.byID[run.ID]; u != nil && u.Run() == run {
		return r.MarkLeaving(now, u)
	}
	return r.markLeft(now, run)
}

// markLeft keeps that a run leaves, and returns false if that was known.
func (r *Roster) markLeft(now time.Time, run Run) bool {
	if _, known := r.leftAt[run]; known {
		return false
	}
	r.leftAt[run] = now
	return true
}

// LeftAt returns when a run was first known to leave; zero if it is not.
func (r *Roster) LeftAt(run Run) time.Time { return r.leftAt[run] }

// Left lists the runs that are known to leave.
func (r *Roster) Left() []Run { return slices.Collect(maps.Keys(r.leftAt)) }

// dropLeft drops the runs that left long ago and are not listed.
func (r *Roster) dropLeft(now time.Time) {
	for run, at := range r.leftAt {
		if u := r.byID[run.ID]; now.Sub(at) > leftTTL && (u == nil || u.Run() != run) {
			delete(r.leftAt, run)
		}
	}
}
