package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

const (
	// seedTimeout is how long a starting instance waits for responses of seeds before it reads
	// the members from the store.
	seedTimeout = time.Second
	// seedRetryInterval is the interval between requests to the seeds.
	seedRetryInterval = 100 * time.Millisecond
	// A joining instance repeats its requests to the seeds, for up to growthTimeout, while the
	// responses still increase the number of known instances by more than 1/growthDivisor: after
	// a restart of all instances hundreds of them start within a few tenths of a second, and the
	// first responses are incomplete.
	growthTimeout = 700 * time.Millisecond
	growthDivisor = 8
	// farInstancesInResponse is the number of instances of each other data centre in the response to a
	// joining instance of a large fleet.
	farInstancesInResponse = 4
	// sizeHintTTL is how long a fleet size reported by another instance is used.
	sizeHintTTL = 5 * time.Second
	// eligibleAge is the uptime after which an instance may act on behalf of the fleet.
	eligibleAge = 1500 * time.Millisecond
	// syncInterval is the average interval between member list comparisons with another
	// instance. The intervals before the first earlySyncs comparisons start at
	// firstSyncInterval and quadruple.
	syncInterval      = 15 * time.Second
	firstSyncInterval = 500 * time.Millisecond
	earlySyncs        = 2
	// registerAfter is the uptime after which a relay or reader writes its row to the store.
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

// Join is the state machine of an instance that joins the fleet through the seeds in its
// settings, or else through the store. Joining through the store does not scale to hundreds
// of simultaneous starts, because writes to one table partition are serialised.
type Join struct {
	// hasSeeds is set if the settings name seeds.
	hasSeeds bool
	started  time.Time
	// requestedAt is when the seeds were last queried; zero if they were not.
	requestedAt time.Time
	// responses is the number of responses of seeds that are not isolated. known is the number of
	// known instances after the last such response.
	responses int
	known     int
	// complete is set once the member list is complete.
	complete bool
}

// NewJoin starts joining. hasSeeds is set if the settings name seeds.
func NewJoin(now time.Time, hasSeeds bool) *Join { return &Join{hasSeeds: hasSeeds, started: now} }

// Next returns the next action.
func (j *Join) Next(now time.Time) JoinStep {
	age := now.Sub(j.started)
	switch {
	case j.complete, j.responses > 0 && age >= growthTimeout:
		return JoinDone
	case !j.hasSeeds, age >= seedTimeout:
		return JoinByStore
	case j.requestedAt.IsZero() || now.Sub(j.requestedAt) >= seedRetryInterval:
		j.requestedAt = now
		return JoinAskSeeds
	}
	return JoinWait
}

// OnResponse processes a seed's response; known is the resulting number of known instances. The
// response of an isolated seed, which has lost contact with most instances, is ignored: the
// seed may be on the minority side of a partition. Seeds that have just started themselves
// are queried again until their responses hardly increase the number of known instances.
func (j *Join) OnResponse(a msg.JoinResponse, known int) {
	if a.Isolated {
		return
	}
	j.responses++
	grown := known - j.known
	j.known = known
	if a.Eligible || j.responses > 1 && grown*growthDivisor <= known {
		j.complete = true
	}
}

// JoinRequest returns a request for the member list of another instance.
func (f *Fleet) JoinRequest() msg.JoinRequest {
	return msg.JoinRequest{Sender: f.self, Digest: f.liveDigest()}
}

// JoinResponse returns the response to a JoinRequest. ready is set once this instance has joined.
// The response has no member list if the sender already has the same one.
func (f *Fleet) JoinResponse(req msg.JoinRequest, ready bool) msg.JoinResponse {
	a := msg.JoinResponse{
		Eligible: ready && f.self.Eligible,
		Isolated: len(f.members)-len(f.live) > len(f.live)+1 && f.self.Eligible,
	}
	if req.Digest == f.liveDigest() {
		return a
	}
	a.Size = len(f.live) + 1
	a.Instances = append(a.Instances, f.self)
	for _, name := range f.introduced(req.Sender.DataCentre) {
		a.Instances = append(a.Instances, f.members[name].Heartbeat)
	}
	return a
}

// introduced lists the live instances that a joining instance of a data centre must know: all, or
// in a large fleet those of its data centre and a few potential relays of each other one.
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
		for _, b := range list[:min(len(list), farInstancesInResponse)] {
			out = append(out, b.Name)
		}
	}
	return out
}

// SetSizeHint records the fleet size that another instance reported. This instance may know only a
// part of the fleet so far.
func (f *Fleet) SetSizeHint(now time.Time, size int) {
	if size > len(f.members)+1 {
		f.sizeHint, f.sizeHintAt = size, now
	}
}

// liveDigest returns an order-independent hash of the live instances' names.
func (f *Fleet) liveDigest() uint64 {
	sum := xxhash.Sum64String(f.self.Name)
	for _, name := range f.live {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// SyncAfter returns the delay, with jitter, before the next member list comparison; count is the
// number of previous ones. The comparisons are needed because partitions and lost messages leave
// gaps in an instance's list.
func SyncAfter(count int) time.Duration {
	interval := syncInterval
	if count < earlySyncs {
		interval = min(interval, firstSyncInterval<<(2*count))
	}
	return interval/2 + rand.N(interval)
}

// MustRegister reports whether this instance needs a row in the store. Instances whose seeds
// do not respond find readers and relays there.
func (f *Fleet) MustRegister(now time.Time, s watch.Choice) bool {
	return s.IsSource && now.Sub(f.started) >= registerAfter
}
