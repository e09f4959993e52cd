package conn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idlePerAddress bounds the connections kept for one address. At today's
	// sizes an instance has a handful of calls at one upstream at once, and
	// upstreams take 200 connections from a dozen instances.
	idlePerAddress = 6
	// idleDefault is how long a connection is kept whose server did not say
	// how long it keeps it.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the time that a server states, so that no
	// request crosses its close.
	idleMargin = 700 * time.Millisecond
	// readBuffer holds the head of an answer and small bodies.
	readBuffer = 4096
)

// Conn is a connection for one exchange at a time.
type Conn struct {
	net.Conn
	r       *bufio.Reader
	address string
	// until is when an idle connection is given up.
	until time.Time
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// Dialled is called after each new connection, to count them.
	Dialled func()
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}, Dialled: func() {}} }

// Get returns an idle connection that is silent and open, or dials a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.silent() {
			return c, nil
		}
		c.Close()
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.Dialled()
	return &Conn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer), address: address}, nil
}

func (p *Pool) take(address string) *Conn {
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

// Put keeps a connection after a complete exchange; keep is how long the server
// said it keeps it, 0 if it did not say.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	c.until = time.Now().Add(idleDefault)
	if keep > 0 {
		c.until = time.Now().Add(min(keep-idleMargin, 4*idleDefault))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if c.r.Buffered() > 0 || len(list) >= idlePerAddress || !time.Now().Before(c.until) {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Sweep closes idle connections whose time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// silent reports whether nothing has arrived on an idle connection: bytes there
// belong to no request, and an end means that the server has closed it.
func (c *Conn) silent() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
