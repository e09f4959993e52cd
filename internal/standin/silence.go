package standin

import (
	"net"
	"sync"
	"time"
)

// link carries what a server exchanges with its clients, and can fall silent for a time.
type link struct {
	mu sync.Mutex
	// stalledUntil is the end of the latest stall.
	stalledUntil time.Time
	// cutUntil is the end of the latest cut, and late the further delay of what was sent in it.
	cutUntil time.Time
	late     time.Duration
}

// Stall makes the server neither accept, read nor write for a duration from now on. The kernel still
// accepts connections and acknowledges what clients send.
func (s *Server) Stall(d time.Duration) {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	s.link.stalledUntil = later(s.link.stalledUntil, time.Now().Add(d))
}

// AwaitStall waits until the server is not stalled.
func (s *Server) AwaitStall() { s.link.awaitStall() }

// CutOff delivers nothing between the server and its clients for a duration from now on, while the server
// goes on. All that is sent meanwhile arrives in order after the cut: on new connections at once, on those
// that are open in the cut after a further delay, as TCP backs off before it sends again.
func (s *Server) CutOff(d, late time.Duration) {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	s.link.cutUntil, s.link.late = later(s.link.cutUntil, time.Now().Add(d)), late
}

// isCut reports whether nothing is delivered.
func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.cutUntil)
}

func (l *link) awaitStall() {
	l.wait(func() time.Time { return l.stalledUntil })
}

// awaitCut waits until the end of the cut.
func (l *link) awaitCut() {
	l.wait(func() time.Time { return l.cutUntil })
}

// awaitDelivery waits until what was sent in the cut is delivered.
func (l *link) awaitDelivery() {
	l.wait(func() time.Time { return l.cutUntil.Add(l.late) })
}

// wait waits until a time that may move while it waits.
func (l *link) wait(until func() time.Time) {
	for {
		l.mu.Lock()
		left := time.Until(until())
		l.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// linkListener accepts connections through a link.
type linkListener struct {
	*net.TCPListener
	link *link
	// sendBuffer is the size of the send buffers of connections; 0 leaves it to the system.
	sendBuffer int
}

// Accept implements net.Listener.
func (ln *linkListener) Accept() (net.Conn, error) {
	c, err := ln.AcceptTCP()
	if err != nil {
		return nil, err
	}
	if ln.sendBuffer > 0 {
		_ = c.SetWriteBuffer(ln.sendBuffer) // fails only on a closed connection
	}
	ln.link.awaitStall()
	ln.link.awaitCut()
	return &linkConn{Conn: c, tcp: c, link: ln.link}, nil
}

// linkConn is a connection that passes a link.
type linkConn struct {
	net.Conn
	tcp  *net.TCPConn
	link *link

	mu sync.Mutex
	// held is what was written and not sent yet. sending is set while a goroutine sends it. closingWrite and
	// closing are set if the connection is to be closed after that, at this end's side or whole.
	held                           []byte
	sending, closingWrite, closing bool
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if c.link.isCut() {
		c.link.awaitDelivery()
	}
	c.link.awaitStall()
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	c.link.awaitStall()
	if c.hold(p) {
		return len(p), nil
	}
	return c.tcp.Write(p)
}

// hold keeps bytes back if the network is cut or earlier bytes are not sent yet, and reports whether it did.
func (c *linkConn) hold(p []byte) bool {
	cut := c.link.isCut()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cut && !c.sending {
		return false
	}
	c.held = append(c.held, p...)
	if !c.sending {
		c.sending = true
		go c.send()
	}
	return true
}

// send sends what is held.
func (c *linkConn) send() {
	for {
		c.link.awaitDelivery()
		c.mu.Lock()
		p := c.held
		c.held, c.sending = nil, len(p) > 0
		closing, closingWrite := c.closing, c.closingWrite
		c.mu.Unlock()
		switch {
		case len(p) > 0:
			_, _ = c.tcp.Write(p) // the next write or read reports the error, too
			continue
		case closing:
			_ = c.tcp.Close() // the error is of no use
		case closingWrite:
			_ = c.tcp.CloseWrite() // fails only on a closed connection
		}
		return
	}
}

// CloseWrite closes the connection at this end's side once what is held is sent.
func (c *linkConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closingWrite = true; c.sending {
		return nil
	}
	return c.tcp.CloseWrite()
}

// SetLinger sets what becomes of what is not sent yet when the connection is closed; 0 resets the connection.
func (c *linkConn) SetLinger(sec int) error { return c.tcp.SetLinger(sec) }

// Close implements net.Conn. What is held is sent before.
func (c *linkConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing = true; c.sending {
		return nil
	}
	return c.tcp.Close()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
