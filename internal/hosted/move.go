package hosted

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

const (
	// lastTimeout bounds the wait for the end of a move once the source has stopped. After it,
	// the first copy is used.
	lastTimeout = 700 * time.Millisecond
)

// mover makes one move of a running generation.
type mover struct {
	order msg.MoveOrder
	// done is closed at the end.
	done chan struct{}
}

// orderMove starts a move ordered by the pool's home.
func (s *server) orderMove(from string, m msg.MoveOrder) {
	reply := func(o msg.MoveOutcome) {
		s.homes.send(from, msg.Moved{Pool: m.Pool, Attempt: m.Attempt, Number: m.Number, Outcome: o})
	}
	x := s.find(requestOf(m.Attempt))
	if x == nil {
		reply(msg.MoveEnded)
		return
	}
	mv, source := x.beginMove(m)
	if source == nil {
		reply(msg.MoveNoRun)
		return
	}
	s.decide(func(now time.Time, g *forward.Gate) { g.Leaves(now, source) })
	go func() { reply(x.runMove(mv, source, x.move)) }()
}

// beginMove registers a move. It returns no source if another one is in progress or the run is
// not at the order's source.
func (x *exchange) beginMove(m msg.MoveOrder) (mv *mover, source *forward.Attempt) {
	mv = &mover{order: m, done: make(chan struct{})}
	x.server.decide(func(time.Time, *forward.Gate) {
		if a := x.call.Current(); x.mover == nil && a != nil && a.Entry.ID == m.From && x.body.whole() {
			source = a
			x.mover = mv
		}
	})
	return mv, source
}

// runMove runs a registered move by the given steps.
func (x *exchange) runMove(mv *mover, source *forward.Attempt, steps func(*mover, *forward.Attempt) (msg.MoveOutcome, error)) msg.MoveOutcome {
	s := x.server
	outcome, err := steps(mv, source)
	events := 0
	s.decide(func(time.Time, *forward.Gate) { x.mover, events = nil, x.call.Events })
	close(mv.done)
	s.metrics.Count("moves_total", string(outcome))
	s.log.Info("move", "request", x.call.ID, "from", mv.order.From, "to", mv.order.To, "number", mv.order.Number,
		"outcome", outcome, "events", events, "error", err)
	return outcome
}

// move copies the run's memory while it continues, then stops it and copies the remainder, so
// that the caller waits for the short second copy only. It waits for the answer even if the
// run ends meanwhile: only the answer names the copy, which must be freed.
func (x *exchange) move(mv *mover, source *forward.Attempt) (msg.MoveOutcome, error) {
	first, err := x.server.copyRun(context.WithoutCancel(x.ctx), source.Entry.Address, x.call.ID, mv.order.ToAddress, false)
	if x.ctx.Err() != nil && err == nil {
		x.server.dropCopy(source.Entry.Address, first.Handle)
		return msg.MoveEnded, x.ctx.Err()
	}
	if err != nil || first.Outcome != msg.MoveDone {
		return first.Outcome, err
	}
	if !x.mayMove(mv.order) {
		x.server.dropCopy(source.Entry.Address, first.Handle)
		return msg.MoveNoRoom, errCordoned
	}
	return x.stopAndCopy(mv, source, first.Handle)
}

// errCordoned: the destination of a move was cordoned meanwhile.
var errCordoned = errors.New("the destination is cordoned")

// mayMove reports whether a run may still continue at a move's destination.
func (x *exchange) mayMove(o msg.MoveOrder) (may bool) {
	x.server.decide(func(_ time.Time, g *forward.Gate) { may = g.MayMove(x.call, o.ToDataCentre) })
	return may
}

// stopAndCopy stops the run, copies what an earlier copy lacks and redirects the call there.
func (x *exchange) stopAndCopy(mv *mover, source *forward.Attempt, earlier string) (msg.MoveOutcome, error) {
	s := x.server
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), lastTimeout)
	defer cancel()
	last, err := s.copyRun(ctx, source.Entry.Address, x.call.ID, mv.order.ToAddress, true)
	handle := cmp.Or(last.Handle, earlier)
	if x.ctx.Err() != nil {
		s.dropCopy(source.Entry.Address, handle)
		return msg.MoveEnded, x.ctx.Err()
	}
	if last.Outcome == msg.MoveNoRun {
		s.dropCopy(source.Entry.Address, handle)
		return msg.MoveNoRun, err
	}
	if handle == "" {
		return last.Outcome, err // nothing to go on from
	}
	x.redirect(mv, source, handle, last.Outcome)
	return last.Outcome, err
}

// redirect makes the call continue from the copy.
func (x *exchange) redirect(mv *mover, source *forward.Attempt, handle string, o msg.MoveOutcome) {
	s := x.server
	s.decide(func(_ time.Time, g *forward.Gate) {
		to := g.Roster().Find(mv.order.To)
		if to == nil {
			to = &roster.Upstream{Entry: roster.Entry{ID: mv.order.To, Address: mv.order.ToAddress, DataCentre: mv.order.ToDataCentre, Service: x.call.Service}}
		}
		at := s.wire.CopyAt(source.Entry.Address, handle)
		back := &forward.Attempt{Upstream: source.Upstream, CopyAt: at}
		if o == msg.MoveNoRoom {
			g.Redirect(x.call, source.Upstream, at, nil)
			return
		}
		g.Redirect(x.call, to, at, back)
	})
}

// dropCopy frees a copy whose run has ended. If that fails, the copy expires.
func (s *server) dropCopy(source, handle string) {
	if handle == "" {
		return
	}
	if _, err := s.call(context.Background(), source, s.wire.DropCopy(handle)); err != nil {
		s.log.Info("copy_not_dropped", "address", source, "copy", handle, "error", err)
	}
}

// copyRun makes one copy.
func (s *server) copyRun(ctx context.Context, source, id, to string, last bool) (Copy, error) {
	call, err := s.wire.Move(id, to, last)
	if err != nil {
		return Copy{Outcome: msg.MoveFailed}, err
	}
	got, err := s.call(ctx, source, call)
	if err != nil {
		return Copy{Outcome: msg.MoveFailed}, fmt.Errorf("copy run to %s: %w", to, err)
	}
	return s.wire.Moved(got.status, got.body), nil
}

// awaitMove waits for the end of a move in progress, which may be the reason why the stream
// stopped.
func (x *exchange) awaitMove() {
	var mv *mover
	x.server.decide(func(time.Time, *forward.Gate) { mv = x.mover })
	if mv == nil {
		return
	}
	select {
	case <-mv.done:
	case <-x.ctx.Done():
	}
}
