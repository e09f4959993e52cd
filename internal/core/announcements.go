package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// announceInterval is the interval at which an entry announces its running attempts to the homes
// of their pools.
const announceInterval = time.Second

// announcer is the state of the periodic announcements of running attempts.
type announcer struct {
	lastSent time.Time
}

func (i *Instance) selfMember() membership.Member {
	m, _ := i.view.Member(i.self)
	return m
}

// tickAnnouncements announces the running attempts to the homes of their pools.
func (i *Instance) tickAnnouncements(now time.Time) {
	if now.Sub(i.announcer.lastSent) < announceInterval {
		return
	}
	i.announcer.lastSent = now
	type target struct{ home, pool string }
	byHome := map[target][]msg.RunningAttempt{}
	var targets []target
	for _, id := range sortedNames(i.requests) {
		r := i.requests[id]
		if !r.isAnnounced() {
			continue
		}
		pool := r.currentPool()
		r.place.home = i.poolHomeName(now, pool)
		t := target{home: r.place.home, pool: pool.Name}
		if byHome[t] == nil {
			targets = append(targets, t)
		}
		byHome[t] = append(byHome[t], r.announcement(i, now))
	}
	for _, t := range targets {
		i.send(t.home, msg.Announce{Pool: t.pool, Running: byHome[t]})
	}
}
