package resident

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/metrics"
	"mulberrylug.example/mulberrylug/internal/peer"
)

const (
	// joinPause is the mean pause after the first failed try to join the table of
	// instances. It doubles joinDoubles times at most, and is drawn anew each
	// time, so that instances that started together do not try together.
	joinPause   = 500 * time.Millisecond
	joinDoubles = 3
	// relearnEvery is how often the table of instances is read again: 390
	// instances read 100 KB each that often, 0.8 KB/s. relearnAlone is the mean
	// pause before an instance does so that hears no other.
	relearnEvery = 2 * time.Minute
	relearnAlone = 8 * time.Second
)

// linkLook bounds a look at an instance whose connection has ended.
const linkLook = 300 * time.Millisecond

// linkLooks are the pauses before each of these looks.
var linkLooks = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

// fellows keeps in touch with the other instances.
type fellows struct {
	store   Store
	peers   *peer.Transport
	metrics *metrics.Metrics
	log     hclog.Logger
	// state tells whether this instance is ready, whether it leaves, and
	// whether the store answers it.
	state func() (ready, leaving, reads bool)
	// gone is called when an instance has died: whoever takes its place as a
	// home must hear at once what runs.
	gone func()

	// looked is closed once the store was asked who the others are, whether it
	// answered or not; learned does that once.
	looked  chan struct{}
	learned sync.Once

	// mu guards the view, and when the last regular beats were sent to each
	// data centre.
	mu     sync.Mutex
	fleet  *fleet.Fleet
	beaten map[string]time.Time
}

// with runs f on the view.
func (f *fellows) with(do func(now time.Time, v *fleet.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(boottime.Now(), f.fleet)
}

// join makes this instance known in the store and learns who else is. It writes and
// reads after that, so that of two instances that start at once at least one sees the
// other. One that starts again finds its row and writes nothing: when hundreds start
// at once, their writes take the store seconds, and those that are tried again make
// the others wait longer.
func (f *fellows) join(ctx context.Context) error {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := f.tryJoin(ctx)
		f.learned.Do(func() { close(f.looked) })
		if err == nil {
			return f.relearn(ctx)
		}
		f.metrics.Count("store_failures_total", "join")
		f.log.Warn("join_failed", "step", "join", "try", tries+1, "error", err)
		wait := joinPause << min(tries, joinDoubles)
		pause(ctx, wait/2+rand.N(wait))
	}
	return ctx.Err()
}

// relearn reads the rows again now and then. Instances that do not hear each other for
// long forget each other: after a cut between data centres that lasted minutes, or a
// suspension, nobody would ever send the first beat. An instance that hears nobody
// looks sooner, and one whose row was removed meanwhile writes it again.
func (f *fellows) relearn(ctx context.Context) error {
	last := boottime.Now()
	for ctx.Err() == nil {
		pause(ctx, relearnAlone/2+rand.N(relearnAlone))
		alone := false
		f.with(func(_ time.Time, v *fleet.Fleet) { alone = len(v.Live()) == 0 })
		if !alone && boottime.Now().Sub(last) < relearnEvery {
			continue
		}
		last = boottime.Now()
		if err := f.tryJoin(ctx); err != nil && ctx.Err() == nil {
			f.metrics.Count("store_failures_total", "relearn")
			f.log.Info("relearn_failed", "error", err)
		}
	}
	return ctx.Err()
}

// awaitLearned waits until this instance knows of the others, if the store tells: who
// reads the store for all depends on who they are.
func (f *fellows) awaitLearned(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.looked:
	}
}

func (f *fellows) tryJoin(ctx context.Context) error {
	known, err := f.store.Members(ctx)
	if err != nil {
		return err
	}
	f.learn(known)
	f.learned.Do(func() { close(f.looked) })
	self := f.self()
	if slices.ContainsFunc(known, func(r fleet.Row) bool { return sameRow(r.Beat, self) }) {
		return nil
	}
	if err := f.store.Join(ctx, self); err != nil {
		return err
	}
	if known, err = f.store.Members(ctx); err != nil {
		return err
	}
	f.learn(known)
	return nil
}

// sameRow reports whether a row says of an instance what it would write of itself.
func sameRow(row, self msg.Beat) bool {
	return row.Name == self.Name && row.DataCentre == self.DataCentre &&
		row.CallerAddress == self.CallerAddress && row.PeerAddress == self.PeerAddress
}

func (f *fellows) self() (self msg.Beat) {
	f.with(func(_ time.Time, v *fleet.Fleet) { self = v.Self() })
	return self
}

// learn takes in the instances of rows, and asks those that were not known for a beat.
func (f *fellows) learn(known []fleet.Row) {
	fresh := 0
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, r := range known {
			if v.Learn(now, r.Beat) {
				fresh++
			}
		}
	})
	if fresh == 0 {
		return
	}
	f.log.Info("instances_learned", "source", "store", "count", len(known), "new", fresh)
	f.beat(true)
}

// beatDue tells the others that this instance lives, those of each data centre when
// that is due.
func (f *fellows) beatDue() {
	due := map[string]bool{}
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, m := range v.Others() {
			dc := m.DataCentre
			if due[dc] || now.Sub(f.beaten[dc]) < v.BeatEvery(dc) {
				continue
			}
			due[dc] = true
			f.beaten[dc] = now
		}
	})
	if len(due) > 0 {
		f.beatTo(false, func(dc string) bool { return due[dc] })
		f.lose()
	}
}

// beat tells every other instance that this one lives.
func (f *fellows) beat(answer bool) { f.beatTo(answer, func(string) bool { return true }) }

// beatTo tells the instances of some data centres that this one lives.
func (f *fellows) beatTo(answer bool, in func(dataCentre string) bool) {
	ready, leaving, reads := f.state()
	var self msg.Beat
	var others []msg.Beat
	hears := map[string]bool{}
	f.with(func(now time.Time, v *fleet.Fleet) {
		v.SetSelf(ready, leaving, reads)
		self = v.Self()
		for _, m := range v.Others() {
			if in(m.DataCentre) {
				others = append(others, m.Beat)
				hears[m.Name] = v.Hears(now, m.Name)
			}
		}
	})
	self.Answer = answer
	for _, o := range others {
		self.Hears = hears[o.Name]
		f.send(o, self)
	}
}

// send queues a message; one that does not fit is lost, as all may be.
func (f *fellows) send(to msg.Beat, m msg.Message) {
	if err := f.peers.Send(to.Name, to.PeerAddress, m); err != nil {
		f.metrics.Count("peer_lost_messages_total", to.Name)
		f.log.Debug("peer_message_lost", "peer", to.Name, "error", err)
	}
}

// sendTo sends a message to an instance by name; an unknown one hears nothing.
func (f *fellows) sendTo(name string, m msg.Message) {
	var to *msg.Beat
	f.with(func(_ time.Time, v *fleet.Fleet) {
		if other := v.Find(name); other != nil {
			b := other.Beat
			to = &b
		}
	})
	if to != nil {
		f.send(*to, m)
	}
}

// sweep removes the rows of instances that are gone for good, now and then. The first
// reader does it for all.
func (f *fellows) sweep(ctx context.Context) error {
	var s fleet.Sweep
	for pause(ctx, fleet.SweepEvery); ctx.Err() == nil; pause(ctx, fleet.SweepEvery) {
		if err := f.sweepOnce(ctx, &s); err != nil {
			f.metrics.Count("store_failures_total", "sweep")
			f.log.Warn("sweep_failed", "error", err)
		}
	}
	return ctx.Err()
}

func (f *fellows) sweepOnce(ctx context.Context, s *fleet.Sweep) error {
	first := false
	f.with(func(now time.Time, v *fleet.Fleet) {
		readers := v.Readers(now)
		first = len(readers) > 0 && readers[0] == v.Self().Name
	})
	if !first {
		*s = fleet.Sweep{}
		return nil
	}
	rows, err := f.store.Members(ctx)
	if err != nil {
		return err
	}
	var dead []fleet.Row
	f.with(func(now time.Time, v *fleet.Fleet) {
		dead = s.Look(now, rows, func(name string) bool { return name == v.Self().Name || v.Hears(now, name) })
	})
	if len(dead) == 0 {
		return nil
	}
	f.log.Info("instances_swept", "rows", len(rows), "dead", len(dead), "first", dead[0].Name)
	return f.store.Remove(ctx, dead)
}

// standsIn returns an instance's data centre, "" if the instance is not known.
func (f *fellows) standsIn(name string) (dataCentre string) {
	f.with(func(_ time.Time, v *fleet.Fleet) { dataCentre = v.DataCentre(name) })
	return dataCentre
}

// heard takes another instance's beat.
func (f *fellows) heard(b msg.Beat) {
	var contact fleet.Contact
	unheard := false
	f.with(func(now time.Time, v *fleet.Fleet) { contact, unheard = v.Heard(now, b), v.Unheard(now, b) })
	if unheard {
		f.log.Info("peer_link_reset", "peer", b.Name, "why", "peer_does_not_hear")
		f.peers.Reset(b.Name)
	}
	switch contact {
	case fleet.First:
		f.metrics.Count("instances_met_total", b.DataCentre) // hundreds in a second after a start
	case fleet.Regained:
		f.log.Info("dependency_regained", "dependency", "instance", "peer", b.Name, "boot", b.Boot, "ready", b.Ready)
	}
	if b.Answer {
		self := f.self()
		self.Hears = true
		f.send(b, self)
	}
}

// linkEnded looks whether an instance whose connection has ended is gone. A killed
// process is told from a broken connection by the refusal of a new one, a second
// sooner than by its silence: until then callers are sent to it, and work that it
// was home of waits. Its sockets close one after the other, so that its address may
// still take a connection at first.
func (f *fellows) linkEnded(name string) {
	for _, wait := range linkLooks {
		time.Sleep(wait)
		var address string
		var tried time.Time
		f.with(func(now time.Time, v *fleet.Fleet) {
			if m := v.Find(name); m != nil && v.Hears(now, name) {
				address, tried = m.PeerAddress, now
			}
		})
		if address == "" {
			return // it is known to be gone
		}
		if conn.Look(address, linkLook) == conn.Refuses {
			f.takeOut(tried, name)
			return
		}
	}
}

// takeOut counts an instance as dead that refused a connection.
func (f *fellows) takeOut(tried time.Time, name string) {
	gone := false
	f.with(func(now time.Time, v *fleet.Fleet) { gone = v.Gone(now, tried, name) })
	if gone {
		f.log.Info("dependency_lost", "dependency", "instance", "peer", name, "why", "refuses_connections")
		f.gone()
	}
}

func (f *fellows) lose() {
	var lost []string
	f.with(func(now time.Time, v *fleet.Fleet) { lost = v.Tick(now) })
	for _, name := range lost {
		f.log.Info("dependency_lost", "dependency", "instance", "peer", name, "why", "silent")
	}
}

// sources returns where this instance gets its news from.
func (f *fellows) sources() (s fleet.Sources) {
	f.with(func(now time.Time, v *fleet.Fleet) { s = v.Sources(now) })
	return s
}
