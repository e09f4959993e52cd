package fleet

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// levelBegins and levelEnds are the loads, in percent, from which an instance announces its load and
	// below which it stops. A machine that is half used has room for a surge of twice its load.
	levelBegins = 50
	levelEnds   = 40
	// levelStep is the change of the load, in percentage points, that is announced.
	levelStep = 10
	// levelMinInterval is the minimum interval between announcements, and levelRepeat that of
	// announcements of an unchanged load.
	levelMinInterval = 500 * time.Millisecond
	levelRepeat      = 2 * time.Second
	// levelIntervalPerInstance, multiplied by the number of instances, is the minimum interval in a
	// large fleet. If all instances are loaded, it limits the announcements that arrive at an instance
	// to 200 a second.
	levelIntervalPerInstance = 5 * time.Millisecond
)

// level is the load that an instance has announced of itself.
type level struct {
	elevated bool
	// stated is the announced load in percent, at the time of the announcement.
	stated int
	at     time.Time
}

// LevelStep classifies an announcement of an instance's own load.
type LevelStep int

// Steps of a level.
const (
	// LevelSilent: there is nothing to announce.
	LevelSilent LevelStep = iota
	// LevelRepeated: the load is unchanged and announced again, so that it does not expire.
	LevelRepeated
	// LevelChanged: the load became elevated, changed, or is no longer elevated.
	LevelChanged
)

// observe processes the measured load and returns what is to be announced. interval is the minimum
// interval between announcements.
func (l *level) observe(now time.Time, percent int, interval time.Duration) LevelStep {
	since := now.Sub(l.at)
	switch {
	case !l.elevated && percent < levelBegins:
		return LevelSilent
	case !l.at.IsZero() && since < interval:
		return LevelSilent
	case l.elevated && percent < levelEnds:
		l.elevated, l.stated, l.at = false, 0, now
		return LevelChanged
	case !l.elevated || max(percent-l.stated, l.stated-percent) >= levelStep:
		l.elevated, l.stated, l.at = true, percent, now
		return LevelChanged
	case since >= levelRepeat:
		l.stated, l.at = percent, now
		return LevelRepeated
	}
	return LevelSilent
}

// ObserveOwnLoad processes the measured load of this instance, in percent. Unless the step is
// LevelSilent, it returns the announcement and the instances to which it must be sent.
func (f *Fleet) ObserveOwnLoad(now time.Time, percent int) (m msg.InstanceLoad, to []string, step LevelStep) {
	if f.without.Has(mechanism.RoomWeights) {
		return m, nil, LevelSilent
	}
	interval := max(levelMinInterval, min(levelRepeat, time.Duration(f.Size())*levelIntervalPerInstance))
	if step = f.level.observe(now, percent, interval); step == LevelSilent {
		return m, nil, step
	}
	m = msg.InstanceLoad{Name: f.self.Name, Boot: f.self.Boot, Percent: f.level.stated}
	f.OnInstanceLoad(now, m)
	for _, name := range f.live {
		if f.UnderstandsLoad(name) {
			to = append(to, name)
		}
	}
	return m, to, step
}
