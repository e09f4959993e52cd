package core

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// ConfigRow is the table key of the configuration in force.
	ConfigRow = "config/current"
	// followInterval is the interval between rounds.
	followInterval = 500 * time.Millisecond
	// configReaders is the number of instances per data centre that read the row in each
	// round; the others poll them.
	configReaders = 2
	// unsureAfter is the age of the confirmation from which an instance reads the row itself
	// and polls the readers of every data centre.
	unsureAfter = 1200 * time.Millisecond
	// unsureReadInterval is the interval of these reads.
	unsureReadInterval = time.Second
	// confirmTTL is how long a confirmation permits accepting requests. It bounds how long two
	// versions can be in force.
	confirmTTL = 3 * time.Second
	// pollTimeout is the timeout of a poll.
	pollTimeout = time.Second
)

// ConfigPointer is the value of ConfigRow.
type ConfigPointer struct {
	Number   int64  `json:"number"`
	Hash     string `json:"hash"`
	ApplyID  string `json:"apply_id"`
	Operator string `json:"operator"`
	// Cordoned lists the cordoned data centres. A cordon is a version of its own with the same
	// hash, so that it is followed and confirmed like a configuration and never reverted.
	Cordoned []string `json:"cordoned,omitempty"`
}

// follower follows the configuration in force.
//
// Every confirmation counts from the moment at which its question was sent,
// on this instance's own clock. What waits in a socket while the instance is
// frozen, or in a link that stalls, is thus as old on arrival as it really is;
// counted from its arrival, an answer from before a change would let the
// instance go on with the version that the change replaced.
type follower struct {
	round time.Time
	// confirmed is the latest time at which certainly no newer version was in force.
	confirmed time.Time

	// calls numbers reads and polls; sent holds those in progress.
	calls int64
	sent  map[int64]configCall
	// read is the time of the last read, down that of the last one that failed; zero after a
	// success.
	read time.Time
	down time.Time
	// answers holds the last answer of each polled instance.
	answers map[string]configAnswer
	// heard is the time since which each data centre has answered without interruption.
	heard map[string]time.Time
	// applied is the time of the last change accepted through this instance.
	applied time.Time

	want   wanted
	object []byte
}

// newFollower returns a follower whose calls are numbered apart from those of earlier runs,
// whose answers may be late.
func newFollower(boot string) follower {
	const runBits = 32
	first := int64(xxhash.Sum64String(boot) >> runBits << (runBits - 1))
	return follower{calls: first, sent: map[int64]configCall{}, answers: map[string]configAnswer{}, heard: map[string]time.Time{}}
}

// unready returns why new requests must not be accepted, or "".
//
// An instance that was frozen or cut off may hold a version that has been
// replaced: its callers would be served and charged by rules that are no longer
// in force. It accepts requests only while a confirmation is younger than
// confirmTTL, so that a version is out of force everywhere that long after
// another was accepted; or while the table answers nobody, as then no change
// can be accepted either.
func (i *Instance) unready(now time.Time) string {
	switch {
	case i.drain.closed:
		return ReasonLeaving
	case i.version == nil:
		return ReasonNotReady
	case now.Sub(i.follow.confirmed) > confirmTTL && !i.tableDownForAll(now):
		return ReasonUnconfirmed
	}
	return ""
}

// tableDown reports whether this instance's reads fail and no other confirms.
func (i *Instance) tableDown(now time.Time) bool {
	f := &i.follow
	return now.Sub(f.down) <= confirmTTL && now.Sub(f.confirmed) > unsureAfter
}

// tableDownForAll reports whether the table answers nobody: neither this
// instance nor one of each other data centre. An instance that hears no other
// may be the only one that is cut off, and can't tell. So may a data centre
// that hears no other: the table may have accepted a change beyond the cut. A
// data centre that is heard again counts once each of its readers has had the
// time to answer: the first may be one that was cut off or frozen as well.
func (i *Instance) tableDownForAll(now time.Time) bool {
	if !i.tableDown(now) || i.follow.want.newer(i.ConfigNumber()) {
		return false
	}
	heard := map[string]bool{}
	for name, a := range i.follow.answers {
		if now.Sub(a.asked) > confirmTTL {
			continue
		}
		if !a.down {
			return false
		}
		m, _ := i.view.Member(name)
		since := i.follow.heard[m.DataCentre]
		heard[m.DataCentre] = !since.IsZero() && now.Sub(since) >= pollTimeout
	}
	own := i.selfMember().DataCentre
	others := 0
	for _, name := range i.view.Entries() {
		if name == i.self {
			continue
		}
		others++
		if m, _ := i.view.Member(name); m.DataCentre != own && !heard[m.DataCentre] {
			return false
		}
	}
	return others == 0 || slices.Contains(slices.Collect(maps.Values(heard)), true)
}

// tickFollow runs a round: reads the row or asks who does.
//
// If each of 390 instances read the row twice a second, that would be 780 of
// the platform's two thousand reads. Two readers in each of five data centres
// make 20.
func (i *Instance) tickFollow(now time.Time) {
	f := &i.follow
	if now.Sub(f.round) < followInterval {
		return
	}
	f.round = now
	i.dropLostCalls(now)
	own := i.readers(now, i.selfMember().DataCentre)
	unsure := now.Sub(f.confirmed) > unsureAfter
	switch {
	case slices.Contains(own, i.self), unsure && now.Sub(f.read) >= unsureReadInterval:
		i.readConfigRow(now)
	case !unsure:
		i.askConfig(now, own[f.calls%int64(len(own))])
	}
	if unsure {
		i.askEveryDataCentre(now)
	}
	i.fetchAgain(now)
	i.announceApplied(now)
}

func (i *Instance) onConfigRow(now time.Time, e ReadResult) {
	_, id, _ := strings.Cut(e.Op, ":")
	n, _ := strconv.ParseInt(id, 10, 64) // written by readConfigRow
	at, ok := i.follow.answered(n, "")
	if !ok {
		return
	}
	if !e.OK {
		i.follow.down = at
		i.count("config_reads_failed_total", "table")
		return
	}
	i.follow.down = time.Time{}
	row := table.Result{Rows: e.Rows}.Find(ConfigRow)
	var p ConfigPointer
	if row.Version == 0 {
		return
	}
	if err := json.Unmarshal(row.Value, &p); err != nil {
		i.count("config_reads_failed_total", "decode")
		return
	}
	i.learn(now, p, at, i.self)
}

func (i *Instance) onConfigAsk(now time.Time, from string, m msg.ConfigAsk) {
	i.emit(Send{To: from, Address: m.Address, Msg: i.configTold(now, m.Ask)})
}

func (i *Instance) configTold(now time.Time, ask int64) msg.ConfigTold {
	return msg.ConfigTold{
		Number: i.ConfigNumber(), Hash: i.ConfigHash(), Cordoned: i.cordons.DataCentres,
		Confirmed: now.Sub(i.follow.confirmed), Ask: ask, Down: i.tableDown(now),
	}
}

func (i *Instance) onConfigTold(now time.Time, from string, m msg.ConfigTold) {
	p := ConfigPointer{Number: m.Number, Hash: m.Hash, Cordoned: m.Cordoned}
	asked, ok := i.follow.answered(m.Ask, from)
	if !ok { // told unasked, or late: it may be new, but it confirms nothing
		i.learn(now, p, time.Time{}, from)
		return
	}
	i.follow.answers[from] = configAnswer{asked: asked, down: m.Down}
	if member, _ := i.view.Member(from); i.follow.heard[member.DataCentre].IsZero() {
		i.follow.heard[member.DataCentre] = now
	}
	i.learn(now, p, asked.Add(-m.Confirmed), from)
}

// ConfirmedAge is how long ago it was last certain that no newer version was in force.
func (i *Instance) ConfirmedAge(now time.Time) time.Duration { return now.Sub(i.follow.confirmed) }

// ConfigNumber returns the number of the version in force, 0 for none.
func (i *Instance) ConfigNumber() int64 {
	if i.version == nil {
		return 0
	}
	return i.version.Number
}

// ConfigHash returns the hash of the version in force.
func (i *Instance) ConfigHash() string {
	if i.version == nil {
		return ""
	}
	return i.version.Hash
}

// Requests returns how many requests are in progress at this entry.
func (i *Instance) Requests() int { return len(i.requests) }

// Instances returns how many live instances this one knows.
func (i *Instance) Instances() int { return len(i.view.Entries()) }

// Ready reports whether the instance accepts requests.
func (i *Instance) Ready(now time.Time) bool { return i.unready(now) == "" }
