package conn

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// serverConnKey is the key of a request's connection in its context.
type serverConnKey struct{}

// WithServerConn adds a connection to the context of its requests, as http.Server.ConnContext.
func WithServerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, serverConnKey{}, c)
}

// ServerConn returns the connection on which a request has arrived, or nil if it is unknown.
func ServerConn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(serverConnKey{}).(net.Conn)
	return c
}

// ResetIncomplete makes a connection end with a reset while a response to a caller that speaks HTTP/1.0 is not
// complete. Such a response has no chunks: without a length, it counts as complete if its connection is closed in
// order. The kernel does that, too, for a process that ends, so that the reset is set up before the response begins.
// The server needs WithServerConn.
func ResetIncomplete(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		c := ServerConn(r.Context())
		setReset(c, true)
		h.ServeHTTP(w, r)
		if http.NewResponseController(w).Flush() == nil {
			setReset(c, false)
		}
	})
}

// setReset sets whether a connection is reset when it is closed, without what the kernel has not sent yet.
func setReset(c net.Conn, reset bool) {
	linger := unix.Linger{}
	if reset {
		linger.Onoff = 1
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // no socket
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger)
	}) // fails only on a closed connection
}

// EndsWithReset reports whether a socket is reset when it is closed.
func EndsWithReset(socket syscall.RawConn) (reset bool) {
	_ = socket.Control(func(fd uintptr) {
		linger, err := unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		reset = err == nil && linger.Onoff != 0
	}) // fails only on a closed connection
	return reset
}
