package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// writeTimeout is the timeout of each write to a connection.
	writeTimeout = time.Second
	// idleTimeout is how long a connection may carry no message before its sender closes it. At
	// the target size an instance communicates with 389 others, 130 of which are replaced each
	// day.
	idleTimeout = time.Minute
	// readTimeout is how long a receiver waits for the next message. It ends a connection whose
	// sender should have closed it but whose closing packet was lost; otherwise the reader would
	// wait for ever.
	readTimeout = 3 * idleTimeout
)

// Handler handles a message from another instance. from is the sender's name.
type Handler func(from string, m msg.Message)

// Transport sends messages to other instances and receives messages from them. A connection is
// dialled for the first message to an instance and kept; each connection carries messages in one
// direction only.
type Transport struct {
	self      string
	listeners []net.Listener
	handle    Handler
	log       hclog.Logger
	// OnDropped is called with the number of frames lost when a connection fails. It must be set
	// before the first Send.
	OnDropped func(to string, frames int)
	// OnQueued is called with the size in bytes of each frame that is to be queued. It must be set
	// before the first Send.
	OnQueued func(to string, kind msg.Kind, bytes int)
	// Traffic counts the bytes of all connections. It must be set before Serve and the first Send.
	Traffic *conn.Traffic
	// OnConnectionEnded is called when a connection from another instance has ended, with the name
	// of that instance. It must be set before Serve.
	OnConnectionEnded func(from string)
	// OnTunnel handles a request for a tunnel. The connection is closed when it returns. It must be set
	// before Serve.
	OnTunnel func(from string, m msg.TunnelRequest, t *Tunnel)
	// Memory is where the memory of queued messages is reserved. It must be set before the first
	// Send.
	Memory Memory

	mu    sync.Mutex
	links map[string]*link
}

// link is the outgoing connection to one instance, with the queue of frames for it.
type link struct {
	to      string
	address string
	queue   *queue
	cancel  context.CancelFunc
}

// Listen returns the transport of the instance named self, which listens on address and passes
// received messages to handle.
func Listen(address, self string, handle Handler, log hclog.Logger) (*Transport, error) {
	t := &Transport{
		self: self, handle: handle, log: log, links: map[string]*link{}, Memory: unlimited{}, Traffic: &conn.Traffic{},
		OnTunnel:  func(string, msg.TunnelRequest, *Tunnel) {},
		OnDropped: func(string, int) {}, OnQueued: func(string, msg.Kind, int) {}, OnConnectionEnded: func(string) {},
	}
	return t, t.ListenAlso(address)
}

// ListenAlso listens on a further address for peers. It must be called before Serve.
func (t *Transport) ListenAlso(address string) error {
	ln, err := conn.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w", address, err)
	}
	t.listeners = append(t.listeners, ln)
	return nil
}

// Address returns the address that peers dial.
func (t *Transport) Address() string { return t.listeners[0].Addr().String() }

// String returns the transport's name for the supervisor. Without this method the supervisor
// would print the transport's fields while other goroutines change them.
func (t *Transport) String() string { return "peer transport " + t.Address() }

// Serve accepts connections until the context ends.
func (t *Transport) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, t.close)
	defer stop()
	ended := make(chan error, len(t.listeners))
	for _, ln := range t.listeners {
		go func() { ended <- t.accept(ctx, ln) }()
	}
	err := <-ended
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("accept peer: %w", err)
}

func (t *Transport) accept(ctx context.Context, ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go t.receive(ctx, conn)
	}
}

func (t *Transport) close() {
	for _, ln := range t.listeners {
		ln.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range t.links {
		l.cancel()
		delete(t.links, name)
	}
}

func (t *Transport) receive(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	r := bufio.NewReader(t.Traffic.Reader(conn))
	sender, warned := "", false
	for {
		if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return // the connection has ended
		}
		from, m, err := Decode(r)
		if errors.Is(err, ErrKind) {
			if !warned {
				t.log.Warn("peer_message_unknown", "peer", from, "error", err)
			}
			sender, warned = from, true // a later release may send kinds that this one ignores
			continue
		}
		if err != nil {
			t.logEnd(conn, err)
			if ctx.Err() == nil && sender != "" {
				t.OnConnectionEnded(sender)
			}
			return
		}
		sender = from
		if req, ok := m.(msg.TunnelRequest); ok {
			t.serveTunnel(from, req, conn, r)
			return
		}
		t.handle(from, m)
	}
}

// logEnd logs why a connection ended. Frames that can't be decoded are logged as warnings.
func (t *Transport) logEnd(conn net.Conn, err error) {
	level := hclog.Debug
	if errors.Is(err, ErrVersion) || errors.Is(err, ErrTooLarge) {
		level = hclog.Warn
	}
	t.log.Log(level, "peer_connection_ended", "step", "receive", "peer", conn.RemoteAddr().String(), "error", err)
}

// Send queues a message for an instance. It never blocks. A message for which the queue has no
// room is dropped, and Send returns an error.
func (t *Transport) Send(to, address string, m msg.Message) error {
	frame, err := Encode(t.self, m)
	if err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	t.OnQueued(to, m.Kind(), len(frame))
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.link(to, address).queue.push(frame) {
		return fmt.Errorf("send to %s at %s: queue is full", to, address)
	}
	return nil
}

// Flush waits until all queued frames have been written or lost. It returns an error that wraps
// the context's if the context ends first.
func (t *Transport) Flush(ctx context.Context) error {
	const pollInterval = 5 * time.Millisecond
	for !t.empty() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("flush messages to peers: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (t *Transport) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if !l.queue.empty() {
			return false
		}
	}
	return true
}

// Reset drops the connection to an instance; the next Send dials a new one.
func (t *Transport) Reset(to string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[to]; l != nil {
		l.cancel()
		delete(t.links, to)
	}
}

// link returns the link to a peer and starts one if there is none to this address. t.mu must be
// held.
func (t *Transport) link(to, address string) *link {
	l := t.links[to]
	if l != nil && l.address == address {
		return l
	}
	if l != nil {
		l.cancel() // another instance has replaced this one under the same name
	}
	ctx, cancel := context.WithCancel(context.Background())
	l = &link{to: to, address: address, queue: newQueue(t.Memory), cancel: cancel}
	t.links[to] = l
	go t.run(ctx, l)
	return l
}

// run dials and writes until the link is cancelled or idle. After a failure it drops the queued
// frames, which are too late to be of use by then, and dials again for the next frame.
func (t *Transport) run(ctx context.Context, l *link) {
	defer l.queue.discard()
	defer l.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleTimeout):
			if t.removeIdle(l) {
				return
			}
		case <-l.queue.ready:
			lost, err := t.write(ctx, l)
			if err == nil || ctx.Err() != nil {
				continue
			}
			queued := len(l.queue.take())
			l.queue.done(queued)
			lost += queued
			t.OnDropped(l.to, lost)
			t.log.Debug("peer_link_broke", "step", "send", "peer", l.to, "address", l.address, "lost", lost, "error", err)
		}
	}
}

// removeIdle removes an idle link from the map. It returns false if a frame was queued in the
// meantime.
func (t *Transport) removeIdle(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !l.queue.closeIfEmpty() {
		return false
	}
	if t.links[l.to] == l {
		delete(t.links, l.to)
	}
	return true
}

// write dials and writes all queued frames; frames that wait together are written together. It
// returns the number of frames lost by an error, or a nil error once the connection has been
// idle for idleTimeout.
func (t *Transport) write(ctx context.Context, l *link) (lost int, err error) {
	c, err := conn.Dialer().DialContext(ctx, "tcp", l.address)
	if err != nil {
		return 0, fmt.Errorf("dial %s: %w", l.address, err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, fmt.Errorf("write to %s: %w", l.address, err)
		}
		frames := l.queue.take()
		n := len(frames)
		sent, err := frames.WriteTo(c)
		t.Traffic.Sent.Add(sent)
		l.queue.done(n)
		if err != nil {
			return n, fmt.Errorf("write to %s: %w", l.address, err)
		}
		idle.Reset(idleTimeout)
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-idle.C:
			return 0, nil
		case <-l.queue.ready:
		}
	}
}
