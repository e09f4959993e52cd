package hosted

import (
	"errors"
	"maps"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/pool"
)

// homeLink connects an entry with the homes of pools.
type homeLink struct {
	// homeOf returns the current home of a pool. limitHomeOf returns that of the rate limit of an
	// upstream.
	homeOf      func(pool string) string
	limitHomeOf func(upstream string) string
	// understandsLoad reports whether an instance understands the messages in load.go of package msg.
	understandsLoad func(instance string) bool
	// understandsSoftware reports whether an instance understands the messages in software.go of package msg.
	understandsSoftware func(instance string) bool
	// announce sends a statement of an upstream to all other instances that understand it.
	announce func(m msg.Message)
	// onLeaving is called when an upstream is newly known to leave.
	onLeaving func()
	// send delivers a message to an instance, including this one.
	send func(to string, m msg.Message)
	// reportSilent records that an instance did not respond as a home.
	reportSilent func(name string)
	// announceSound sends a message to all other live instances that understand it.
	announceSound func(m msg.PartsSound)
	// announceCrash sends evidence to all other live instances, as a strike to those of an earlier release.
	announceCrash func(m msg.CrashEvidence)
	// broadcast sends a message to all other live instances.
	broadcast func(m msg.Message)
}

// grantRequest is a request for a grant that a home has not decided yet.
type grantRequest struct {
	message msg.RankedGrantRequest
	home    string
	// firstSentAt and lastSentAt are the times at which the request was first and last sent. The
	// validity of a grant counts from the transmission of the request that may have led to it.
	firstSentAt, lastSentAt time.Time
}

// sendRequest sends a request for a grant to its home, without its urgency if the home is of a release that
// does not understand that.
func (l *homeLink) sendRequest(q *grantRequest) {
	if l.understandsLoad(q.home) {
		l.send(q.home, q.message)
		return
	}
	l.send(q.home, q.message.Grant)
}

// requestGrant requests a grant from the home of the call's pool and returns the next step.
func (x *exchange) requestGrant() forward.Step {
	s := x.server
	now := boottime.Now()
	q := &grantRequest{home: s.homes.homeOf(x.call.Pool), firstSentAt: now, lastSentAt: now}
	knowsSoftware := s.homes.understandsSoftware(q.home)
	s.decide(func(now time.Time, g *forward.Gate) {
		q.message = g.RankedGrantRequest(now, x.call)
		if !knowsSoftware {
			req := &q.message.Grant.Request
			req.Exclude = append(req.Exclude, g.NotAdmitted(x.call)...)
		}
	})
	s.homes.sendRequest(q)
	timeout, repeat := time.NewTimer(forward.HomeTimeout), time.NewTimer(time.Hour)
	defer timeout.Stop()
	defer repeat.Stop()
	for {
		select {
		case <-x.ctx.Done():
			s.homes.send(q.home, msg.GrantEnd{Pool: x.call.Pool, Attempt: q.message.Grant.Request.Attempt, CallerDisconnected: true})
			return x.stopStep()
		case <-x.convicted:
			s.homes.send(q.home, msg.GrantEnd{Pool: x.call.Pool, Attempt: q.message.Grant.Request.Attempt, CallerDisconnected: true})
			return x.decideStep(func(_ time.Time, g *forward.Gate) forward.Step { return g.RefuseConvicted(x.call) })
		case <-x.giveUp:
			s.homes.send(q.home, msg.GrantEnd{Pool: x.call.Pool, Attempt: q.message.Grant.Request.Attempt, CallerDisconnected: true})
			return x.decideStep(func(_ time.Time, g *forward.Gate) forward.Step { return g.GiveUp(x.call) })
		case <-timeout.C:
			return x.onHomeSilent(q.home)
		case <-repeat.C:
			q.lastSentAt = boottime.Now()
			s.homes.sendRequest(q)
		case a := <-x.grants:
			if a.Decision.Attempt != q.message.Grant.Request.Attempt {
				continue // late response about another attempt
			}
			if a.Decision.Kind != placement.Queued {
				return x.onDecision(q, a)
			}
			// The home is alive and will decide later.
			timeout.Reset(forward.GrantRetryInterval + forward.HomeTimeout)
			repeat.Reset(forward.GrantRetryInterval)
		}
	}
}

// onDecision processes the home's decision, a grant or a refusal, and returns the next step.
func (x *exchange) onDecision(q *grantRequest, a msg.GrantResponse) forward.Step {
	s := x.server
	if a.Decision.Kind == placement.Refused {
		return x.decideStep(func(now time.Time, g *forward.Gate) forward.Step {
			return g.HomeRefused(now, x.call, a.Decision.Reason, a.Decision.RetryAfter)
		})
	}
	x.home = q.home
	x.grant, x.grantPool = q.message.Grant.Request.Attempt, q.message.Grant.Pool
	waited := boottime.Now().Sub(q.firstSentAt)
	s.metrics.Observe("placement_milliseconds", x.call.Service, waited)
	s.log.Info("placed", "request", x.call.ID, "home", q.home, "pool", x.call.Pool, "upstream", a.Decision.Upstream,
		"prompt", q.message.Grant.Request.Prompt, "hint", q.message.Grant.Request.Expected, "waited", waited.Round(time.Millisecond))
	return x.decideStep(func(now time.Time, g *forward.Gate) forward.Step { return g.Granted(now, q.lastSentAt, x.call, a) })
}

// onHomeSilent falls back to an upstream chosen by this instance, and makes the next requests use
// another home.
func (x *exchange) onHomeSilent(home string) forward.Step {
	s := x.server
	s.homes.reportSilent(home)
	s.metrics.Count("homes_silent_total", x.call.Service)
	s.log.Info("home_silent", "request", x.call.ID, "home", home, "pool", x.call.Pool)
	return x.decideStep(func(now time.Time, g *forward.Gate) forward.Step { return g.HomeTimedOut(now, x.call) })
}

// stopStep returns the step of a call whose caller has disconnected or whose deadline has passed.
func (x *exchange) stopStep() forward.Step {
	if x.callerLeft() {
		return forward.Step{End: true}
	}
	return x.decideStep(func(now time.Time, g *forward.Gate) forward.Step { return g.Expired(now, x.call, x.headSent) })
}

// endGrant notifies the home that an attempt has ended. It does not name the upstream as long as the
// reason of a failure is not known: the home would withhold it from all entries.
func (x *exchange) endGrant(attempt string, a *forward.Attempt, o forward.Outcome) {
	if !x.call.Route.Generation || x.home == "" {
		return
	}
	end := x.grantEnd(attempt, a, o)
	switch {
	case o == forward.NotSent:
		if end.Unreachable = errors.Is(x.lastErr, errUpstreamDown); !end.Unreachable {
			end.Upstream = ""
		}
	case o == forward.Withheld, brokenOff(o):
		end.Upstream = ""
	}
	x.server.sendGrantEnd(x.home, a, end)
}

// grantEnd returns the notification that an attempt has ended.
func (x *exchange) grantEnd(attempt string, a *forward.Attempt, o forward.Outcome) msg.GrantEnd {
	return msg.GrantEnd{
		Pool: x.call.Pool, Attempt: attempt, Tokens: x.tokens(),
		Failed: o != forward.Done && o != forward.Cancelled, CallerDisconnected: o == forward.Cancelled,
		Upstream: a.Entry.ID,
	}
}

// sendGrantEnd sends a notification to the home that granted an attempt, and to the home of now if that is
// another one: the upstream may belong to another pool since the layout changed, and its pool may have
// another home, which knows the attempt from announcements and would count it for some seconds more.
func (s *server) sendGrantEnd(granter string, a *forward.Attempt, end msg.GrantEnd) {
	s.homes.send(granter, end)
	granted := end.Pool
	s.decide(func(_ time.Time, g *forward.Gate) { end.Pool = g.PoolOf(a) })
	if home := s.homes.homeOf(end.Pool); end.Pool != granted || home != granter {
		s.homes.send(home, end)
	}
}

// returnUnusedGrant notifies the home that the grant in hand is not used, unless the next step still
// needs it: the granted upstream accepts no more requests of this instance.
func (x *exchange) returnUnusedGrant(next forward.Step) {
	if x.grant == "" || next.Send != nil || next.RequestPermit || next.RequestGrant && x.call.Grant() == x.grant {
		return
	}
	x.server.homes.send(x.home, msg.GrantEnd{Pool: x.grantPool, Attempt: x.grant, CallerDisconnected: true})
	x.grant = ""
}

// tokens estimates the number of tokens produced so far.
func (x *exchange) tokens() int { return x.call.Events * x.eventTokens }

// sendDueAnnouncements announces the running generations to the homes when an announcement is due
// or when the home of a pool has changed: new homes must be notified immediately.
func (s *server) sendDueAnnouncements() {
	due := false
	notified := map[string]string{}
	s.decide(func(now time.Time, _ *forward.Gate) {
		due = now.Sub(s.announcedAt) >= pool.AnnouncePause(len(s.running))
		maps.Copy(notified, s.announcedTo)
	})
	for name, home := range notified {
		due = due || s.homes.homeOf(name) != home
	}
	if due {
		s.announceRunning()
	}
}

// announceRunning announces the running generations to the homes of their pools.
func (s *server) announceRunning() {
	running := map[string][]msg.RunningAttempt{}
	s.decide(func(now time.Time, g *forward.Gate) {
		s.announcedAt = now
		for _, x := range s.running {
			a := x.call.Current()
			if a == nil || x.call.Pool == "" {
				continue
			}
			req := g.GrantRequest(now, x.call).Request
			req.Exclude = nil
			name := g.PoolOf(a)
			running[name] = append(running[name], msg.RunningAttempt{
				Request: req, Upstream: a.Entry.ID, Tokens: x.tokens(), Pace: x.pace / time.Duration(max(x.eventTokens, 1)),
			})
		}
	})
	notified := map[string]string{}
	for name, list := range running {
		notified[name] = s.homes.homeOf(name)
		s.homes.send(notified[name], msg.Announce{Pool: name, Running: list})
	}
	s.decide(func(time.Time, *forward.Gate) { s.announcedTo = notified })
}

// onGrantResponse passes a home's response to the waiting request.
func (s *server) onGrantResponse(m msg.GrantResponse) {
	x := s.findExchange(requestOf(m.Decision.Attempt))
	if x == nil {
		return // the request has ended, and the home was notified of that
	}
	select {
	case x.grants <- m:
	default: // the queue is full, as the request no longer waits for a response
	}
}

// requestOf returns the request id that an attempt's id begins with.
func requestOf(attempt string) string {
	if k := strings.LastIndexByte(attempt, '/'); k >= 0 {
		return attempt[:k]
	}
	return attempt
}

// findExchange returns the request in progress with an id, or nil.
func (s *server) findExchange(id string) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id]
}

// announceCheckInterval is the interval between checks for due announcements.
const announceCheckInterval = pool.AnnounceInterval / 2
