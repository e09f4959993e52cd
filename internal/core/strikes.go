package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

const (
	// strikeTTL is how long a crash counts against a fingerprint.
	strikeTTL = 10 * time.Minute
	// strikeSyncInterval is the interval at which an instance asks another one, in turn, for
	// its strikes; strikesFirst is the number asked at the start.
	strikeSyncInterval = 5 * time.Second
	strikesFirst       = 3
	// maxStrikes bounds the strikes in an answer.
	maxStrikes = 512
)

// strikeSync distributes strikes to instances that missed them. Without it, each home that
// takes over would allow a request two more crashes.
type strikeSync struct {
	asked time.Time
	next  int
}

// strike records a crash against a fingerprint and tells every instance.
func (i *Instance) strike(now time.Time, print uint64, c suspect.Crash) {
	if print == 0 || !i.suspects.Strike(now, suspect.Strike{Fingerprint: print, Crash: c, At: now}) {
		return
	}
	i.count("strikes_total", c.Upstream)
	i.broadcast(msg.Strike{Fingerprint: print, Upstream: c.Upstream, Boot: c.Boot})
}

func (i *Instance) onStrike(now time.Time, m msg.Strike) {
	i.suspects.Strike(now, suspect.Strike{
		Fingerprint: m.Fingerprint, Crash: suspect.Crash{Upstream: m.Upstream, Boot: m.Boot}, At: now.Add(-m.Age),
	})
}

func (i *Instance) tickStrikes(now time.Time) {
	if !i.strikes.asked.IsZero() && now.Sub(i.strikes.asked) < strikeSyncInterval {
		return
	}
	others := i.others()
	if len(others) == 0 {
		return
	}
	n := 1
	if i.strikes.asked.IsZero() {
		n = min(strikesFirst, len(others))
	}
	i.strikes.asked = now
	for range n {
		i.send(others[i.strikes.next%len(others)], msg.StrikesAsk{})
		i.strikes.next++
	}
}

// others lists the other live instances, starting after this one by name, so that not all ask
// the same one.
func (i *Instance) others() []string {
	var before, after []string
	for _, name := range i.view.Entries() {
		switch {
		case name < i.self:
			before = append(before, name)
		case name > i.self:
			after = append(after, name)
		}
	}
	return append(after, before...)
}

func (i *Instance) onStrikesAsk(now time.Time, from string) {
	var m msg.Strikes
	for _, s := range i.suspects.Recent(now, maxStrikes) {
		m.List = append(m.List, msg.Strike{
			Fingerprint: s.Fingerprint, Upstream: s.Crash.Upstream, Boot: s.Crash.Boot, Age: now.Sub(s.At),
		})
	}
	if len(m.List) > 0 {
		i.send(from, m)
	}
}

func (i *Instance) onStrikes(now time.Time, m msg.Strikes) {
	for _, s := range m.List {
		i.onStrike(now, s)
	}
}
