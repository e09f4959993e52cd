package roster

import "time"

const (
	// maxFollowGap is the longest time between two confirmations of the list in which no upstream can have been
	// listed and removed unseen: one that starts serves for some seconds.
	maxFollowGap = 3 * time.Second
	// removedTTL is how long it is kept that software was listed. No window is longer.
	removedTTL = 5 * time.Minute
)

// listedSoftware is the software of a service.
type listedSoftware struct{ service, software string }

// follow records that the list was confirmed as of a time.
func (r *Roster) follow(asOf time.Time) {
	if r.followedSince.IsZero() || asOf.Sub(r.confirmedAt) > maxFollowGap {
		r.followedSince = asOf
	}
}

// noteRemoved records that an entry with some software is no longer listed.
func (r *Roster) noteRemoved(now time.Time, e Entry) {
	r.removedSoftware[listedSoftware{e.Service, e.Software}] = now
}

// dropRemovedSoftware forgets software that was last listed long ago.
func (r *Roster) dropRemovedSoftware(now time.Time) {
	for l, at := range r.removedSoftware {
		if now.Sub(at) > removedTTL {
			delete(r.removedSoftware, l)
		}
	}
}

// SoleSoftware returns the software version of all upstreams of a service that were listed within a window
// before now. ok is false if there were several, if one is unknown, if the list was not confirmed within maxAge, or if
// this instance has not followed the whole list for so long: then nothing is known of the others.
func (r *Roster) SoleSoftware(now time.Time, service string, window, maxAge time.Duration) (software string, ok bool) {
	if r.layout[service] != nil || r.lacksSoftware || r.followedSince.IsZero() || now.Sub(r.followedSince) < window || now.Sub(r.confirmedAt) > maxAge {
		return "", false
	}
	seen := map[string]bool{}
	for _, u := range r.byService[service] {
		seen[u.Software] = true
	}
	for l, at := range r.removedSoftware {
		if l.service == service && now.Sub(at) < window {
			seen[l.software] = true
		}
	}
	if len(seen) != 1 || seen[""] {
		return "", false
	}
	for only := range seen {
		software = only
	}
	return software, true
}
