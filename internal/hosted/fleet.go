package hosted

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/watch"
	"mulberrylug.example/mulberrylug/internal/metrics"
	"mulberrylug.example/mulberrylug/internal/peer"
)

// redialTimeout limits each dial to an instance whose connection ended.
const redialTimeout = 300 * time.Millisecond

// redialDelays are the delays before the successive dials to an instance whose connection ended.
var redialDelays = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

// peers maintains this instance's view of the other instances and sends messages to them.
type peers struct {
	store     Store
	transport *peer.Transport
	metrics   *metrics.Metrics
	log       hclog.Logger
	// state returns whether this instance is ready, is leaving, and can read the store.
	state func() (ready, leaving, reads bool)
	// onPeerLost is called when an instance has died: the instances that succeed it as homes
	// must be notified of the running generations immediately.
	onPeerLost func()

	// era returns the newest era of the store that is known.
	era func() int64
	// statements returns what upstreams have stated, for an instance that starts.
	statements func() []msg.Message
	// evidence returns the evidence against parts of prompts, for the same purpose.
	evidence func() []msg.Message

	// seeds are the addresses of instances that a starting one asks for members; seedAddress is
	// this instance's own address among them, or "".
	seeds       []string
	seedAddress string
	// joinResponses receives the responses to this instance's join requests.
	joinResponses chan msg.JoinResponse
	// joinDone is closed once the members are known, or once all seeds and the store have
	// failed to return them; joinOnce ensures that it is closed only once.
	joinDone chan struct{}
	joinOnce sync.Once

	// mu guards the rest: fleet is the view of the instances, heartbeatsSentAt the time of the last
	// regular heartbeats to each data centre, and informed holds, by name, the boot of the
	// instances to which this one has sent, at their start, what upstreams had stated.
	mu               sync.Mutex
	fleet            *fleet.Fleet
	heartbeatsSentAt map[string]time.Time
	informed         map[string]string
}

// with runs a function on the view while holding the lock.
func (f *peers) with(do func(now time.Time, v *fleet.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(boottime.Now(), f.fleet)
}

// self returns this instance's own heartbeat.
func (f *peers) self() (self msg.Heartbeat) {
	f.with(func(_ time.Time, v *fleet.Fleet) { self = v.Self() })
	return self
}

// sendDueHeartbeats sends regular heartbeats to the data centres for which one is due.
func (f *peers) sendDueHeartbeats() {
	due := map[string]bool{}
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, m := range v.Others() {
			dc := m.DataCentre
			interval := v.HeartbeatInterval(dc)
			if due[dc] || interval == 0 || now.Sub(f.heartbeatsSentAt[dc]) < interval {
				continue
			}
			due[dc] = true
			f.heartbeatsSentAt[dc] = now
		}
	})
	if len(due) > 0 {
		f.sendHeartbeatsTo(func(dc string) bool { return due[dc] })
		f.expirePeers()
	}
}

// sendHeartbeats announces this instance's state to all other instances immediately; in a large
// fleet relays forward it to other data centres.
func (f *peers) sendHeartbeats() {
	f.sendHeartbeatsTo(func(string) bool { return true })
	f.sendDuePresences()
}

// sendHeartbeatsTo sends a heartbeat to the instances of the selected data centres.
func (f *peers) sendHeartbeatsTo(in func(dataCentre string) bool) {
	ready, leaving, reads := f.state()
	var self msg.Heartbeat
	var others []msg.Heartbeat
	alive := map[string]bool{}
	f.with(func(now time.Time, v *fleet.Fleet) {
		v.SetSelf(now, ready, leaving, reads)
		self = v.Self()
		for _, m := range v.Others() {
			if in(m.DataCentre) && v.HeartbeatInterval(m.DataCentre) > 0 {
				others = append(others, m.Heartbeat)
				alive[m.Name] = v.IsAlive(now, m.Name)
			}
		}
	})
	for _, o := range others {
		self.ReceivesYours = alive[o.Name]
		f.send(o, self)
	}
}

// send queues a message for an instance. A message is dropped if the queue is full; every
// protocol tolerates that.
func (f *peers) send(to msg.Heartbeat, m msg.Message) {
	if to.UnderstandsSoftware() {
		m = msg.AddSoftware(m)
	}
	if err := f.transport.Send(to.Name, to.PeerAddress, m); err != nil {
		f.metrics.Count("peer_lost_messages_total", to.Name)
		f.log.Debug("peer_message_lost", "peer", to.Name, "error", err)
	}
}

// sendTo sends a message to an instance by name, if it is known.
func (f *peers) sendTo(name string, m msg.Message) {
	var to *msg.Heartbeat
	f.with(func(_ time.Time, v *fleet.Fleet) {
		if other := v.Find(name); other != nil {
			b := other.Heartbeat
			to = &b
		}
	})
	if to != nil {
		f.send(*to, m)
	}
}

// dataCentreOf returns an instance's data centre, or "" if it is unknown.
func (f *peers) dataCentreOf(name string) (dataCentre string) {
	f.with(func(_ time.Time, v *fleet.Fleet) { dataCentre = v.DataCentre(name) })
	return dataCentre
}

// onHeartbeat handles a heartbeat of another instance.
func (f *peers) onHeartbeat(b msg.Heartbeat) {
	var contact fleet.Contact
	mustReset := false
	f.with(func(now time.Time, v *fleet.Fleet) {
		contact, mustReset = v.OnHeartbeat(now, b), v.MustResetConnection(now, b)
	})
	if mustReset {
		f.log.Info("peer_link_reset", "peer", b.Name, "why", "peer_does_not_hear")
		f.transport.Reset(b.Name)
	}
	switch contact {
	case fleet.First:
		f.metrics.Count("instances_met_total", b.DataCentre) // not logged: there are hundreds within a second of a start
	case fleet.Regained:
		f.log.Info("dependency_regained", "dependency", "instance", "peer", b.Name, "boot", b.Boot, "ready", b.Ready)
	}
	if b.WantsResponse {
		self := f.self()
		self.ReceivesYours = true
		f.send(b, self)
	}
}

// linkEnded checks whether an instance whose connection ended is dead. A killed process refuses
// new connections, which reveals its death a second earlier than its missing heartbeats. Since
// its sockets are closed one after the other, its address may still accept a connection at
// first, so the dial is repeated.
func (f *peers) linkEnded(name string) {
	for _, delay := range redialDelays {
		time.Sleep(delay)
		var address string
		var triedAt time.Time
		f.with(func(now time.Time, v *fleet.Fleet) {
			if m := v.Find(name); m != nil && v.IsAlive(now, name) {
				address, triedAt = m.PeerAddress, now
			}
		})
		if address == "" {
			return // the instance is already known to be dead, or was removed
		}
		if conn.Probe(address, redialTimeout) == conn.Refused {
			f.markDead(triedAt, name)
			return
		}
	}
}

// markDead marks an instance as dead that refused a connection at triedAt.
func (f *peers) markDead(triedAt time.Time, name string) {
	changed := false
	f.with(func(now time.Time, v *fleet.Fleet) { changed = v.OnConnectionRefused(now, triedAt, name) })
	if changed {
		f.log.Info("dependency_lost", "dependency", "instance", "peer", name, "why", "refuses_connections")
		f.onPeerLost()
	}
}

// expirePeers marks instances as dead whose heartbeats are missing.
func (f *peers) expirePeers() {
	var lost []string
	f.with(func(now time.Time, v *fleet.Fleet) { lost = v.Tick(now) })
	for _, name := range lost {
		f.log.Info("dependency_lost", "dependency", "instance", "peer", name, "why", "silent")
	}
}

// sources returns the sources from which this instance may get updates; isHome is set if this
// instance is home of a pool.
func (f *peers) sources(isHome bool) (s watch.Choice) {
	f.with(func(now time.Time, v *fleet.Fleet) { s = v.Sources(now, isHome) })
	return s
}

// understandsSoftware reports whether an instance understands the messages about the software of upstreams.
func (f *peers) understandsSoftware(name string) (ok bool) {
	f.with(func(_ time.Time, v *fleet.Fleet) {
		m := v.Find(name)
		ok = m != nil && m.UnderstandsSoftware()
	})
	return ok
}

// understandsNegativeAges reports whether an instance understands negative ages in responses.
func (f *peers) understandsNegativeAges(name string) (ok bool) {
	f.with(func(_ time.Time, v *fleet.Fleet) { ok = v.UnderstandsNegativeAges(name) })
	return ok
}
