package conn

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// Traffic counts the bytes of a process's connections, without the headers of TCP and IP. The zero
// value is ready to use.
type Traffic struct {
	Sent, Received atomic.Int64
}

// Listener returns a listener whose connections are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return countedListener{Listener: l, traffic: t}
}

// Reader returns a reader whose bytes count as received.
func (t *Traffic) Reader(r io.Reader) io.Reader { return countedReader{r: r, traffic: t} }

// Writer returns a writer whose bytes count as sent.
func (t *Traffic) Writer(w io.Writer) io.Writer { return countedWriter{w: w, traffic: t} }

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c countedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

type countedReader struct {
	r       io.Reader
	traffic *Traffic
}

// Read implements io.Reader.
func (r countedReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.traffic.Received.Add(int64(n))
	return n, err
}

type countedWriter struct {
	w       io.Writer
	traffic *Traffic
}

// Write implements io.Writer.
func (w countedWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.traffic.Sent.Add(int64(n))
	return n, err
}
