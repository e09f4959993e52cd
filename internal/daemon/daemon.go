// Package daemon runs one instance. The core runs in an event loop. Around it are the sockets,
// timers and calls that carry out the core's actions, under a supervision tree.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/metrics"
	"mulberrylug.example/mulberrylug/internal/peer"
	"mulberrylug.example/mulberrylug/internal/platform"
	"mulberrylug.example/mulberrylug/internal/task"
	"mulberrylug.example/mulberrylug/internal/upstream"
)

const (
	// listInterval is the interval at which the instance list is read, announceInterval the
	// interval at which the instance announces itself to the platform.
	listInterval     = time.Second
	announceInterval = time.Second
	// shutdownGrace is how long a shutdown waits for open responses to complete.
	shutdownGrace = 5 * time.Second
	// flushTimeout is how long a drain waits for the last messages to peers to be sent.
	flushTimeout = time.Second
	// idleTimeout is how long a caller's or an operator's connection is kept open without a
	// request.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of the head of a request in bytes.
	maxHeaderBytes = 64 << 10
)

// Platform is the set of platform services that a daemon uses.
type Platform interface {
	platform.Table
	platform.Scanner
	platform.Objects
	platform.Instances
	platform.Weights
}

// Daemon is one running instance.
type Daemon struct {
	settings Settings
	self     membership.Member
	boot     string // identifies this boot of the instance
	log      hclog.Logger

	platform  Platform
	loop      *loop
	peers     *peer.Transport
	upstreams *upstream.Client
	metrics   *metrics.Metrics
	sinks     sinks
	explains  pendingExplains

	callerListener   net.Listener
	operatorListener net.Listener
	lastRequest      atomic.Int64  // number of the last request, part of its id
	killed           atomic.Bool   // set by Kill
	exited           chan struct{} // closed once the instance has drained
	exitOnce         sync.Once
	announcedAddress func(listened string) string // maps the listen address to the address announced to callers
}

// Option configures an instance that New creates.
type Option func(*Daemon)

// Advertise makes the instance announce an address to callers that differs from the one on which
// it listens, for example the address of a proxy. f receives the listen address as host:port and
// returns the address to announce.
func Advertise(f func(listened string) string) Option {
	return func(d *Daemon) { d.announcedAddress = f }
}

// New creates an instance and opens its listening addresses. Serve runs it.
func New(s Settings, p Platform, log hclog.Logger, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: s, platform: p, boot: fmt.Sprintf("%08x", rand.Uint32()), log: log,
		metrics: metrics.NewMetrics(), sinks: sinks{byID: map[string]*Sink{}}, exited: make(chan struct{}),
		explains:         pendingExplains{responses: map[uint64]chan []string{}},
		announcedAddress: func(listened string) string { return listened },
	}
	for _, o := range options {
		o(d)
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.self = membership.Member{
		Name: s.Name, Role: membership.RoleEntry, DataCentre: s.DataCentre, State: membership.Live,
		Address: d.announcedAddress(d.CallerAddress()), PeerAddress: d.peers.Address(),
	}
	without, err := mechanism.Parse(s.Without)
	if err != nil {
		return nil, fmt.Errorf("settings of %s: without: %w", s.Name, err)
	}
	log.Info("starting", "name", s.Name, "data_centre", s.DataCentre, "without", without)
	d.loop = newLoop(core.New(core.Options{Self: d.self, Boot: d.boot, Seed: rand.Uint64(), Without: without}))
	d.loop.do = d.do
	d.upstreams = upstream.NewClient(d.loop.submit)
	d.addGauges()
	return d, nil
}

func (d *Daemon) listen() (err error) {
	if d.callerListener, err = net.Listen("tcp", d.settings.CallerAddress); err != nil {
		return fmt.Errorf("listen for callers on %s: %w", d.settings.CallerAddress, err)
	}
	if d.operatorListener, err = net.Listen("tcp", d.settings.OperatorAddress); err != nil {
		return fmt.Errorf("listen for operators on %s: %w", d.settings.OperatorAddress, err)
	}
	d.peers, err = peer.Listen(d.settings.PeerAddress, d.settings.Name, d.onPeer, d.log.Named("peer"))
	if err != nil {
		return err
	}
	d.peers.OnDropped = func(to string, frames int) { d.metrics.Add("peer_lost_messages_total", to, int64(frames)) }
	return nil
}

func (d *Daemon) onPeer(from string, m msg.Message) {
	d.loop.submit(core.PeerMessage{From: from, Msg: m})
}

// CallerAddress returns the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// OperatorAddress returns the address that operators connect to.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.Addr().String() }

// Serve runs the instance until the context ends or the instance has drained. callers and
// operators are the HTTP handlers of package server.
func (d *Daemon) Serve(ctx context.Context, callers, operators http.Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tree := suture.New(d.settings.Name, suture.Spec{EventHook: func(e suture.Event) {
		d.log.Warn("supervisor", "detail", e.String())
	}})
	tree.Add(d.loop)
	tree.Add(d.peers)
	flushed := make(chan struct{})
	tree.Add(task.Task{Name: "callers", Run: func(ctx context.Context) error {
		err := d.serveHTTP(ctx, d.callerListener, callers, d.exited)
		if errors.Is(err, suture.ErrDoNotRestart) {
			close(flushed)
		}
		return err
	}})
	tree.Add(task.Task{Name: "operators", Run: func(ctx context.Context) error { return d.serveHTTP(ctx, d.operatorListener, operators, nil) }})
	tree.Add(task.Every("list", listInterval, d.readInstanceList))
	tree.Add(task.Every("announcements", announceInterval, d.announce))
	d.log.Info("serving", "name", d.settings.Name, "data_centre", d.settings.DataCentre,
		"caller_address", d.CallerAddress(), "peer_address", d.peers.Address(), "operator_address", d.OperatorAddress())
	ended := tree.ServeBackground(ctx)
	defer close(d.loop.stopped)
	select {
	case <-d.exited:
		// No request is left, but callers may still be receiving the end of their
		// responses. The loop and the sockets stay open until they have received it.
		<-flushed
		d.flush(ctx)
		d.log.Info("drained", "name", d.settings.Name)
		cancel()
		<-ended
		return nil
	case err := <-ended:
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return fmt.Errorf("instance %s: %w", d.settings.Name, err)
	}
}

// flush waits for the last messages to peers, such as settlements and ended grants, to be sent.
// The resources that a lost message would have released stay reserved at the home until the home
// detects the loss.
func (d *Daemon) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := d.peers.Flush(ctx); err != nil {
		d.log.Warn("flush_failed", "step", "drain", "error", err)
	}
}

// serveHTTP serves until the context ends or drained is closed, and returns only once the open
// responses have completed. http.Server.Serve returns as soon as Shutdown begins; a process that
// exited then would truncate responses that are still being written. After a drain there is no
// limit on the wait for open responses.
func (d *Daemon) serveHTTP(ctx context.Context, ln net.Listener, h http.Handler, drained <-chan struct{}) error {
	srv := &http.Server{
		Handler: conn.ResetIncomplete(h), ConnContext: conn.WithServerConn,
		ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		select {
		case <-drained:
			if srv.Shutdown(ctx) == nil {
				return
			}
		case <-ctx.Done():
		}
		d.shutdown(srv)
	}()
	err := srv.Serve(ln)
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err) // the listener failed
	}
	<-shutdownDone
	return suture.ErrDoNotRestart
}

func (d *Daemon) shutdown(srv *http.Server) {
	if d.killed.Load() {
		_ = srv.Close() // an error changes nothing: the server ends anyway
		return
	}
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if srv.Shutdown(grace) != nil {
		_ = srv.Close() // an error changes nothing: the server ends anyway
	}
}

func (d *Daemon) readInstanceList(ctx context.Context) {
	list, err := d.platform.List(ctx)
	var odd *platform.EntriesError
	switch {
	case errors.As(err, &odd):
		d.metrics.Count("platform_failures_total", "list_entries")
		d.log.Warn("instance_list_unreadable", "unreadable", odd.Unreadable, "entries", len(list), "first", odd.First)
	case err != nil:
		d.metrics.Count("platform_failures_total", "list")
		return
	}
	d.loop.submit(core.InstanceList{Members: list})
}

func (d *Daemon) announce(ctx context.Context) {
	m := d.self
	_ = d.loop.call(ctx, func(_ time.Time, inst *core.Instance) []core.Action {
		if inst.Leaving() {
			m.State = membership.Leaving
		}
		return nil
	}) // an error means that the instance is stopping
	if err := d.platform.Announce(ctx, m); err != nil {
		d.metrics.Count("platform_failures_total", "announce")
	}
}
