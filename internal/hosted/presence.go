package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// announceDue announces members to other data centres if this instance is a relay and it is
// due.
func (f *peers) announceDue() {
	var due []fleet.Announcement
	f.with(func(now time.Time, v *fleet.Fleet) { due = v.Announcements(now) })
	for _, a := range due {
		for _, name := range a.To {
			f.sendTo(name, msg.Presences{List: a.List})
		}
	}
}

// onPresences handles the members of other data centres.
func (f *peers) onPresences(from string, m msg.Presences) {
	var unknown []string
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, p := range m.List {
			if !v.HeardPresence(now, p) {
				unknown = append(unknown, p.Source)
			}
		}
	})
	if len(unknown) > 0 {
		f.sendTo(from, msg.PresenceAsk{Sources: unknown})
	}
}

// onPresenceAsk sends an instance the members that it lacks.
func (f *peers) onPresenceAsk(from string, m msg.PresenceAsk) {
	var list []msg.Presence
	f.with(func(now time.Time, v *fleet.Fleet) { list = v.Presences(now, m.Sources) })
	if len(list) > 0 {
		f.sendTo(from, msg.Presences{List: list})
	}
}
