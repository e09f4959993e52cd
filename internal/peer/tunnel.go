package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// chunkHeader is the size in bytes of the length that precedes each chunk of what an upstream sends
	// through a tunnel. A chunk of length 0 means that the upstream has closed the connection. Without
	// it, the end of the instance between would look like the end of a response that has no length.
	chunkHeader = 4
	// ToUpstreamBuffer and FromUpstreamBuffer are the sizes in bytes of the buffers of a tunnel.
	ToUpstreamBuffer   = 4 << 10
	FromUpstreamBuffer = 16 << 10
	// tunnelAckTimeout is how long bytes of a tunnel may stay unacknowledged by the instance that
	// receives them. It may stop reading for seconds while its caller does not read.
	tunnelAckTimeout = 15 * time.Second
)

// Tunnel is the end of a tunnel at the instance that connects to the upstream.
type Tunnel struct {
	transport *Transport
	conn      net.Conn
	r         io.Reader
}

// serveTunnel serves a request for a tunnel on the connection on which it arrived.
func (t *Transport) serveTunnel(from string, m msg.TunnelRequest, c net.Conn, r io.Reader) {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return // the connection has ended
	}
	t.OnTunnel(from, m, &Tunnel{transport: t, conn: c, r: r})
}

// Respond sends the response to the request for the tunnel.
func (t *Tunnel) Respond(s msg.TunnelStatus) error {
	frame, err := Encode(t.transport.self, msg.TunnelResponse{Status: s})
	if err != nil {
		return err
	}
	if err := t.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("respond to tunnel request: %w", err)
	}
	if _, err := t.transport.Traffic.Writer(t.conn).Write(frame); err != nil {
		return fmt.Errorf("respond to tunnel request: %w", err)
	}
	return t.conn.SetWriteDeadline(time.Time{})
}

// errEndWithinWrite reports that a connection to an upstream ended while bytes were written to it.
var errEndWithinWrite = errors.New("the connection ended within a write")

// Carry copies bytes in both directions until one of the two ends. It closes the connection to the
// upstream. The requester learns from the last chunk whether the upstream closed the connection; if the
// connection broke off, that chunk is missing. It is also missing if a write to the upstream has failed or is not
// finished: the kernel reports a reset to one call only, and to the other the connection looks closed in order.
func (t *Tunnel) Carry(upstream net.Conn) error {
	defer upstream.Close()
	if err := conn.SetAckTimeout(t.conn, tunnelAckTimeout); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	to := &trackedWriter{w: upstream}
	go func() {
		// With either end closed, the read of the other direction fails, too.
		_, _ = io.CopyBuffer(to, t.r, make([]byte, ToUpstreamBuffer))
		upstream.Close()
	}()
	buf := make([]byte, chunkHeader+FromUpstreamBuffer)
	out := t.transport.Traffic.Writer(t.conn)
	for {
		n, err := upstream.Read(buf[chunkHeader:])
		if errors.Is(err, io.EOF) && to.unfinished.Load() {
			err = errEndWithinWrite
		}
		if n > 0 || errors.Is(err, io.EOF) {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if _, werr := out.Write(buf[:chunkHeader+n]); werr != nil {
				return fmt.Errorf("tunnel to requester: %w", werr)
			}
		}
		switch {
		case err == nil:
		case n > 0 && errors.Is(err, io.EOF):
			binary.BigEndian.PutUint32(buf, 0)
			_, err = out.Write(buf[:chunkHeader])
			return err
		case errors.Is(err, io.EOF):
			return nil
		default:
			return fmt.Errorf("tunnel to upstream: %w", err)
		}
	}
}

// trackedWriter writes to a connection and has no other methods, so that io.CopyBuffer uses its buffer. unfinished is
// set while a write is in progress, and stays set after one that failed.
type trackedWriter struct {
	w          io.Writer
	unfinished atomic.Bool
}

// Write implements io.Writer.
func (t *trackedWriter) Write(p []byte) (int, error) {
	t.unfinished.Store(true)
	n, err := t.w.Write(p)
	if err == nil {
		t.unfinished.Store(false)
	}
	return n, err
}

// ErrTunnelRefused reports that an instance did not open a tunnel.
var ErrTunnelRefused = errors.New("no tunnel was opened")

// TunnelError is an ErrTunnelRefused with the status that the instance gave.
type TunnelError struct{ Status msg.TunnelStatus }

// Error implements error.
func (e *TunnelError) Error() string { return ErrTunnelRefused.Error() + ": " + string(e.Status) }

// Is makes errors.Is recognise ErrTunnelRefused.
func (e *TunnelError) Is(target error) bool { return target == ErrTunnelRefused }

// OpenTunnel connects to an upstream through the instance at a peer address. The error is a TunnelError
// if the instance responded.
func (t *Transport) OpenTunnel(ctx context.Context, via, address string, m msg.TunnelRequest) (net.Conn, error) {
	c, err := conn.Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("tunnel through %s: dial %s: %w", via, address, err)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	status, err := t.requestTunnel(c, m)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil && status != msg.TunnelOpen {
		err = &TunnelError{Status: status}
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("tunnel through %s at %s: %w", via, address, err)
	}
	return &tunnelConn{Conn: c, via: via}, nil
}

// requestTunnel sends a request for a tunnel and returns the response.
func (t *Transport) requestTunnel(c net.Conn, m msg.TunnelRequest) (msg.TunnelStatus, error) {
	frame, err := Encode(t.self, m)
	if err != nil {
		return "", err
	}
	if _, err := t.Traffic.Writer(c).Write(frame); err != nil {
		return "", fmt.Errorf("send request: %w", err)
	}
	_, response, err := Decode(t.Traffic.Reader(c))
	if err != nil {
		return "", fmt.Errorf("read response: %w", err)
	}
	r, ok := response.(msg.TunnelResponse)
	if !ok {
		return "", fmt.Errorf("response of kind %s: %w", response.Kind(), ErrKind)
	}
	return r.Status, nil
}

// tunnelConn is a connection to an upstream through a tunnel.
type tunnelConn struct {
	net.Conn
	via string
	// left is the rest of the current chunk in bytes. ended is set after the last chunk.
	left  int
	ended bool
	// head holds the headN bytes of a chunk's header that were read before a deadline passed.
	head  [chunkHeader]byte
	headN int
}

// Read implements net.Conn. The error is io.ErrUnexpectedEOF if the tunnel ended before the connection to
// the upstream did.
func (c *tunnelConn) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, unexpected(err)
}

// readHead reads the header of the next chunk.
func (c *tunnelConn) readHead() error {
	for c.headN < chunkHeader {
		n, err := c.Conn.Read(c.head[c.headN:])
		c.headN += n
		if err != nil {
			return unexpected(err)
		}
	}
	c.headN = 0
	c.left = int(binary.BigEndian.Uint32(c.head[:]))
	c.ended = c.left == 0
	return nil
}

// unexpected converts the regular end of a connection to an unexpected one.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Via returns the instance that the tunnel passes.
func (c *tunnelConn) Via() string { return c.via }

// SyscallConn implements syscall.Conn.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
