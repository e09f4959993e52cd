package hosted

import (
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
	// name returns the current home of a pool.
	name func(pool string) string
	// send delivers a message to an instance, including this one.
	send func(to string, m msg.Message)
	// silent records a home that did not answer.
	silent func(name string)
	// broadcast sends a message to all other live instances.
	broadcast func(m msg.Message)
}

// question is an undecided ask at a home.
type question struct {
	ask  msg.GrantAsk
	home string
	// began and asked are the times of the first and last ask: a grant is valid from the ask
	// that may have led to it.
	began, asked time.Time
}

// askHome asks the home of the call's pool and returns the next step.
func (x *exchange) askHome() forward.Step {
	s := x.server
	now := boottime.Now()
	q := &question{home: s.homes.name(x.call.Pool), began: now, asked: now}
	s.decide(func(now time.Time, g *forward.Gate) { q.ask = g.Ask(now, x.call) })
	s.homes.send(q.home, q.ask)
	silence, again := time.NewTimer(forward.HomeTimeout), time.NewTimer(time.Hour)
	defer silence.Stop()
	defer again.Stop()
	for {
		select {
		case <-x.ctx.Done():
			s.homes.send(q.home, msg.GrantEnd{Pool: x.call.Pool, Attempt: q.ask.Ask.Attempt, Cut: true})
			return x.stopped()
		case <-silence.C:
			return x.homeSilent(q.home)
		case <-again.C:
			q.asked = boottime.Now()
			s.homes.send(q.home, q.ask)
		case a := <-x.grants:
			if a.Decision.Attempt != q.ask.Ask.Attempt {
				continue // late
			}
			if a.Decision.Kind != placement.Queued {
				return x.decided(q, a)
			}
			// The home is alive and will decide later.
			silence.Reset(forward.AskInterval + forward.HomeTimeout)
			again.Reset(forward.AskInterval)
		}
	}
}

// decided handles the home's decision.
func (x *exchange) decided(q *question, a msg.GrantAnswer) forward.Step {
	s := x.server
	if a.Decision.Kind == placement.Refused {
		return x.step(func(_ time.Time, g *forward.Gate) forward.Step {
			return g.HomeRefused(x.call, a.Decision.Reason, a.Decision.RetryAfter)
		})
	}
	x.home = q.home
	waited := boottime.Now().Sub(q.began)
	s.metrics.Observe("placement_milliseconds", x.call.Service, waited)
	s.log.Info("placed", "request", x.call.ID, "home", q.home, "pool", x.call.Pool, "upstream", a.Decision.Upstream,
		"prompt", q.ask.Ask.Prompt, "hint", q.ask.Ask.Expected, "waited", waited.Round(time.Millisecond))
	return x.step(func(now time.Time, g *forward.Gate) forward.Step { return g.Granted(now, q.asked, x.call, a) })
}

// homeSilent falls back to a local choice and makes the next request ask another home.
func (x *exchange) homeSilent(home string) forward.Step {
	s := x.server
	s.homes.silent(home)
	s.metrics.Count("homes_silent_total", x.call.Service)
	s.log.Info("home_silent", "request", x.call.ID, "home", home, "pool", x.call.Pool)
	return x.step(func(now time.Time, g *forward.Gate) forward.Step { return g.HomeSilent(now, x.call) })
}

// stopped returns the step of a call whose caller left or whose deadline passed.
func (x *exchange) stopped() forward.Step {
	if x.r.Context().Err() != nil {
		return forward.Step{End: true}
	}
	return x.step(func(now time.Time, g *forward.Gate) forward.Step { return g.Expired(now, x.call, x.begun) })
}

// endGrant tells the home that an attempt has ended.
func (x *exchange) endGrant(attempt string, a *forward.Attempt, o forward.Outcome) {
	if !x.call.Route.Generation || x.home == "" {
		return
	}
	s := x.server
	end := msg.GrantEnd{
		Pool: x.call.Pool, Attempt: attempt, Tokens: x.tokens(),
		Failed: o != forward.Done && o != forward.Cancelled, Cut: o == forward.Cancelled,
		Upstream: a.Entry.ID, Unreachable: o == forward.NotSent,
	}
	s.homes.send(x.home, end)
	s.decide(func(_ time.Time, g *forward.Gate) { end.Pool = g.PoolOf(a) })
	if end.Pool != x.call.Pool {
		s.homes.send(s.homes.name(end.Pool), end) // the service was divided anew meanwhile
	}
}

// tokens estimates the output so far.
func (x *exchange) tokens() int { return x.call.Events * x.eventTokens }

// announceDue announces the running generations to the homes when due; new homes must hear
// immediately.
func (s *server) announceDue() {
	due := false
	told := map[string]string{}
	s.decide(func(now time.Time, _ *forward.Gate) {
		due = now.Sub(s.announced) >= pool.AnnouncePause(len(s.running))
		maps.Copy(told, s.announcedTo)
	})
	for name, home := range told {
		due = due || s.homes.name(name) != home
	}
	if due {
		s.announce()
	}
}

// announce announces the running generations to the homes.
func (s *server) announce() {
	running := map[string][]msg.RunningAttempt{}
	s.decide(func(now time.Time, g *forward.Gate) {
		s.announced = now
		for _, x := range s.running {
			a := x.call.Current()
			if a == nil || x.call.Pool == "" {
				continue
			}
			ask := g.Ask(now, x.call).Ask
			ask.Exclude = nil
			name := g.PoolOf(a)
			running[name] = append(running[name], msg.RunningAttempt{
				Ask: ask, Upstream: a.Entry.ID, Tokens: x.tokens(), Pace: x.pace / time.Duration(max(x.eventTokens, 1)),
			})
		}
	})
	told := map[string]string{}
	for name, list := range running {
		told[name] = s.homes.name(name)
		s.homes.send(told[name], msg.Announce{Pool: name, Running: list})
	}
	s.decide(func(time.Time, *forward.Gate) { s.announcedTo = told })
}

// granted passes a home's answer to the waiting request.
func (s *server) granted(m msg.GrantAnswer) {
	x := s.find(requestOf(m.Decision.Attempt))
	if x == nil {
		return // ended meanwhile; its end was told
	}
	select {
	case x.grants <- m:
	default: // nobody waits for it any more
	}
}

// requestOf returns the request id of an attempt's name.
func requestOf(attempt string) string {
	if k := strings.LastIndexByte(attempt, '/'); k >= 0 {
		return attempt[:k]
	}
	return attempt
}

func (s *server) find(id string) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id]
}

// announceTick is the interval between checks for due announcements.
const announceTick = pool.AnnounceInterval / 2
