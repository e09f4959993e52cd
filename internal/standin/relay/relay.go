// Package relay is a TCP relay for tests of broken links: it can delay, cut or
// silence the connections that pass through it.
package relay

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Relay passes connections on to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	down  bool
	links map[*link]bool
}

// link is one relayed connection.
type link struct {
	caller, target net.Conn
	// deaf and mute are set while what the caller, or the target, sends is
	// swallowed.
	deaf, mute bool
}

// Start relays from a free loopback port to a target address.
func Start(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{listener: ln, target: target, links: map[*link]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the relay's own address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Delay holds each piece of data up from now on.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Cut ends the open connections; new ones work.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Silence makes the open connections swallow all data for good, without ending
// them; new ones work. So do middle boxes that have lost track of a connection.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.deaf, l.mute = true, true
	}
}

// SilenceOneWay does the same for what the targets send, or for what the callers
// send.
func (r *Relay) SilenceOneWay(targets bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.mute, l.deaf = l.mute || targets, l.deaf || !targets
	}
}

// SetDown cuts everything and refuses new connections until set up again.
func (r *Relay) SetDown(down bool) {
	r.mu.Lock()
	r.down = down
	r.mu.Unlock()
	if down {
		r.Cut()
	}
}

// Close ends the relay and its connections.
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
		go r.open(caller)
	}
}

func (r *Relay) open(caller net.Conn) {
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
	go r.pass(l, caller, target)
	r.pass(l, target, caller)
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// pass copies one direction until it ends; a silenced link stays open.
func (r *Relay) pass(l *link, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		silent, delay := l.deaf && from == l.caller || l.mute && from == l.target, r.delay
		r.mu.Unlock()
		if silent {
			if err != nil {
				return // only this side learns of the end
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
