// Package uplink stands in for the network between one instance and all upstreams: it can be cut
// while the instance's other connections work.
package uplink

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Mode states what passes an uplink.
type Mode int

// The modes.
const (
	// Up: everything passes.
	Up Mode = iota
	// Hang: no packet passes, in either direction.
	Hang
	// Reset: open connections are reset once, and new ones hang.
	Reset
	// Refuse: new connections are refused, open ones live on.
	Refuse
)

// ackTimeout is the time after which sent bytes that were not acknowledged end a connection.
const ackTimeout = 1200 * time.Millisecond

// Uplink makes connections that pass only as its mode permits.
type Uplink struct {
	mu    sync.Mutex
	mode  Mode
	conns map[*link]bool
	// changed is closed when the mode changes.
	changed chan struct{}
}

// New returns an uplink in mode Up.
func New() *Uplink { return &Uplink{conns: map[*link]bool{}, changed: make(chan struct{})} }

// Set changes the mode.
func (u *Uplink) Set(m Mode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = m
	close(u.changed)
	u.changed = make(chan struct{})
	if m == Reset {
		for l := range u.conns {
			l.fail(syscall.ECONNRESET)
		}
	}
}

func (u *Uplink) state() (Mode, chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mode, u.changed
}

// Dial connects to an address.
func (u *Uplink) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	for {
		mode, changed := u.state()
		switch mode {
		case Refuse:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case Up:
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return u.add(c.(*net.TCPConn)), nil
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		case <-changed:
		}
	}
}

func (u *Uplink) add(c *net.TCPConn) net.Conn {
	l := &link{TCPConn: c, uplink: u, ended: make(chan struct{})}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns[l] = true
	return l
}

// silent reports whether no packet of an open connection passes.
func (u *Uplink) silent() bool {
	mode, _ := u.state()
	return mode == Hang
}

// link is a connection through the uplink.
type link struct {
	*net.TCPConn
	uplink *Uplink

	once  sync.Once
	ended chan struct{}
	err   error
}

// fail ends the connection with an error for its user.
func (l *link) fail(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.ended)
		_ = l.SetLinger(0)
		_ = l.TCPConn.Close()
	})
}

// Read implements net.Conn.
func (l *link) Read(b []byte) (int, error) {
	n, err := l.TCPConn.Read(b)
	if l.uplink.silent() && !errors.Is(err, os.ErrDeadlineExceeded) {
		<-l.ended // what arrived meanwhile is lost
	}
	select {
	case <-l.ended:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: l.err}
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (l *link) Write(b []byte) (int, error) {
	if l.uplink.silent() {
		time.AfterFunc(ackTimeout, func() { l.fail(syscall.ETIMEDOUT) })
		return len(b), nil
	}
	return l.TCPConn.Write(b)
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.fail(net.ErrClosed)
	l.uplink.mu.Lock()
	defer l.uplink.mu.Unlock()
	delete(l.uplink.conns, l)
	return nil
}
