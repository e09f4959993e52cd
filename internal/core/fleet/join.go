package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// seedTimeout is how long a starting instance waits for seeds before it reads the members
	// from the store.
	seedTimeout = time.Second
	// seedRetryInterval is the interval between requests to unresponsive seeds.
	seedRetryInterval = 100 * time.Millisecond
	// A joining instance asks seeds again, for up to settleTimeout, while answers still grow
	// the known fleet by more than 1/settledGrowth: after a full restart hundreds of instances
	// start within a few tenths of a second and the first answers are incomplete.
	settleTimeout = 700 * time.Millisecond
	settledGrowth = 8
	// introducedFar is the number of instances of each other data centre that a joining
	// instance of a large fleet is told about.
	introducedFar = 4
	// sizeHintTTL is how long a reported fleet size is used.
	sizeHintTTL = 5 * time.Second
	// settledAge is the uptime after which an instance may act on behalf of the fleet.
	settledAge = 1500 * time.Millisecond
	// syncInterval is the interval between member list comparisons with another instance; the
	// first syncEarly comparisons follow sooner.
	syncInterval = 15 * time.Second
	syncFirst    = 500 * time.Millisecond
	syncEarly    = 2
	// registerAfter is the uptime after which a relay or reader writes its row.
	registerAfter = 2 * time.Second
)

// JoinStep is the next action of a joining instance.
type JoinStep int

// Steps of joining.
const (
	// JoinWait: nothing to do yet.
	JoinWait JoinStep = iota
	// JoinAskSeeds: request the member list from the seeds.
	JoinAskSeeds
	// JoinByStore: the seeds are unresponsive; read the members from the store.
	JoinByStore
	// JoinDone: the members are known.
	JoinDone
)

// Join is the state machine of an instance joining the fleet, through the seeds in its
// settings or else through the store. Joining through the store does not scale to hundreds of
// simultaneous starts: writes to one table partition are serialised.
type Join struct {
	seeds   bool
	started time.Time
	asked   time.Time
	// answers counts useful answers, known the members after the last one.
	answers int
	known   int
	// settled is set once the member list is complete.
	settled bool
}

// NewJoin starts joining; seeds tells whether there are any.
func NewJoin(now time.Time, seeds bool) *Join { return &Join{seeds: seeds, started: now} }

// Next returns the next action.
func (j *Join) Next(now time.Time) JoinStep {
	age := now.Sub(j.started)
	switch {
	case j.settled, j.answers > 0 && age >= settleTimeout:
		return JoinDone
	case !j.seeds, age >= seedTimeout:
		return JoinByStore
	case j.asked.IsZero() || now.Sub(j.asked) >= seedRetryInterval:
		j.asked = now
		return JoinAskSeeds
	}
	return JoinWait
}

// Answered processes a seed's answer; known is the resulting number of known instances. An
// isolated seed, which has lost contact with most instances, does not count: it may be on the
// minority side of a partition. A seed that has just started itself is asked again until its
// answers stop growing.
func (j *Join) Answered(a msg.JoinAnswer, known int) {
	if a.Isolated {
		return
	}
	j.answers++
	grown := known - j.known
	j.known = known
	if a.Settled || j.answers > 1 && grown*settledGrowth <= known {
		j.settled = true
	}
}

// JoinAsk returns the request for another instance's member list.
func (f *Fleet) JoinAsk() msg.JoinAsk { return msg.JoinAsk{Sender: f.self, Known: f.digest()} }

// JoinAnswer answers a JoinAsk. ready is set once this instance has joined.
func (f *Fleet) JoinAnswer(ask msg.JoinAsk, ready bool) msg.JoinAnswer {
	a := msg.JoinAnswer{
		Settled:  ready && f.self.Settled,
		Isolated: len(f.members)-len(f.live) > len(f.live)+1 && f.self.Settled,
	}
	if ask.Known == f.digest() {
		return a
	}
	a.Size = len(f.live) + 1
	a.Instances = append(a.Instances, f.self)
	for _, name := range f.introduced(ask.Sender.DataCentre) {
		a.Instances = append(a.Instances, f.members[name].Heartbeat)
	}
	return a
}

// introduced lists the instances that a joining instance must know: all, or in a large fleet
// those of its data centre and a few potential relays of each other one.
func (f *Fleet) introduced(dataCentre string) []string {
	if !f.large() {
		return f.live
	}
	ofEach := map[string][]msg.Heartbeat{}
	var out []string
	for _, name := range f.live {
		m := f.members[name]
		if m.DataCentre == dataCentre {
			out = append(out, name)
		} else {
			ofEach[m.DataCentre] = append(ofEach[m.DataCentre], m.Heartbeat)
		}
	}
	for _, list := range ofEach {
		slices.SortStableFunc(list, func(a, b msg.Heartbeat) int { return cmp.Compare(b.Class, a.Class) })
		for _, b := range list[:min(len(list), introducedFar)] {
			out = append(out, b.Name)
		}
	}
	return out
}

// Told records the fleet size reported by another instance; this one may still know a part
// only.
func (f *Fleet) Told(now time.Time, size int) {
	if size > len(f.members)+1 {
		f.sizeHint, f.sizeHintAt = size, now
	}
}

// digest is an order-independent hash of the live instances.
func (f *Fleet) digest() uint64 {
	sum := xxhash.Sum64String(f.self.Name)
	for _, name := range f.live {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// SyncAfter returns the jittered delay before the next member list comparison, given the
// number of previous ones. Partitions and lost messages leave gaps in one instance's list.
func SyncAfter(times int) time.Duration {
	pause := syncInterval
	if times < syncEarly {
		pause = min(pause, syncFirst<<(2*times))
	}
	return pause/2 + rand.N(pause)
}

// MustRegister reports whether this instance needs a row in the store: instances whose seeds
// are gone find readers and relays there.
func (f *Fleet) MustRegister(now time.Time, s Sources) bool {
	return s.Relays && now.Sub(f.started) >= registerAfter
}
