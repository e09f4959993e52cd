package forward

import (
	"cmp"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/status"
)

const (
	// maxDials bounds failed dials per call. They are no attempts, but take time.
	maxDials = 4
	// minTimeLeft is the minimum remaining time for which a request is sent.
	minTimeLeft = 20 * time.Millisecond
	// retryAfterShare is the part of the remaining time after which an idempotent call is
	// tried elsewhere.
	retryAfterShare = 0.4
	// busySoon is the Retry-After of a full pool.
	busySoon = 500 * time.Millisecond
)

// Start returns the first step of a call.
func (g *Gate) Start(now time.Time, c *Call) Step { return g.next(now, c) }

// next asks the pool's home for a grant, or makes the next attempt.
func (g *Gate) next(now time.Time, c *Call) Step {
	if why := g.closed(c); why != "" {
		return g.giveUp(c, why, laterFor(why, busySoon))
	}
	if g.wantsHome(c) {
		if c.Pool == "" {
			g.nextPool(c)
		}
		return Step{AskHome: true}
	}
	return g.send(now, c)
}

// send makes the next attempt at the best upstream, or refuses.
func (g *Gate) send(now time.Time, c *Call) Step {
	u := g.choose(now, c)
	if u == nil {
		if after := g.coldLater(now, c); after > 0 {
			return g.giveUp(c, Cold, after)
		}
		why := cmp.Or(g.closed(c), NoUpstream)
		return g.giveUp(c, why, laterFor(why, busySoon))
	}
	g.noteCold(now, u)
	return g.sendTo(now, c, u)
}

// Leaving reports whether the attempt's upstream is known to be leaving.
func (a *Attempt) Leaving() bool { return !a.Upstream.LeavingSince.IsZero() }

// Progress records that an event was delivered. A resumed attempt has then used up its copy:
// alternatives left from the move must not be tried after it.
func (c *Call) Progress(now time.Time, id string) {
	c.Events++
	c.silence.note(now, c.Route)
	if id != "" {
		c.LastEvent = id
	}
	if c.resumed {
		c.redirect, c.resumed = nil, false
	}
}

func (g *Gate) sendTo(now time.Time, c *Call, u *roster.Upstream) Step {
	left := c.Deadline.Sub(now)
	if left < minTimeLeft {
		return g.giveUp(c, OutOfTime, 0)
	}
	c.sends++
	a := &Attempt{Upstream: u, Entry: u.Entry, Number: c.sends, Sent: now, Within: left, tokens: c.tokens()}
	c.tried = append(c.tried, u)
	if c.Route.Kind == route.Idempotent && c.sends < c.Route.MaxAttempts {
		a.GiveUp = now.Add(time.Duration(retryAfterShare * float64(left)))
	}
	g.begin(c, a)
	if c.sends > 1 {
		g.budget(c.Service).repeat(now)
	}
	return Step{Send: a}
}

// begin starts an attempt and counts its load; settle reverts that.
func (g *Gate) begin(c *Call, a *Attempt) {
	c.current = a
	c.silence.begin(a.Sent, c.Route)
	l := g.load(a.Upstream)
	l.calls++
	l.tokens += a.tokens
}

// Ended processes the outcome of the current attempt and returns the next step. begun is set
// if the head of an answer was delivered.
func (g *Gate) Ended(now time.Time, c *Call, o Outcome, begun bool) Step {
	a := c.current
	c.current = nil
	g.settle(now, c, a, o)
	if len(c.redirect) > 0 && o != Done && o != Cancelled {
		c.mayHaveRun = true
		return g.resume(now, c)
	}
	switch o {
	case Done, Cancelled:
		return Step{End: true}
	case NotSent:
		if a.CopyAt == "" {
			c.sends--
		}
		c.dials++
		if c.dials >= maxDials {
			return g.fail(c, NoUpstream, busySoon, begun)
		}
	case Rejected, Misdirected:
	default:
		c.mayHaveRun = true
	}
	return g.again(now, c, o, begun)
}

// settle records the outcome at the attempt's upstream.
func (g *Gate) settle(now time.Time, c *Call, a *Attempt, o Outcome) {
	l := g.load(a.Upstream)
	l.calls--
	l.tokens -= a.tokens
	switch o {
	case Done:
		l.Note(now, false)
	case NotSent, Misdirected:
		// The list is out of date.
		l.rest(now)
	case Lost, Failed, Cut, Rejected:
		g.noteFailure(now, l)
	}
	g.forget()
}

// again retries the call if route, budget and body allow it.
func (g *Gate) again(now time.Time, c *Call, o Outcome, begun bool) Step {
	switch {
	case c.mayHaveRun && !c.Route.Repeatable():
		// This also holds if the last failure was a dial to a copy of the generation.
		return g.failAs(c, o, Unrepeatable, begun)
	case !c.Replayable && o != NotSent:
		return g.failAs(c, o, NotReplayable, begun)
	case c.sends >= c.Route.MaxAttempts || g.options.Without.Has(mechanism.Retries) && o != NotSent:
		return g.failAs(c, o, NoAttempts, begun)
	case o != NotSent && !g.mayRepeat(now, c.Service):
		return g.failAs(c, o, NoBudget, begun)
	}
	c.grants++
	s := g.next(now, c)
	if s.Send == nil && !s.AskHome {
		return g.failAs(c, o, s.Why, begun)
	}
	return s
}

// failAs ends a call after a failed attempt; an upstream's own error is passed on.
func (g *Gate) failAs(c *Call, o Outcome, why Reason, begun bool) Step {
	if o == Failed && !begun {
		return Step{Relay: true, Why: why}
	}
	if o == Rejected && why == NoAttempts {
		why = PoolFull
	}
	return g.fail(c, why, laterFor(why, busySoon), begun)
}

func (g *Gate) fail(c *Call, why Reason, after time.Duration, begun bool) Step {
	if begun {
		return Step{Abort: true, Why: why}
	}
	return g.giveUp(c, why, after)
}

// giveUp refuses a call. Only calls that certainly did not run get a status that promises so.
func (g *Gate) giveUp(c *Call, why Reason, after time.Duration) Step {
	code := status.ServiceUnavailable
	if c.mayHaveRun {
		code, after = status.BadGateway, 0
		if why == OutOfTime {
			code = status.GatewayTimeout
		}
	}
	return Step{Refuse: &Refusal{Status: code, Reason: why, RetryAfter: after}, Why: why}
}

// Expired ends a call whose deadline passed during an attempt.
func (g *Gate) Expired(now time.Time, c *Call, begun bool) Step {
	if a := c.current; a != nil {
		c.current = nil
		c.mayHaveRun = true
		g.settle(now, c, a, Lost)
	}
	return g.fail(c, OutOfTime, 0, begun)
}
