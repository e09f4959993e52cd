package hosted

import (
	"context"
	"errors"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// stopBroken stops a generation whose stream broke off, at the upstream of its attempt. Most upstreams drop a
// request when its connection closes, but one that works on would run it beside the next upstream. If it still
// ran, the call continues from its memory, also one that may not be repeated.
func (x *exchange) stopBroken(a *forward.Attempt, o forward.Outcome) {
	if !brokenOff(o) || x.isConvicted() || !x.mayStillRun(a) {
		return
	}
	order, ok := x.moveOrder(a)
	if !ok {
		return
	}
	mv, source := x.beginMove(order, false)
	if source == nil {
		return
	}
	outcome, err := x.stopAtOnce(mv, source)
	x.server.decide(func(time.Time, *forward.Gate) { x.activeMove = nil })
	close(mv.done)
	x.server.metrics.Count("broken_streams_total", string(outcome))
	x.server.log.Info("broken_stream", "request", x.call.ID, "upstream", a.Entry.ID, "to", order.To, "outcome", outcome, "error", err)
}

// mayStillRun reports whether the upstream of an attempt may run the call's generation and can be ordered to stop it. A
// move may have ordered that, without a response that confirms that it did.
func (x *exchange) mayStillRun(a *forward.Attempt) (may bool) {
	x.server.decide(func(_ time.Time, g *forward.Gate) {
		may = x.activeMove == nil && x.call.Current() == a && g.CanStop(x.call) && (!x.call.Redirected() || !x.stopped)
	})
	return may
}

// stopAtOnce stops a generation and copies its memory in one call.
func (x *exchange) stopAtOnce(mv *activeMove, source *forward.Attempt) (msg.MoveOutcome, error) {
	ctx, cancel := context.WithTimeout(x.ctx, finalCopyTimeout)
	defer cancel()
	last, err := x.server.copyGeneration(ctx, source.Entry.Address, x.call.ID, mv.order.ToAddress, true)
	switch {
	case err != nil || last.Handle == "":
	case errors.Is(x.lastErr, errOutOfOrder):
		x.server.dropCopy(source.Entry.Address, last.Handle) // its events do not follow those that the caller has
	default:
		x.redirect(mv, source, copies{last: last.Handle, stopped: true}, last.Outcome)
	}
	return last.Outcome, err
}
