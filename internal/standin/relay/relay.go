// Package relay is a TCP relay for tests of network faults: it can delay, close or
// silence the connections that pass through it.
package relay

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Relay forwards the connections that it accepts to a target address.
type Relay struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// delay is added before each chunk of data is forwarded.
	delay time.Duration
	// down is set while new connections are refused.
	down  bool
	links map[*link]bool
}

// link is one relayed connection.
type link struct {
	caller, target net.Conn
	// discardFromCaller and discardFromTarget are set if the data that the caller, or
	// the target, sends is discarded.
	discardFromCaller, discardFromTarget bool
}

// Start starts a relay from a free loopback port to a target address.
func Start(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the relay to %s: %w", target, err)
	}
	r := &Relay{listener: ln, target: target, links: map[*link]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Delay sets the delay that the relay adds to each chunk of data from now on.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Cut closes the open connections. New connections are relayed.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Silence discards all data of the open connections from now on, without closing them.
// New connections are relayed. Middleboxes that have lost the state of a connection
// behave in this way.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.discardFromCaller, l.discardFromTarget = true, true
	}
}

// SilenceOneWay is like Silence, but in one direction only: it discards the data that the
// target sends if targets is true, otherwise the data that the callers send.
func (r *Relay) SilenceOneWay(targets bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.discardFromTarget, l.discardFromCaller = l.discardFromTarget || targets, l.discardFromCaller || !targets
	}
}

// SetDown(true) closes the open connections and closes each new one immediately, until
// SetDown(false).
func (r *Relay) SetDown(down bool) {
	r.mu.Lock()
	r.down = down
	r.mu.Unlock()
	if down {
		r.Cut()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Cut()
}

func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handle(caller)
	}
}

// handle relays one connection until it ends.
func (r *Relay) handle(caller net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		caller.Close()
		return
	}
	l := &link{caller: caller, target: target}
	r.mu.Lock()
	if r.down {
		l.close()
	} else {
		r.links[l] = true
	}
	r.mu.Unlock()
	go r.forward(l, caller, target)
	r.forward(l, target, caller)
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// forward copies the data of one direction until that direction ends. If the direction is
// silenced, the connection to the receiving side stays open after the end.
func (r *Relay) forward(l *link, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		silent, delay := l.discardFromCaller && from == l.caller || l.discardFromTarget && from == l.target, r.delay
		r.mu.Unlock()
		if silent {
			if err != nil {
				return // the other side must not notice the end
			}
			continue
		}
		time.Sleep(delay)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			l.close()
			return
		}
	}
}

func (l *link) close() {
	l.caller.Close()
	l.target.Close()
}
