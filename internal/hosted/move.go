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
	// finalCopyTimeout limits the second copy of a move, for which the generation is stopped at
	// the source. After it, the first copy is used.
	finalCopyTimeout = 700 * time.Millisecond
	// copyTimeout limits the copy of a generation that continues meanwhile, and queuedCopyTimeout that of one
	// whose connection is silent: all streams of an engine can be, and their copies use its link in turn.
	copyTimeout       = callTimeout
	queuedCopyTimeout = 4 * time.Second
	// stopLimit is how long an engine is asked to stop a generation whose connection is silent, and
	// stopInterval the time between the calls. A copy is kept for some seconds.
	stopLimit    = 4 * time.Second
	stopInterval = 200 * time.Millisecond
	// stoppedEndTimeout is how long the end of a stopped generation's stream may take to arrive. Its last events may
	// be on their way; those that are lost are made again.
	stoppedEndTimeout = 300 * time.Millisecond
)

// activeMove is a move of a running generation in progress.
type activeMove struct {
	order msg.MoveOrder
	// done is closed when the move has ended.
	done chan struct{}
}

// onMoveOrder starts a move that the pool's home has ordered, and sends its outcome to the home.
func (s *server) onMoveOrder(from string, m msg.MoveOrder) {
	sendOutcome := func(o msg.MoveOutcome) {
		s.homes.send(from, msg.MoveResult{Pool: m.Pool, Attempt: m.Attempt, Number: m.Number, Outcome: o})
	}
	x := s.findExchange(requestOf(m.Attempt))
	if x == nil {
		sendOutcome(msg.MoveEnded)
		return
	}
	if !x.mayMove(m) {
		s.metrics.Count("moves_total", "refused")
		s.log.Info("move_refused", "request", x.call.ID, "from", m.From, "to", m.To, "number", m.Number,
			"software", softwareName(x.software()), "to_software", softwareName(m.ToSoftware), "error", errUnavailable)
		sendOutcome(msg.MoveNoRoom)
		return
	}
	mv, source := x.beginMove(m, true)
	if source == nil {
		sendOutcome(msg.MoveNoRun)
		return
	}
	s.decide(func(now time.Time, g *forward.Gate) { g.Leaves(now, source) })
	go func() { sendOutcome(x.runMove(mv, source, x.copyThenStop)) }()
}

// beginMove registers a move. It returns no source if another move is in progress, if the
// generation does not run at the order's source, or if the request's body cannot be sent again. With connected, the
// attempt must have its connection: the call awaits a move that began before the end of its attempt, and may have gone
// on at the same upstream before a later one tells that to stop.
func (x *exchange) beginMove(m msg.MoveOrder, connected bool) (mv *activeMove, source *forward.Attempt) {
	mv = &activeMove{order: m, done: make(chan struct{})}
	x.server.decide(func(time.Time, *forward.Gate) {
		if connected && x.conn == nil {
			return
		}
		if a := x.call.Current(); x.activeMove == nil && a != nil && a.Entry.ID == m.From && x.body.replayable() {
			source = a
			x.activeMove = mv
		}
	})
	return mv, source
}

// runMove runs the given steps of a registered move and records the outcome.
func (x *exchange) runMove(mv *activeMove, source *forward.Attempt, steps func(*activeMove, *forward.Attempt) (msg.MoveOutcome, error)) msg.MoveOutcome {
	s := x.server
	outcome, err := steps(mv, source)
	events := 0
	s.decide(func(time.Time, *forward.Gate) { x.activeMove, events = nil, x.call.Events })
	close(mv.done)
	s.metrics.Count("moves_total", string(outcome))
	s.log.Info("move", "request", x.call.ID, "from", mv.order.From, "to", mv.order.To, "number", mv.order.Number,
		"outcome", outcome, "events", events, "error", err)
	return outcome
}

// copyThenStop copies the generation's memory while the generation continues, then stops it and
// copies the remainder, so that the caller waits only for the short second copy.
func (x *exchange) copyThenStop(mv *activeMove, source *forward.Attempt) (msg.MoveOutcome, error) {
	handle, outcome, err := x.copyRunning(mv, source, copyTimeout)
	if handle == "" {
		return outcome, err
	}
	return x.stopAndCopy(mv, source, handle)
}

// copyRunning copies the memory of a generation that continues. It returns no handle if the generation is
// not to be stopped. It waits for the response even if the generation ends meanwhile: only this response
// names the copy, which must be freed.
func (x *exchange) copyRunning(mv *activeMove, source *forward.Attempt, timeout time.Duration) (handle string, outcome msg.MoveOutcome, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), timeout)
	defer cancel()
	first, err := x.server.copyGeneration(ctx, source.Entry.Address, x.call.ID, mv.order.ToAddress, false)
	if x.ctx.Err() != nil && err == nil {
		x.server.dropCopy(source.Entry.Address, first.Handle)
		return "", msg.MoveEnded, x.ctx.Err()
	}
	if err != nil || first.Outcome != msg.MoveDone {
		return "", first.Outcome, err
	}
	if !x.mayMove(mv.order) {
		x.server.dropCopy(source.Entry.Address, first.Handle)
		return "", msg.MoveNoRoom, errUnavailable
	}
	return first.Handle, msg.MoveDone, nil
}

// errUnavailable reports that the destination of a move has other software than the source, was cordoned, began
// to leave or asked for a pause.
var errUnavailable = errors.New("the destination of the move has other software, is cordoned, leaves or wants a pause")

// mayMove reports whether a generation may continue at a move's destination.
func (x *exchange) mayMove(o msg.MoveOrder) (may bool) {
	x.server.decide(func(now time.Time, g *forward.Gate) { may = g.MayMove(now, x.call, x.destination(g, o).Entry) })
	return may
}

// destination returns the upstream that an order names, as far as it is known here or stated in the order.
func (x *exchange) destination(g *forward.Gate, o msg.MoveOrder) *roster.Upstream {
	if u := g.Roster().Find(o.To); u != nil && u.Address == o.ToAddress {
		return u
	}
	return &roster.Upstream{Entry: roster.Entry{ID: o.To, Address: o.ToAddress, DataCentre: o.ToDataCentre, Software: o.ToSoftware, Service: x.call.Service}}
}

// software returns the software version of the current attempt's upstream, "" if it is unknown or there is no
// attempt.
func (x *exchange) software() (software string) {
	x.server.decide(func(time.Time, *forward.Gate) {
		if a := x.call.Current(); a != nil {
			software = a.Entry.Software
		}
	})
	return software
}

// stopAndCopy stops the generation, copies the part of its memory that an earlier copy lacks, and
// redirects the call to the copy. earlier is the handle of the earlier copy, or "".
func (x *exchange) stopAndCopy(mv *activeMove, source *forward.Attempt, earlier string) (msg.MoveOutcome, error) {
	s := x.server
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), finalCopyTimeout)
	defer cancel()
	last, err := s.copyGeneration(ctx, source.Entry.Address, x.call.ID, mv.order.ToAddress, true)
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
		return last.Outcome, err // there is no copy to continue from
	}
	if !x.redirect(mv, source, copies{last: handle, earlier: earlier, stopped: last.Handle != ""}, last.Outcome) {
		return msg.MoveEnded, err
	}
	if last.Handle != "" {
		time.AfterFunc(stoppedEndTimeout, func() { x.closeStopped(source) })
	}
	return last.Outcome, err
}

// closeStopped closes the connection of a generation that was stopped, but not while events of it that have arrived
// wait for the caller.
func (x *exchange) closeStopped(source *forward.Attempt) {
	x.server.decide(func(time.Time, *forward.Gate) {
		if x.conn != nil && x.call.AwaitsEvents(source) {
			x.conn.Close()
		}
	})
}

// errDelivers reports that a connection that had been silent delivers events again.
var errDelivers = errors.New("the connection of the stream delivers events again")

// moveSilent moves a generation whose connection delivers nothing, so that the end of its stream does not
// arrive either. The connection is closed only once it is known that the generation does not run at the source
// any more, and a copy exists: otherwise the generation could run twice, or be lost.
func (x *exchange) moveSilent(mv *activeMove, source *forward.Attempt) (msg.MoveOutcome, error) {
	before := x.eventCount()
	handle, outcome, err := x.copyRunning(mv, source, queuedCopyTimeout)
	if handle == "" {
		return outcome, err
	}
	if x.eventCount() != before {
		x.server.dropCopy(source.Entry.Address, handle)
		return msg.MoveEnded, errDelivers
	}
	for end := time.Now().Add(stopLimit); ; sleep(x.ctx, stopInterval) {
		last, err := x.stopOnce(mv, source)
		switch {
		case x.ctx.Err() != nil:
			x.server.dropCopy(source.Entry.Address, cmp.Or(last.Handle, handle))
			return msg.MoveEnded, x.ctx.Err()
		case last.Handle != "" || last.Outcome == msg.MoveNoRun && x.isGone(source):
			if !x.redirect(mv, source, copies{last: cmp.Or(last.Handle, handle), earlier: handle, stopped: true}, last.Outcome) {
				return msg.MoveEnded, nil
			}
			x.closeConn(source)
			return last.Outcome, nil
		case time.Now().After(end):
			// Whether the generation stopped is not known: the copy is used only if its stream ends.
			x.redirect(mv, source, copies{last: handle}, msg.MoveFailed)
			return msg.MoveFailed, err
		}
	}
}

// stopOnce tells the source to stop a generation and to copy what an earlier copy lacks.
func (x *exchange) stopOnce(mv *activeMove, source *forward.Attempt) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), callTimeout)
	defer cancel()
	return x.server.copyGeneration(ctx, source.Entry.Address, x.call.ID, mv.order.ToAddress, true)
}

// isGone reports whether the upstream of an attempt reports neither the call's generation nor one that waits,
// which may be the same one after it was preempted.
func (x *exchange) isGone(a *forward.Attempt) bool {
	report, err := x.server.requestReport(x.ctx, a.Entry.Address)
	_, listed := report.Events[x.call.ID]
	return err == nil && report.Events != nil && !listed && report.Waiting == 0
}

// eventCount returns the number of events that the caller has got, or that are buffered for it.
func (x *exchange) eventCount() (events int) {
	x.server.decide(func(time.Time, *forward.Gate) { events = x.call.Events })
	return events
}

// copies are the handles of the copies of a generation: of the last one, and of one that was made at the
// destination before, or "". stopped is set if the generation is known to run at the source no more.
type copies struct {
	last, earlier string
	stopped       bool
}

// redirect makes the call continue from a copy: at the destination, with the source as the fallback, or at the
// source if the destination had no room, with the earlier copy at the destination as the fallback. If the attempt has
// ended, the call has gone on without the copies, which are freed, and it returns false.
func (x *exchange) redirect(mv *activeMove, source *forward.Attempt, c copies, o msg.MoveOutcome) bool {
	s := x.server
	at := func(handle string) string { return s.wire.CopyAt(source.Entry.Address, handle) }
	ended := false
	s.decide(func(_ time.Time, g *forward.Gate) {
		if ended = x.call.Current() != source; ended {
			return
		}
		x.stopped = c.stopped
		to := x.destination(g, mv.order)
		if o != msg.MoveNoRoom {
			g.Redirect(x.call, to, at(c.last), &forward.Attempt{Upstream: source.Upstream, CopyAt: at(c.last)})
			return
		}
		var fallback *forward.Attempt
		if c.earlier != "" {
			fallback = &forward.Attempt{Upstream: to, CopyAt: at(c.earlier)}
		}
		g.Redirect(x.call, source.Upstream, at(c.last), fallback)
	})
	if !ended {
		return true
	}
	s.dropCopy(source.Entry.Address, c.last)
	if c.earlier != c.last {
		s.dropCopy(source.Entry.Address, c.earlier)
	}
	return false
}

// dropCopy frees a copy of a generation that has ended. If that fails, the copy is left to
// expire.
func (s *server) dropCopy(source, handle string) {
	if handle == "" {
		return
	}
	if _, err := s.call(context.Background(), source, s.wire.DropCopy(handle)); err != nil {
		s.log.Info("copy_not_dropped", "address", source, "copy", handle, "error", err)
	}
}

// copyGeneration copies a generation's memory once, within the time limit of the context. With final, the
// generation is stopped first.
func (s *server) copyGeneration(ctx context.Context, source, id, to string, final bool) (CopyResult, error) {
	call, err := s.wire.CopyCall(id, to, final)
	if err != nil {
		return CopyResult{Outcome: msg.MoveFailed}, err
	}
	got, err := s.callWithin(ctx, source, call)
	if err != nil {
		return CopyResult{Outcome: msg.MoveFailed}, fmt.Errorf("copy generation to %s: %w", to, err)
	}
	return s.wire.DecodeCopy(got.status, got.body), nil
}

// awaitMove waits for the end of a move in progress, which may be the reason why the stream
// ended.
func (x *exchange) awaitMove() {
	var mv *activeMove
	x.server.decide(func(time.Time, *forward.Gate) { mv = x.activeMove })
	if mv == nil {
		return
	}
	select {
	case <-mv.done:
	case <-x.ctx.Done():
	}
}
