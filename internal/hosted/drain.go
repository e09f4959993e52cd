package hosted

import (
	"context"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
)

const (
	// drainCheckInterval is the interval between checks whether a drain is over.
	drainCheckInterval = 50 * time.Millisecond
	// completionTime is how long responses that have begun may go on after the other requests in progress
	// have got their final answers.
	completionTime = 250 * time.Millisecond
	// flushTime is how long final answers may take to reach callers.
	flushTime = 100 * time.Millisecond
	// ExitTime is what a process may take for its exit after the last answers, as for writing its log.
	ExitTime = 100 * time.Millisecond
)

// Drain directs callers to other instances and ends Serve once no request is in progress or the
// grace period is over.
func (i *Instance) Drain() {
	began := boottime.Now()
	i.server.decide(func(_ time.Time, g *forward.Gate) {
		i.server.leaving = true
		g.Drain(i.drainEnd(began))
	})
	i.log.Info("draining", "name", i.settings.Name, "open_requests", i.server.openRequests(), "grace", i.current().Grace)
	i.peers.sendHeartbeats()
	i.server.origins.handOver()
	go i.waitDrained(began)
}

// drainEnd returns when the requests in progress end with the process. The caller holds the server's lock.
func (i *Instance) drainEnd(began time.Time) time.Time {
	return began.Add(max(i.settings.Grace-drainMargin, 0))
}

// waitDrained closes drained once no request and no tunnel is in progress, at the earliest when callers no
// longer use this instance's address, or when the grace period is almost over. Until then it refuses the
// requests that wait and can't end in time, and in the end those that are left.
func (i *Instance) waitDrained(began time.Time) {
	for over := false; !over; {
		time.Sleep(drainCheckInterval)
		i.server.decide(func(now time.Time, g *forward.Gate) {
			g.Drain(i.drainEnd(began)) // a reload may have shortened the grace period
			lingered := now.Sub(began) > lingerTTLs*directoryTTL+time.Second
			if lingered && i.server.openRequests() == 0 && i.tunnels.open.Load() == 0 {
				g.Drain(now) // what arrives from now on is refused
			}
			over = g.DrainOver(now)
			i.server.giveUpWaiting(now, g)
		})
	}
	i.endRequests()
	close(i.drained)
}

// giveUpWaiting refuses the requests that wait for a grant or a permit and can't end in time any more. The
// caller holds the lock.
func (s *server) giveUpWaiting(now time.Time, g *forward.Gate) {
	for _, x := range s.running {
		if !x.givenUp && g.MustGiveUp(now, x.call) {
			x.givenUp = true
			close(x.giveUp)
		}
	}
}

// endRequests ends the requests that are still in progress with their final answers, and waits until these
// were sent. Responses that have begun get some time to complete.
func (i *Instance) endRequests() {
	open := i.server.cancelRequests(waiting, sent)
	for progress, n := range open {
		i.metrics.Add("requests_at_exit_total", progress, int64(n))
	}
	i.log.Info("drain_ended", "name", i.settings.Name, "waiting", open[waiting], "sent", open[sent], "responding", open[responding], "tunnels", i.tunnels.open.Load())
	if i.closeCallers(completionTime) == nil {
		return
	}
	i.server.cancelRequests(waiting, sent, responding)
	if err := i.closeCallers(flushTime); err != nil {
		i.log.Warn("answers_not_sent", "open_requests", i.server.openRequests(), "error", err)
	}
}

// cancelRequests cancels the requests in progress that are in one of the given states, and returns the number
// of requests in progress by state.
func (s *server) cancelRequests(states ...string) map[string]int {
	open := map[string]int{}
	s.decide(func(time.Time, *forward.Gate) {
		for _, x := range s.running {
			state := progressOf(x.call)
			open[state]++
			if slices.Contains(states, state) {
				x.cancel(errProcessEnds)
			}
		}
	})
	return open
}

// closeCallers closes the callers' listener and their idle connections, and waits until the others have
// become idle, for a limited time.
func (i *Instance) closeCallers(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return i.callers.Shutdown(ctx)
}

// Progress of requests at the end of the process, as metric labels.
const (
	// waiting: not sent to an upstream at present.
	waiting = "waiting"
	// sent: sent to an upstream, which has not responded.
	sent = "sent"
	// responding: the upstream has begun its response.
	responding = "responding"
)

// progressOf returns the progress of a call. The caller holds the server's lock.
func progressOf(c *forward.Call) string {
	switch a := c.Current(); {
	case a == nil:
		return waiting
	case a.Responded.IsZero():
		return sent
	}
	return responding
}
