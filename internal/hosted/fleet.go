package hosted

import (
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

// redialTimeout bounds each dial to an instance whose connection ended.
const redialTimeout = 300 * time.Millisecond

// redialDelays are the delays before these dials.
var redialDelays = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

// peers maintains the view of the other instances.
type peers struct {
	store     Store
	transport *peer.Transport
	metrics   *metrics.Metrics
	log       hclog.Logger
	// state returns whether this instance is ready, is leaving, and can read the store.
	state func() (ready, leaving, reads bool)
	// gone is called when an instance has died: its successors as homes must hear immediately
	// what runs.
	gone func()

	// seeds are the addresses of some instances, seedAddress is this instance's own.
	seeds       []string
	seedAddress string
	// answers receives the answers to this instance's join requests.
	answers chan msg.JoinAnswer
	// consulted is closed once this instance has joined, or none answers; learned does that
	// once.
	consulted chan struct{}
	learned   sync.Once

	// mu guards the view and the times of the last regular heartbeats by data centre.
	mu     sync.Mutex
	fleet  *fleet.Fleet
	sentAt map[string]time.Time
}

// with runs a function on the view.
func (f *peers) with(do func(now time.Time, v *fleet.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(boottime.Now(), f.fleet)
}

func (f *peers) self() (self msg.Heartbeat) {
	f.with(func(_ time.Time, v *fleet.Fleet) { self = v.Self() })
	return self
}

// heartbeatDue sends regular heartbeats to the data centres for which one is due.
func (f *peers) heartbeatDue() {
	due := map[string]bool{}
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, m := range v.Others() {
			dc := m.DataCentre
			interval := v.HeartbeatInterval(dc)
			if due[dc] || interval == 0 || now.Sub(f.sentAt[dc]) < interval {
				continue
			}
			due[dc] = true
			f.sentAt[dc] = now
		}
	})
	if len(due) > 0 {
		f.heartbeatTo(func(dc string) bool { return due[dc] })
		f.lose()
	}
}

// heartbeat announces this instance's state to all others at once; in a large fleet relays
// forward it to other data centres.
func (f *peers) heartbeat() {
	f.heartbeatTo(func(string) bool { return true })
	f.announceDue()
}

// heartbeatTo sends a heartbeat to the instances of some data centres.
func (f *peers) heartbeatTo(in func(dataCentre string) bool) {
	ready, leaving, reads := f.state()
	var self msg.Heartbeat
	var others []msg.Heartbeat
	hears := map[string]bool{}
	f.with(func(now time.Time, v *fleet.Fleet) {
		v.SetSelf(now, ready, leaving, reads)
		self = v.Self()
		for _, m := range v.Others() {
			if in(m.DataCentre) && v.HeartbeatInterval(m.DataCentre) > 0 {
				others = append(others, m.Heartbeat)
				hears[m.Name] = v.Hears(now, m.Name)
			}
		}
	})
	for _, o := range others {
		self.Hears = hears[o.Name]
		f.send(o, self)
	}
}

// send queues a message. Messages that do not fit are dropped; every protocol tolerates that.
func (f *peers) send(to msg.Heartbeat, m msg.Message) {
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

// heard handles a heartbeat.
func (f *peers) heard(b msg.Heartbeat) {
	var contact fleet.Contact
	unheard := false
	f.with(func(now time.Time, v *fleet.Fleet) { contact, unheard = v.Heard(now, b), v.Unheard(now, b) })
	if unheard {
		f.log.Info("peer_link_reset", "peer", b.Name, "why", "peer_does_not_hear")
		f.transport.Reset(b.Name)
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

// linkEnded checks whether an instance whose connection ended is dead. A killed process
// refuses a new connection, which detects it a second before its silence does. Its sockets
// close one after the other, so that its address may still accept one at first.
func (f *peers) linkEnded(name string) {
	for _, wait := range redialDelays {
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
		if conn.Probe(address, redialTimeout) == conn.Refuses {
			f.takeOut(tried, name)
			return
		}
	}
}

// takeOut marks an instance that refused a connection as dead.
func (f *peers) takeOut(tried time.Time, name string) {
	gone := false
	f.with(func(now time.Time, v *fleet.Fleet) { gone = v.Gone(now, tried, name) })
	if gone {
		f.log.Info("dependency_lost", "dependency", "instance", "peer", name, "why", "refuses_connections")
		f.gone()
	}
}

func (f *peers) lose() {
	var lost []string
	f.with(func(now time.Time, v *fleet.Fleet) { lost = v.Tick(now) })
	for _, name := range lost {
		f.log.Info("dependency_lost", "dependency", "instance", "peer", name, "why", "silent")
	}
}

// sources returns where this instance gets its updates from; isHome is set if it is home of a
// pool.
func (f *peers) sources(isHome bool) (s fleet.Sources) {
	f.with(func(now time.Time, v *fleet.Fleet) { s = v.Sources(now, isHome) })
	return s
}
