package watch_test

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/watch"
)

// The simulation runs instances in virtual time, with the real Fleet, Follower and Held, in front of a
// store in which versions are written all the time. To run more:
//
//	go test ./internal/core/watch -run InTouch -bound.seed=7 -bound.seeds=50 -bound.instances=400 -v
var (
	boundSeed      = flag.Uint64("bound.seed", 1, "first seed of the simulation")
	boundSeeds     = flag.Int("bound.seeds", 4, "number of consecutive seeds")
	boundInstances = flag.Int("bound.instances", 0, "number of instances; 0 runs the sizes of the test")
)

// boundRegressions are seeds that failed in the past, by the number of instances, each with its cause.
var boundRegressions = map[int][]uint64{
	// Sources that did not respond were queried again before the store had been queried.
	70: {26, 60},
}

const (
	simStep    = 10 * time.Millisecond
	simLength  = 20 * time.Second
	linkDelay  = 2 * time.Millisecond
	storeDelay = 4 * time.Millisecond
	// settleTime is the time without a disturbance after which an instance is in touch.
	settleTime = 3 * time.Second
)

// event is something that happens at a time in a simulation. Events of the same time happen in order.
type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return cmp.Or(e[a].at.Compare(e[b].at), e[a].number-e[b].number) < 0
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim is a store and the instances that follow it.
type sim struct {
	t      *testing.T
	now    time.Time
	rand   *rand.Rand
	queue  events
	events int
	timing watch.Timing
	nodes  []*node
	// acked holds the time at which each version was acknowledged; version k+1 is at index k.
	acked []time.Time
	// reads counts the calls to the store. longest is the longest time after which an instance in touch
	// had a version in force.
	reads   int
	longest time.Duration
}

// poll is a query between instances, and version that of the requester.
type poll struct{ number, version int64 }

// node is an instance with the faults that are injected into it.
type node struct {
	*sim
	name, dc string
	view     *fleet.Fleet
	follower *watch.Follower
	held     *watch.Held[poll]
	// version is in force, and was confirmed as of confirmed.
	version   int64
	confirmed time.Time
	choice    watch.Choice
	beatAt    time.Time
	checkAt   time.Time
	// The store does not respond until noStore, the process stands still until frozen, no message passes
	// until cut, and messages from the instance are late until slow. calmSince is the end of the last
	// disturbance.
	noStore, frozen, cut, slow, calmSince time.Time
	inbox                                 []func()
	boot                                  int
}

func newSim(t *testing.T, seed uint64, n int) *sim {
	s := &sim{t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, uint64(n))), timing: watch.NewTiming(0)}
	s.acked = []time.Time{s.now}
	for k := range n {
		s.nodes = append(s.nodes, &node{sim: s, name: fmt.Sprintf("entry-%d", k), dc: fmt.Sprintf("dc-%d", k%3)})
	}
	for _, x := range s.nodes {
		x.start()
	}
	return s
}

// start starts the process of an instance, which knows the others.
func (x *node) start() {
	x.boot++
	x.view = fleet.New(x.now, x.heartbeat(), map[string]string{"dc-0": "r", "dc-1": "r", "dc-2": "r"}, mechanism.Set(0))
	for _, other := range x.nodes {
		if other != x {
			x.view.Introduce(x.now, other.heartbeat())
		}
	}
	x.follower, x.held = watch.NewFollower(x.timing, x.rand.Int64N(1<<40)), watch.NewHeld[poll](x.timing)
	x.version, x.confirmed, x.inbox = 0, time.Time{}, nil
	if x.now.After(x.calmSince) {
		x.calmSince = x.now
	}
	x.beatAt, x.checkAt = x.now, x.now.Add(time.Duration(x.rand.IntN(100))*time.Millisecond)
}

func (x *node) heartbeat() msg.Heartbeat {
	return msg.Heartbeat{Name: x.name, DataCentre: x.dc, Boot: fmt.Sprint(x.boot), Ready: true, StoreReachable: true, Class: msg.ClassOfRelease(4)}
}

func (s *sim) after(d time.Duration, do func()) {
	s.events++
	heap.Push(&s.queue, event{at: s.now.Add(d), number: s.events, do: do})
}

// send delivers a message of x to another instance.
func (x *node) send(to string, do func(to *node)) {
	delay := linkDelay
	if x.now.Before(x.slow) {
		delay += time.Duration(x.rand.IntN(1500)) * time.Millisecond
	}
	k := slices.IndexFunc(x.nodes, func(y *node) bool { return y.name == to })
	if k < 0 || x.now.Before(x.cut) {
		return
	}
	y, boot := x.nodes[k], x.nodes[k].boot
	x.after(delay, func() {
		switch {
		case y.boot != boot || y.now.Before(y.cut):
		case y.now.Before(y.frozen):
			y.inbox = append(y.inbox, func() { do(y) })
		default:
			do(y)
		}
	})
}

// advance runs all instances for some time.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
			heap.Pop(&s.queue).(event).do()
		}
		for _, x := range s.nodes {
			if !x.now.Before(x.frozen) {
				x.tick()
			}
			x.check()
		}
	}
}

func (x *node) tick() {
	for _, do := range x.inbox {
		do()
	}
	x.inbox = nil
	if !x.now.Before(x.checkAt) {
		x.checkAt = x.now.Add(100 * time.Millisecond)
		x.beat()
		x.view.Tick(x.now)
		x.choice = x.view.Sources(x.now, false)
		x.respondToHeld()
	}
	due, _ := x.follower.Due(x.now, watch.State{Choice: x.choice, Confirmed: x.confirmed})
	for _, q := range due {
		x.query(q)
	}
}

// beat sends heartbeats and announcements that are due.
func (x *node) beat() {
	x.view.SetSelf(x.now, true, false, x.follower.ReachesStore())
	self := x.view.Self()
	if !x.now.Before(x.beatAt) {
		x.beatAt = x.now.Add(max(x.view.HeartbeatInterval(x.dc), 400*time.Millisecond))
		for _, m := range x.view.Others() {
			if x.view.HeartbeatInterval(m.DataCentre) > 0 {
				x.send(m.Name, func(y *node) { y.view.OnHeartbeat(y.now, self) })
			}
		}
	}
	for _, a := range x.view.Announcements(x.now) {
		for _, to := range a.To {
			x.send(to, func(y *node) { y.onPresences(x, a.List) })
		}
	}
}

func (x *node) onPresences(from *node, list []msg.Presence) {
	for _, p := range list {
		if !x.view.OnPresence(x.now, p) {
			for _, full := range from.view.Presences(x.now, []string{p.Source}) {
				x.view.OnPresence(x.now, full)
			}
		}
	}
}

// query sends a query to the store or to an instance.
func (x *node) query(q watch.Query) {
	if q.Source != watch.Store {
		p := poll{number: q.Number, version: x.version}
		x.send(q.Source, func(y *node) { y.onPoll(x.name, p, q.Hold) })
		return
	}
	x.reads++
	boot, read := x.boot, int64(len(x.acked))
	delay, fails := storeDelay, x.now.Before(x.noStore) || x.now.Before(x.cut)
	if fails {
		delay = x.timing.StoreTimeout
	}
	sentAt := x.now
	x.after(delay, func() {
		done := func() {
			switch {
			case x.boot != boot:
			case fails:
				x.follower.OnFailure(x.now, q.Number)
			default:
				x.follower.OnResponse(x.now, q.Number, sentAt)
				x.adopt(read, sentAt)
			}
		}
		if x.now.Before(x.frozen) {
			x.inbox = append(x.inbox, done)
			return
		}
		done()
	})
}

func (x *node) adopt(version int64, asOf time.Time) {
	if version < x.version {
		return
	}
	for k := x.version; k < version; k++ {
		if x.inTouch() {
			x.longest = max(x.longest, x.now.Sub(x.acked[k]))
		}
	}
	x.version = version
	if asOf.After(x.confirmed) {
		x.confirmed = asOf
	}
	x.respondToHeld()
}

func (x *node) onPoll(from string, p poll, hold time.Duration) {
	if x.version > p.version || x.version > 0 && x.held.HasNews(x.now, from, x.confirmed) {
		x.respond(from, p, x.now)
		return
	}
	x.held.Add(x.now, from, p, hold, x.confirmed)
}

func (x *node) respondToHeld() {
	waiting := x.held.Waiting()
	slices.SortFunc(waiting, func(a, b watch.HeldQuery[poll]) int { return cmp.Compare(a.From, b.From) })
	for _, q := range waiting {
		if (x.version > q.Message.version || x.held.IsDue(x.now, q, x.confirmed)) && x.held.Remove(q) {
			x.respond(q.From, q.Message, q.Arrived)
		}
	}
}

func (x *node) respond(to string, p poll, arrived time.Time) {
	x.held.Told(to, x.confirmed)
	age, version, from := msg.AgeAt(arrived, x.confirmed), x.version, x.name
	x.send(to, func(y *node) {
		sentAt, _, ok := y.follower.Sent(from, p.number)
		switch {
		case !ok:
		case version == 0:
			y.follower.OnResponse(y.now, p.number, time.Time{})
		default:
			y.follower.OnResponse(y.now, p.number, sentAt.Add(-age))
			y.adopt(version, sentAt.Add(-age))
		}
	})
}

func (x *node) inTouch() bool {
	return !x.now.Before(x.calmSince.Add(settleTime)) && len(x.acked) > 1
}

// check fails the test if an instance in touch lacks a version that the bound demands, or believes that
// its state is newer than it is.
func (x *node) check() {
	if x.version > 0 && int(x.version) < len(x.acked) && x.acked[x.version].Before(x.confirmed) {
		x.t.Fatalf("%s confirms version %d as of %v, when version %d had been acknowledged", x.name, x.version, x.confirmed, x.version+1)
	}
	if !x.inTouch() || int(x.version) >= len(x.acked) {
		return
	}
	if late := x.now.Sub(x.acked[x.version]); late > x.timing.Bound {
		x.t.Fatalf("%s is in touch and lacks version %d, acknowledged %v ago; choice %+v", x.name, x.version+1, late, x.choice)
	}
}

// disturb injects a random fault into some instances, first into the readers and those that succeed them.
func (s *sim) disturb(count int) {
	victims := s.firstInOrder(min(count, len(s.nodes)-1))
	kind, until := s.rand.IntN(5), s.now.Add(time.Duration(500+s.rand.IntN(5500))*time.Millisecond)
	for _, x := range victims {
		x.suffer(kind, until)
	}
}

// firstInOrder returns instances in the order in which they read the store, and then others.
func (s *sim) firstInOrder(count int) []*node {
	order := []string{}
	for _, x := range s.nodes {
		if !s.now.Before(x.calmSince) {
			order = append(slices.Clone(x.view.Readers(s.now)), x.choice.Successors...)
			break
		}
	}
	s.rand.Shuffle(len(s.nodes), func(a, b int) { s.nodes[a], s.nodes[b] = s.nodes[b], s.nodes[a] })
	rank := func(x *node) int {
		if k := slices.Index(order, x.name); k >= 0 {
			return k
		}
		return len(order)
	}
	victims := slices.Clone(s.nodes)
	slices.SortStableFunc(victims, func(a, b *node) int { return rank(a) - rank(b) })
	return victims[:count]
}

// suffer disturbs an instance until a time.
func (x *node) suffer(kind int, until time.Time) {
	if until.After(x.calmSince) {
		x.calmSince = until
	}
	switch kind {
	case 0:
		x.noStore = until
	case 1:
		x.frozen = until
	case 2:
		x.cut = until
	case 3:
		x.slow = until
	case 4: // it loses power and starts again
		x.cut = until
		x.boot++
		x.frozen = until
		boot := x.boot
		x.after(until.Sub(x.now), func() {
			if x.boot == boot { // otherwise it has lost power again meanwhile
				x.start()
			}
		})
	}
}

// write acknowledges versions at random intervals until a time.
func (s *sim) write(until time.Time) {
	if s.now.Before(until) {
		s.acked = append(s.acked, s.now)
		s.after(time.Duration(50+s.rand.IntN(700))*time.Millisecond, func() { s.write(until) })
	}
}

// Instances lose the store, freeze, are cut off, respond late or lose power, one, two or a third of them at
// a time, first those on which the others rely. Their failures must not add up: every instance in
// touch, which reaches the store itself, must have each version in force within the bound, and no
// instance may take an older state for the newest.
func TestEveryInstanceInTouchHasEachVersionInForceWithinTheBound(t *testing.T) {
	sizes := []int{2, 3, 18, 70}
	if *boundInstances > 0 {
		sizes = []int{*boundInstances}
	}
	for _, n := range sizes {
		seeds := slices.Clone(boundRegressions[n])
		for k := range *boundSeeds {
			seeds = append(seeds, *boundSeed+uint64(k))
		}
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("instances-%d/seed-%d", n, seed), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, seed, n)
				s.advance(2 * time.Second)
				s.write(s.now.Add(simLength))
				for end := s.now.Add(simLength); s.now.Before(end); {
					s.advance(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
					s.disturb([]int{1, 2, 1 + n/3}[s.rand.IntN(3)])
				}
				s.advance(settleTime)
				t.Logf("%d versions, %d calls to the store, longest delay %v", len(s.acked), s.reads, s.longest)
			})
		}
	}
}

// Calls to the store are priced. Without faults only the reader may read it, and all instances must have
// each version at its next read; the failure of the reader and the standby must not make all others read
// the store.
func TestOneInstanceReadsTheStoreForAll(t *testing.T) {
	for _, n := range []int{3, 18, 70} {
		s := newSim(t, 1, n)
		s.advance(4 * time.Second)
		s.write(s.now.Add(10 * time.Second))
		before := s.reads
		s.advance(10 * time.Second)
		if limit := int(10*time.Second/s.timing.ReadInterval) + 2; s.reads-before > limit {
			t.Errorf("%d instances read the store %d times in 10 s, want at most %d", n, s.reads-before, limit)
		}
		if limit := s.timing.ReadInterval + 20*linkDelay; s.longest > limit {
			t.Errorf("%d instances without faults: the longest delay was %v, want at most %v", n, s.longest, limit)
		}
		for _, failing := range []int{1, 2} {
			before = s.reads
			for _, x := range s.firstInOrder(failing) {
				x.suffer(2, s.now.Add(4*time.Second))
			}
			s.advance(10 * time.Second)
			// The instances that fail try to read the store too.
			if limit := 2*int(10*time.Second/s.timing.ReadInterval) + 4; s.reads-before > limit {
				t.Errorf("%d instances read the store %d times in the 10 s after the first %d readers failed, want at most %d", n, s.reads-before, failing, limit)
			}
		}
	}
}
