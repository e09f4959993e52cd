package conn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxIdlePerAddress is the maximum number of idle connections kept for one address. At
	// today's sizes an instance has a handful of concurrent calls to one upstream, and an
	// upstream accepts 200 connections from a dozen instances.
	maxIdlePerAddress = 6
	// defaultIdleTimeout is how long an idle connection is kept if the server did not state how
	// long it keeps the connection.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server states, so that no request is
	// sent while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	// readBufferSize is the size of a connection's buffers, in bytes. The read buffer has room
	// for the head of a response and a small body.
	readBufferSize = 4096
)

// Conn is a connection that carries one exchange at a time.
type Conn struct {
	net.Conn
	// in limits the heads that r reads.
	in      headLimiter
	r       *bufio.Reader
	traffic *Traffic
	address string
	// held is the memory that the current exchange has reserved.
	held reservation
	// dialled is when the connection was established, and idleUntil when an idle one expires.
	dialled, idleUntil time.Time
	// written and ended are set once the request was written to its end and the response read to its end; keeps is
	// unset if the server does not keep the connection after the response, and closed is set once it was closed.
	// lastWriteBegun is set once the write of the last byte of the request has begun, and writeReturned once the write of
	// the request has returned, also with an error.
	written, lastWriteBegun, writeReturned, ended, closed atomic.Bool
	keeps                                                 bool
	// serverTimeout is how long the server keeps an idle connection, 0 if it did not state it.
	serverTimeout time.Duration
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// Dial makes new connections. It must be set before the first Get.
	Dial DialFunc
	// Dialled is called after each new connection, to count new connections.
	Dialled func()
	// Traffic counts the bytes of all connections of the pool. It must be set before the first Get.
	Traffic *Traffic
	// Keeps reports whether a connection may carry a further exchange. It must be set before the first Get, and must
	// not use the pool.
	Keeps func(c net.Conn) bool
	// Memory accounts for what responses take beside the buffers of their connections. It must be set before the
	// first Get.
	Memory Memory
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*Conn{}, Dial: dial, Dialled: func() {}, Traffic: &Traffic{}, Keeps: func(net.Conn) bool { return true }, Memory: noAccount{}}
}

// Get returns an idle connection that is still usable, or dials a new one. It returns neither once the context has
// ended.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.IsOpen() {
			c.beginExchange() // the request may be written by another goroutine
			return c, nil
		}
		c.Close()
	}
	raw, err := p.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.newConn(raw, address), nil
}

func (p *Pool) newConn(raw net.Conn, address string) *Conn {
	p.Dialled()
	c := &Conn{Conn: raw, traffic: p.Traffic, address: address, held: reservation{of: p.Memory}, dialled: time.Now()}
	c.in = headLimiter{from: p.Traffic.Reader(raw), held: &c.held}
	c.r = bufio.NewReaderSize(&c.in, readBufferSize)
	return c
}

// beginExchange resets what is known of the exchange before.
func (c *Conn) beginExchange() {
	c.written.Store(false)
	c.lastWriteBegun.Store(false)
	c.writeReturned.Store(false)
	c.ended.Store(false)
}

// Close implements net.Conn. It returns the memory of the current exchange.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.held.releaseAll()
	return c.Conn.Close()
}

// Reserve reserves n bytes of memory for the current exchange and reports whether they are available. They are
// returned when the connection is put back or closed.
func (c *Conn) Reserve(n int) bool { return c.held.reserve(n) }

// Adopt keeps a new connection to an address for the next exchange.
func (p *Pool) Adopt(raw net.Conn, address string) { p.keep(p.newConn(raw, address)) }

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Put takes back a connection after an exchange, however that ended. It is the only place that decides whether
// the connection carries another one; otherwise it is closed.
func (p *Pool) Put(c *Conn) {
	if !c.reusable() {
		c.Close()
		return
	}
	p.keep(c)
}

// keep keeps a connection on which no exchange is in progress, or closes it if it can't be kept.
func (p *Pool) keep(c *Conn) {
	c.shrinkBuffer()
	c.held.releaseAll()
	c.idleUntil = time.Now().Add(defaultIdleTimeout)
	if c.serverTimeout > 0 {
		c.idleUntil = time.Now().Add(min(c.serverTimeout-idleMargin, 4*defaultIdleTimeout))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= maxIdlePerAddress || !time.Now().Before(c.idleUntil) || !p.Keeps(c.Conn) {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Return takes back a connection of Get on which nothing was sent.
func (p *Pool) Return(c *Conn) {
	if !c.IsOpen() {
		c.Close()
		return
	}
	p.keep(c)
}

// HasOpenSince reports whether an idle connection to an address was established before a time and is still open. The
// process that accepted it has not ended since.
func (p *Pool) HasOpenSince(address string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *Conn) bool { return c.dialled.Before(at) && c.IsOpen() })
}

// Sweep closes idle connections that have expired.
func (p *Pool) Sweep() {
	now := time.Now()
	p.drop(func(c *Conn) bool { return !now.Before(c.idleUntil) })
}

// Drop closes the idle connections that match.
func (p *Pool) Drop(match func(address string, c net.Conn) bool) {
	p.drop(func(c *Conn) bool { return match(c.address, c.Conn) })
}

func (p *Pool) drop(match func(c *Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if match(c) {
				c.Close()
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// IsOpen reports whether a connection without an exchange is open and has received nothing. Bytes that
// arrived on an idle connection belong to no request, and an end of file means that the server
// has closed it.
func (c *Conn) IsOpen() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
