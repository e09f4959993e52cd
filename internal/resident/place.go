package resident

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/pool"
)

// homeLink is an entry's way to the homes of pools.
type homeLink struct {
	// name returns the present home of a pool.
	name func(pool string) string
	// send delivers a message to an instance, this one included.
	send func(to string, m msg.Message)
	// silent notes a home that did not answer.
	silent func(name string)
	// broadcast sends a message to every other instance that lives.
	broadcast func(m msg.Message)
}

// askHome asks the home of the call's pool and returns the next step.
func (x *exchange) askHome() forward.Step {
	s := x.server
	var ask msg.GrantAsk
	s.decide(func(now time.Time, _ *forward.Gate) { ask = x.call.Ask(now) })
	home, asked := s.homes.name(x.call.Service), time.Now()
	s.homes.send(home, ask)
	timer := time.NewTimer(forward.HomePatience)
	defer timer.Stop()
	for {
		select {
		case <-x.ctx.Done():
			s.homes.send(home, msg.GrantEnd{Pool: x.call.Service, Attempt: ask.Ask.Attempt, Cut: true})
			return x.stopped()
		case <-timer.C:
			s.homes.silent(home)
			s.metrics.Count("homes_silent_total", x.call.Service)
			s.log.Info("home_silent", "request", x.call.ID, "home", home, "pool", x.call.Service)
			return x.step(func(now time.Time, g *forward.Gate) forward.Step { return g.HomeSilent(now, x.call) })
		case a := <-x.grants:
			if a.Decision.Attempt != ask.Ask.Attempt {
				continue // late
			}
			switch a.Decision.Kind {
			case placement.Granted:
				x.home = home
				waited := time.Since(asked)
				s.metrics.Observe("placement_milliseconds", x.call.Service, waited)
				s.log.Info("placed", "request", x.call.ID, "home", home, "upstream", a.Decision.Upstream,
					"prompt", ask.Ask.Prompt, "hint", ask.Ask.Expected, "waited", waited.Round(time.Millisecond))
				return x.step(func(now time.Time, g *forward.Gate) forward.Step {
					return g.Granted(now, x.call, a.Decision.Upstream)
				})
			case placement.Refused:
				return x.step(func(_ time.Time, g *forward.Gate) forward.Step {
					return g.HomeRefused(x.call, a.Decision.Reason, a.Decision.RetryAfter)
				})
			default:
				// Queued: the home lives and will say more in time.
				timer.Reset(forward.AskAgain + forward.HomePatience)
				time.AfterFunc(forward.AskAgain, func() { s.homes.send(home, ask) })
			}
		}
	}
}

// stopped returns the step of a call whose caller left or whose time is over.
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
	x.server.homes.send(x.home, msg.GrantEnd{
		Pool: x.call.Service, Attempt: attempt, Tokens: x.tokens(),
		Failed: o != forward.Done && o != forward.Cancelled, Cut: o == forward.Cancelled,
		Upstream: a.Entry.ID, Unreachable: o == forward.NotSent,
	})
}

// tokens estimates the output so far.
func (x *exchange) tokens() int { return x.call.Events * x.eventTokens }

// announce tells the homes which generations this instance runs.
func (s *server) announce() {
	running := map[string][]msg.RunningAttempt{}
	s.decide(func(now time.Time, _ *forward.Gate) {
		for _, x := range s.running {
			a := x.call.Current()
			if a == nil || !x.call.Route.Generation {
				continue
			}
			ask := x.call.Ask(now).Ask
			ask.Exclude = nil
			running[x.call.Service] = append(running[x.call.Service], msg.RunningAttempt{
				Ask: ask, Upstream: a.Entry.ID, Tokens: x.tokens(),
			})
		}
	})
	for name, list := range running {
		s.homes.send(s.homes.name(name), msg.Announce{Pool: name, Running: list})
	}
}

// granted hands a home's answer to the request that waits for it.
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

// requestOf returns the request of an attempt's name.
func requestOf(attempt string) string {
	for k := len(attempt) - 1; k >= 0; k-- {
		if attempt[k] == '/' {
			return attempt[:k]
		}
	}
	return attempt
}

func (s *server) find(id string) *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id]
}

// announceEvery is how often homes hear what runs.
const announceEvery = pool.AnnounceEvery
