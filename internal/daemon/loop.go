package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
)

const (
	// loopQueueSize is the maximum number of events that wait for the loop. Senders block when
	// the queue is full, which applies backpressure to the streams of upstreams.
	loopQueueSize = 8192
	// tickInterval is the interval of the Tick events that let the core act on the passage of
	// time.
	tickInterval = 20 * time.Millisecond
)

// errStopped is returned by calls to an instance that has stopped.
var errStopped = errors.New("the instance has stopped")

// loop passes events to the instance one at a time and starts the actions that the instance
// returns.
type loop struct {
	inst  *core.Instance
	queue chan func(now time.Time) []core.Action
	do    func(ctx context.Context, a core.Action)
	// pause stops the loop from handling events while it is locked. Freeze uses
	// it to simulate a paused process.
	pause sync.Mutex
	// stopped is closed when the instance has stopped.
	stopped chan struct{}
}

func newLoop(inst *core.Instance) *loop {
	return &loop{inst: inst, queue: make(chan func(time.Time) []core.Action, loopQueueSize), stopped: make(chan struct{})}
}

// submit queues an event. Once the instance has stopped, events are dropped: a call that still
// reports must not block on a loop that no longer runs.
func (l *loop) submit(ev core.Event) {
	select {
	case l.queue <- func(now time.Time) []core.Action { return l.inst.Handle(now, ev) }:
	case <-l.stopped:
	}
}

// call runs f on the instance between two events and waits for f to return.
func (l *loop) call(ctx context.Context, f func(now time.Time, inst *core.Instance) []core.Action) error {
	done := make(chan struct{})
	work := func(now time.Time) []core.Action {
		defer close(done)
		return f(now, l.inst)
	}
	select {
	case l.queue <- work:
	case <-l.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// String returns the loop's name for the supervisor. Without this method the supervisor would
// print the loop's fields while other goroutines change them.
func (l *loop) String() string { return "loop" }

// Serve runs the loop until the context ends.
func (l *loop) Serve(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case work := <-l.queue:
			l.run(ctx, work)
		case <-t.C:
			l.run(ctx, func(now time.Time) []core.Action { return l.inst.Handle(now, core.Tick{}) })
		}
	}
}

func (l *loop) run(ctx context.Context, work func(time.Time) []core.Action) {
	l.pause.Lock()
	actions := work(time.Now())
	l.pause.Unlock()
	for _, a := range actions {
		l.do(ctx, a)
	}
}
