package roster

import (
	"slices"
	"time"
)

// drops holds the groups from which an upstream was dropped without a change in the store: its expired entry was not
// renewed in time. Such a drop has no version, and a requester that has the newest version would not be notified. The
// group is therefore sent to each requester. Messages can be lost, so it is sent several times. A requester that
// comes from another source requests everything (ListRequest.RequestFull).
type drops struct {
	// at holds, by group, the time of the last drop, and sent, by requester, when the group was last sent.
	at   map[Group]time.Time
	sent map[string]map[Group]time.Time
}

func newDrops() drops {
	return drops{at: map[Group]time.Time{}, sent: map[string]map[Group]time.Time{}}
}

// note records a drop.
func (d *drops) note(now time.Time, g Group) { d.at[g] = now }

// expire forgets drops that all requesters were notified of.
func (d *drops) expire(now time.Time) {
	for g, at := range d.at {
		if now.Sub(at) <= reannounceDuration {
			continue
		}
		delete(d.at, g)
		for _, sent := range d.sent {
			delete(sent, g)
		}
	}
	if len(d.at) == 0 {
		clear(d.sent)
	}
}

// due returns the groups that are to be sent to a requester now, and records that they are.
func (d *drops) due(now time.Time, requester string) (out []Group) {
	for g, at := range d.at {
		sent := d.sent[requester][g]
		if !sent.Before(at) && now.Sub(sent) < reannounceInterval {
			continue
		}
		if d.sent[requester] == nil {
			d.sent[requester] = map[Group]time.Time{}
		}
		d.sent[requester][g] = now
		out = append(out, g)
	}
	slices.SortFunc(out, compareGroups)
	return out
}
