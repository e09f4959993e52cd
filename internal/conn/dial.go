// Package conn makes connections to upstreams and other HTTP servers. It dials with limits on
// how long a connection may be silent, keeps idle connections for reuse and carries out single
// exchanges on them. It never sends a request twice by itself.
package conn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout is the timeout of a connection attempt. The round trip between data centres
	// takes a few milliseconds; a lost SYN packet is sent again after a second.
	DialTimeout = 700 * time.Millisecond
	// keepAliveIdle and keepAliveInterval set the TCP keep-alive probes, which detect that the other
	// end of a connection has disappeared without closing it. The kernel counts them in whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// ackTimeout is how long sent bytes may stay unacknowledged. A device between the two ends
	// may lose its state of a connection; the connection then stays silent for ever, while new
	// connections work. It also decides when unanswered keep-alive probes end a connection, whatever
	// their count: after 3 s here. A sound peer may be silent for one and a half seconds after the first
	// probe, which must not cost its connections.
	ackTimeout = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections fail when the other end falls silent.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: setAckTimeout}
}

// ListenConfig returns a listen configuration whose accepted connections fail when the other end
// falls silent.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setAckTimeout}
}

// keepAlive is the TCP keep-alive setting of dialled and accepted connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setAckTimeout limits how long sent bytes may wait for an acknowledgement, by TCP_USER_TIMEOUT.
// Accepted connections inherit the option from their listener.
func setAckTimeout(_, _ string, raw syscall.RawConn) error { return setAckTimeoutOf(raw, ackTimeout) }

func setAckTimeoutOf(raw syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("set acknowledgement timeout: %w", err)
	}
	if sockErr != nil {
		return fmt.Errorf("set acknowledgement timeout: %w", sockErr)
	}
	return nil
}

// watchedAckTimeout is how long bytes sent on a watched connection may stay unacknowledged. Queries give up a stream
// after 3 s, or half of its caller's patience, which is less for all routes with a target of up to 7.5 s.
const watchedAckTimeout = 15 * time.Second

// Watch makes the kernel tolerate that the other end of a connection is silent, or restores its usual limits:
// the user of the connection watches it meanwhile. The kernel can't tell a silence from a loss, and its limits
// are those of idle connections. It does nothing if the connection is no socket.
func Watch(c net.Conn, watched bool) error {
	timeout, probes := ackTimeout, keepAlive
	if watched {
		timeout, probes = watchedAckTimeout, net.KeepAliveConfig{}
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetKeepAliveConfig(probes); err != nil {
			return fmt.Errorf("set keep-alive: %w", err)
		}
	}
	return SetAckTimeout(c, timeout)
}

// SetAckTimeout sets how long bytes sent on a connection may wait for an acknowledgement. It does nothing
// if the connection is no socket.
func SetAckTimeout(c net.Conn, d time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("set acknowledgement timeout: %w", err)
	}
	return setAckTimeoutOf(raw, d)
}

// ProbeResult is the state of a process as shown by an attempt to connect to its address.
type ProbeResult int

// Results of Probe.
const (
	// Listening: the connection was accepted.
	Listening ProbeResult = iota + 1
	// Refused: the host refused the connection, as no process listens at the address; the
	// process has ended.
	Refused
	// TimedOut: there was no response within the timeout; the host or the network path to it is
	// down.
	TimedOut
	// ProbeFailed: the attempt failed for another reason, which says nothing about the process.
	ProbeFailed
)

// String returns the result as it is logged.
func (p ProbeResult) String() string {
	switch p {
	case Listening:
		return "listening"
	case Refused:
		return "refused"
	case TimedOut:
		return "timed_out"
	}
	return "failed"
}

// DialFunc makes a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Probe attempts to connect to an address and reports the result.
func Probe(address string, timeout time.Duration) ProbeResult {
	return DialFunc(dial).Probe(address, timeout)
}

// Probe attempts to connect to an address in this way and reports the result.
func (d DialFunc) Probe(address string, timeout time.Duration) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := d(ctx, address)
	if err == nil {
		c.Close()
	}
	return ResultOf(err)
}

// ResultOf returns what the error of an attempt to connect shows.
func ResultOf(err error) ProbeResult {
	var netErr net.Error
	switch {
	case err == nil:
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.As(err, &netErr) && netErr.Timeout():
		return TimedOut
	}
	return ProbeFailed
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return c, nil
}
