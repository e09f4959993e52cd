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
	// configRoundInterval is the interval between the rounds in which an instance checks which
	// version is in force.
	configRoundInterval = 500 * time.Millisecond
	// configReaders is the number of instances per data centre that read ConfigRow in each
	// round. The other instances of the data centre poll these readers.
	configReaders = 2
	// staleAfter is the age of the last confirmation above which an instance reads ConfigRow
	// itself and polls the readers of every data centre.
	staleAfter = 1200 * time.Millisecond
	// staleReadInterval is the minimum interval of these reads.
	staleReadInterval = time.Second
	// confirmTTL is how long after a confirmation an instance accepts requests. It bounds how
	// long two versions can be in force at the same time.
	confirmTTL = 3 * time.Second
	// pollTimeout is the timeout of a poll of a reader.
	pollTimeout = time.Second
)

// ConfigPointer is the value of ConfigRow. It names the configuration version in force.
type ConfigPointer struct {
	Number   int64  `json:"number"`
	Hash     string `json:"hash"`
	ApplyID  string `json:"apply_id"`
	Operator string `json:"operator"`
	// Cordoned lists the cordoned data centres. A change of the cordons is a new version with the
	// same hash, so that it is distributed and confirmed like any change and never reverted by
	// a late message.
	Cordoned []string `json:"cordoned,omitempty"`
}

// configSync keeps this instance at the configuration version in force.
//
// The age of a confirmation counts from the time at which its query was sent,
// on this instance's own clock. A reply that waited in a socket while the
// instance was frozen, or in a stalled link, therefore has its true age on
// arrival. If the age counted from the arrival, a reply from before a change
// would let the instance continue with the version that the change replaced.
type configSync struct {
	// lastRound is the time of the last round.
	lastRound time.Time
	// confirmed is the latest time at which certainly no newer version was in force.
	confirmed time.Time

	// lastQuery is the number of the last query, a read of the table or a poll of a reader.
	// queries holds the pending queries by number.
	lastQuery int64
	queries   map[int64]configQuery
	// lastRead is the time of the last read of the table. lastFailedRead is the send time of the
	// last read that failed, zero after a successful read.
	lastRead       time.Time
	lastFailedRead time.Time
	// replies holds the last reply of each polled instance.
	replies map[string]configReply
	// respondingSince is the time since which each data centre has replied without interruption.
	respondingSince map[string]time.Time
	// appliedAt is the time of the last change that was accepted through this instance.
	appliedAt time.Time

	// pending is the newer version being fetched; object is the encoded configuration in force.
	pending pendingConfig
	object  []byte
}

// newConfigSync returns a configSync that numbers its queries in another range than earlier boots
// of the instance did, as late replies to the queries of those may still arrive.
func newConfigSync(boot string) configSync {
	const runBits = 32
	first := int64(xxhash.Sum64String(boot) >> runBits << (runBits - 1))
	return configSync{lastQuery: first, queries: map[int64]configQuery{}, replies: map[string]configReply{}, respondingSince: map[string]time.Time{}}
}

// notReadyReason returns the reason why new requests must not be accepted, "" if
// there is none.
//
// An instance that was frozen or disconnected may hold a version that has been
// replaced. It would serve and charge callers by rules that are no longer in
// force. It accepts requests only while its last confirmation is younger than
// confirmTTL, so that no instance uses a version for longer than that after the
// next one was accepted. The exception is an outage of the table for all
// instances, as no change can be accepted then.
func (i *Instance) notReadyReason(now time.Time) string {
	switch {
	case i.drain.closed:
		return ReasonLeaving
	case i.version == nil:
		return ReasonNotReady
	case now.Sub(i.configs.confirmed) > confirmTTL && !i.tableDownEverywhere(now):
		return ReasonUnconfirmed
	}
	return ""
}

// tableDown reports whether this instance's reads of the table fail and it gets no confirmation from
// another instance.
func (i *Instance) tableDown(now time.Time) bool {
	s := &i.configs
	return now.Sub(s.lastFailedRead) <= confirmTTL && now.Sub(s.confirmed) > staleAfter
}

// tableDownEverywhere reports whether the table is unavailable to this instance and,
// as far as their replies show, to every other data centre.
//
// An instance that receives no reply from any other may be the only one that is
// disconnected and cannot detect that. The same holds for a data centre: the table
// may have accepted a change on the other side of a network partition. The result
// is therefore false unless there is a recent reply from every other data centre. A
// data centre that replies again after an interruption counts only after
// pollTimeout, once each of its readers has had time to reply, as the first reply
// may come from an instance that was disconnected or frozen as well.
func (i *Instance) tableDownEverywhere(now time.Time) bool {
	if !i.tableDown(now) || i.configs.pending.newer(i.ConfigNumber()) {
		return false
	}
	responding := map[string]bool{}
	for name, a := range i.configs.replies {
		if now.Sub(a.queriedAt) > confirmTTL {
			continue
		}
		if !a.tableDown {
			return false
		}
		m, _ := i.view.Member(name)
		since := i.configs.respondingSince[m.DataCentre]
		responding[m.DataCentre] = !since.IsZero() && now.Sub(since) >= pollTimeout
	}
	own := i.selfMember().DataCentre
	others := 0
	for _, name := range i.view.LiveInstances() {
		if name == i.self {
			continue
		}
		others++
		if m, _ := i.view.Member(name); m.DataCentre != own && !responding[m.DataCentre] {
			return false
		}
	}
	return others == 0 || slices.Contains(slices.Collect(maps.Values(responding)), true)
}

// tickConfig runs a round if it is due: the instance reads ConfigRow or polls a reader.
//
// If each of 390 instances read the row twice a second, that would be 780 of
// the platform's two thousand reads per second. Two readers in each of five data
// centres make 20.
func (i *Instance) tickConfig(now time.Time) {
	s := &i.configs
	if now.Sub(s.lastRound) < configRoundInterval {
		return
	}
	s.lastRound = now
	i.expireQueries(now)
	own := i.readers(now, i.selfMember().DataCentre)
	stale := now.Sub(s.confirmed) > staleAfter
	switch {
	case slices.Contains(own, i.self), stale && now.Sub(s.lastRead) >= staleReadInterval:
		i.readConfigRow(now)
	case !stale:
		i.pollReader(now, own[s.lastQuery%int64(len(own))])
	}
	if stale {
		i.pollAllDataCentres(now)
	}
	i.retryFetch(now)
	i.announceApplied(now)
}

func (i *Instance) onConfigRow(now time.Time, e ReadResult) {
	_, id, _ := strings.Cut(e.Op, ":")
	n, _ := strconv.ParseInt(id, 10, 64) // readConfigRow wrote the number, so that it always parses
	at, ok := i.configs.takeQuery(n, "")
	if !ok {
		return
	}
	if !e.OK {
		i.configs.lastFailedRead = at
		i.count("config_reads_failed_total", "table")
		return
	}
	i.configs.lastFailedRead = time.Time{}
	row := table.Result{Rows: e.Rows}.Find(ConfigRow)
	var p ConfigPointer
	if row.Version == 0 {
		return
	}
	if err := json.Unmarshal(row.Value, &p); err != nil {
		i.count("config_reads_failed_total", "decode")
		return
	}
	i.observeVersion(now, p, at, i.self)
}

func (i *Instance) onConfigRequest(now time.Time, from string, m msg.ConfigRequest) {
	i.emit(Send{To: from, Address: m.Address, Msg: i.configUpdate(now, m.Number)})
}

func (i *Instance) configUpdate(now time.Time, query int64) msg.ConfigVersion {
	return msg.ConfigVersion{
		Number: i.ConfigNumber(), Hash: i.ConfigHash(), Cordoned: i.cordons.DataCentres,
		ConfirmedAge: now.Sub(i.configs.confirmed), Request: query, TableDown: i.tableDown(now),
	}
}

func (i *Instance) onConfigVersion(now time.Time, from string, m msg.ConfigVersion) {
	p := ConfigPointer{Number: m.Number, Hash: m.Hash, Cordoned: m.Cordoned}
	sentAt, ok := i.configs.takeQuery(m.Request, from)
	if !ok { // an announcement or a late reply: its version may be new, but it confirms nothing
		i.observeVersion(now, p, time.Time{}, from)
		return
	}
	i.configs.replies[from] = configReply{queriedAt: sentAt, tableDown: m.TableDown}
	if member, _ := i.view.Member(from); i.configs.respondingSince[member.DataCentre].IsZero() {
		i.configs.respondingSince[member.DataCentre] = now
	}
	i.observeVersion(now, p, sentAt.Add(-m.ConfirmedAge), from)
}

// ConfirmedAge returns the time since the last confirmation that no newer version was in force.
func (i *Instance) ConfirmedAge(now time.Time) time.Duration { return now.Sub(i.configs.confirmed) }

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

// Requests returns the number of requests in progress at this entry.
func (i *Instance) Requests() int { return len(i.requests) }

// Instances returns the number of live instances in this instance's view.
func (i *Instance) Instances() int { return len(i.view.LiveInstances()) }

// Ready reports whether the instance accepts requests.
func (i *Instance) Ready(now time.Time) bool { return i.notReadyReason(now) == "" }
