package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulberrylug.example/mulberrylug/internal/conn"
)

const (
	// defaultPatience is the patience of a connection before its first request.
	defaultPatience = 2 * time.Second
	// blockedAfter is the time after which a write without progress is taken for a caller that does
	// not read. It is shorter than the acknowledgement timeout of the connection.
	blockedAfter = 500 * time.Millisecond
	// lingerTime is for how long what a caller sends is dropped before its connection is closed. It gives the
	// response time to arrive.
	lingerTime = 500 * time.Millisecond
	// readErrorTimeout is how long the error of the read is awaited after a write that failed because of it: on a busy
	// machine, its goroutine may run some 10 ms later. readErrorInterval is the interval between checks for it.
	readErrorTimeout  = 100 * time.Millisecond
	readErrorInterval = time.Millisecond
)

// errReadsNothing reports that a caller has read nothing for its patience.
var errReadsNothing = errors.New("the caller has read nothing for too long")

// errAborted reports a write that this instance aborted. It says nothing about the connection.
var errAborted = errors.New("the writes to the caller are aborted")

// callerConn is a connection of a caller. A write fails if the caller accepts no byte for the
// patience; without a limit, a caller that reads nothing would hold its request's memory for ever.
type callerConn struct {
	net.Conn
	// socket is nil if the connection is no socket.
	socket syscall.RawConn
	// patience is in nanoseconds.
	patience atomic.Int64
	// aborted is set to make the write in progress and all further ones fail.
	aborted atomic.Bool
	// readErr is the first error of a read, nil before.
	readErr atomic.Pointer[error]
	// stopped is set once the body of a request will not be read to its end. What follows on the connection belongs
	// to that body, and is no request.
	stopped atomic.Bool
	// lingering is set once such a connection is being closed.
	lingering atomic.Bool
	// paused is set once the kernel was set to tolerate a pause of the caller.
	paused atomic.Bool
	// head accounts for the head of the next request. onNoHeadMemory is called when the connection is closed for lack
	// of memory for it.
	head           headAccount
	onNoHeadMemory func(from net.Addr)
	// poll, fds and full belong to writable.
	poll func(fd uintptr)
	fds  [1]unix.PollFd
	full bool
}

func newCallerConn(c net.Conn, m conn.Memory) *callerConn {
	out := &callerConn{Conn: c, head: headAccount{memory: m}, onNoHeadMemory: func(net.Addr) {}}
	out.head.begin()
	out.setPatience(defaultPatience)
	out.poll = out.pollSocket
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil { // with an error it is treated as no socket
			out.socket = raw
		}
	}
	return out
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if c.socket == nil {
		return nil, errors.ErrUnsupported
	}
	return c.socket, nil
}

// setPatience sets after which time a caller that reads nothing is treated as having left.
func (c *callerConn) setPatience(d time.Duration) { c.patience.Store(int64(d)) }

// Read implements net.Conn. It keeps the error that ends the connection: net/http only cancels the request.
// It interrupts its own reads by a deadline, which ends nothing.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.stopped.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if c.stopped.Load() {
		return 0, net.ErrClosed
	}
	if !c.head.add(n) {
		c.onNoHeadMemory(c.RemoteAddr())
		c.Conn.Close() // net/http may take the line that is cut off for an invalid one, and must not say so
		return 0, errNoHeadMemory
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.noteReadError(err)
	}
	return n, err
}

// noteReadError keeps the first error of a read.
func (c *callerConn) noteReadError(err error) { c.readErr.CompareAndSwap(nil, &err) }

// awaitReadError waits until a read has failed, for readErrorTimeout at most.
func (c *callerConn) awaitReadError() {
	for end := time.Now().Add(readErrorTimeout); c.readError() == nil && time.Now().Before(end); {
		time.Sleep(readErrorInterval)
	}
}

// readError returns the first error of a read, or nil.
func (c *callerConn) readError() error {
	if err := c.readErr.Load(); err != nil {
		return *err
	}
	return nil
}

// stopReading ends the read in progress, and makes all further ones fail: the connection carries no other request.
func (c *callerConn) stopReading() {
	c.stopped.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which reads fail, too
}

// Close implements net.Conn. If the caller may still be sending a body of which no more is read, its connection is
// closed after a while in which what it sends is dropped: the kernel would answer that with a reset, which can
// overtake the response.
func (c *callerConn) Close() error {
	if !c.stopped.Load() || c.socket == nil || conn.EndsWithReset(c.socket) {
		return c.Conn.Close()
	}
	c.aborted.Store(true)
	if c.lingering.Swap(true) {
		return nil
	}
	if c.socket.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_WR) }) != nil {
		return c.Conn.Close()
	}
	time.AfterFunc(lingerTime, func() { c.Conn.Close() })
	go func() {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
		_, _ = io.Copy(io.Discard, c.Conn)      // as above
		c.Conn.Close()
	}()
	return nil
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (written int, err error) {
	progress := time.Now()
	wait := blockedAfter
	for {
		if err := c.SetWriteDeadline(progress.Add(wait)); err != nil {
			return written, err
		}
		if c.aborted.Load() {
			return written, errAborted
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now, patience := time.Now(), time.Duration(c.patience.Load())
		switch {
		case n > 0:
			progress = now
		case now.Sub(progress) >= patience:
			return written, fmt.Errorf("%w: %w", errReadsNothing, err)
		}
		c.toleratePause(patience)
		wait = patience
	}
}

// toleratePause keeps the kernel from closing the connection of a caller that is alive and does not
// read: for the acknowledgement timeout, a closed window counts like a lost peer.
func (c *callerConn) toleratePause(patience time.Duration) {
	c.paused.Store(true)
	if c.socket == nil {
		return
	}
	_ = c.socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int((patience + blockedAfter).Milliseconds()))
	}) // fails only on a closed connection
}

// abort makes the write in progress and all further ones fail.
func (c *callerConn) abort() {
	c.aborted.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which writes fail, too
}

// writable reports whether the socket's send buffer has room for a small event. The kernel says so
// while at least a third of the buffer is free. Calls must not overlap.
func (c *callerConn) writable() bool {
	if c.socket == nil {
		return true
	}
	c.full = false
	err := c.socket.Control(c.poll)
	return err != nil || !c.full // with an error the write itself shows what is wrong
}

// pollSocket sets full. It is kept as a function value, so that an event needs no allocation.
func (c *callerConn) pollSocket(fd uintptr) {
	c.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLOUT}
	n, err := unix.Poll(c.fds[:], 0)
	c.full = err == nil && n == 0
}

// callerListener wraps accepted connections in callerConns.
type callerListener struct {
	net.Listener
	memory conn.Memory
	// onNoHeadMemory is called for each connection that is closed for lack of memory for a head.
	onNoHeadMemory func(from net.Addr)
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := newCallerConn(c, l.memory)
	if l.onNoHeadMemory != nil {
		out.onNoHeadMemory = l.onNoHeadMemory
	}
	return out, nil
}

// callerConnOf returns the connection of a request, or nil if it is none of callerListener.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := conn.ServerConn(ctx).(*callerConn)
	return c
}
