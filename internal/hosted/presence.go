package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// sendDuePresences sends the presences of data centres to other instances, if this instance
// is a relay and presences are due.
func (f *peers) sendDuePresences() {
	var due []fleet.Announcement
	f.with(func(now time.Time, v *fleet.Fleet) { due = v.Announcements(now) })
	for _, a := range due {
		for _, name := range a.To {
			f.sendTo(name, msg.Presences{List: a.List})
		}
	}
}

// onPresences handles announced presences of other data centres, and requests those that refer
// to a list of members that is not known here.
func (f *peers) onPresences(from string, m msg.Presences) {
	var unknown []string
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, p := range m.List {
			if !v.OnPresence(now, p) {
				unknown = append(unknown, p.Source)
			}
		}
	})
	if len(unknown) > 0 {
		f.sendTo(from, msg.PresenceRequest{Sources: unknown})
	}
}

// onPresenceRequest sends an instance the full presences that it requests.
func (f *peers) onPresenceRequest(from string, m msg.PresenceRequest) {
	var list []msg.Presence
	f.with(func(now time.Time, v *fleet.Fleet) { list = v.Presences(now, m.Sources) })
	if len(list) > 0 {
		f.sendTo(from, msg.Presences{List: list})
	}
}
