package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/permits"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// permitHome runs this instance's home of rate limits. Like the homes of pools, it decides whatever
// it receives, whether or not this instance considers itself the home.
type permitHome struct {
	metrics *metrics.Metrics
	log     hclog.Logger
	// send sends a message to an instance, including this one.
	send func(to string, m msg.Message)
	// wake makes the task decide earlier than at the next interval.
	wake chan struct{}

	mu   sync.Mutex
	home *permits.Home
}

func newPermitHome(m *metrics.Metrics, log hclog.Logger, send func(to string, m msg.Message)) *permitHome {
	return &permitHome{metrics: m, log: log, send: send, wake: make(chan struct{}, 1), home: permits.NewHome()}
}

// with runs a function on the home and delivers what it decides.
func (p *permitHome) with(f func(now time.Time, h *permits.Home)) {
	p.mu.Lock()
	f(boottime.Now(), p.home)
	messages, notes, next := p.home.TakeMessages(), p.home.Notes(), p.home.NextAt()
	p.mu.Unlock()
	for _, n := range notes {
		p.metrics.Count("permit_decisions_total", n.Event)
		p.log.Info(n.Event, n.Pairs...)
	}
	for _, o := range messages {
		p.send(o.To, o.Msg)
	}
	if !next.IsZero() {
		select {
		case p.wake <- struct{}{}:
		default: // the task is about to run
		}
	}
}

// onStatement processes a statement of an upstream whose home this instance is.
func (p *permitHome) onStatement(from string, m msg.RateStatement) {
	p.with(func(now time.Time, h *permits.Home) { h.OnStatement(now, from, m) })
}

// handle processes a request for a permit and returns false for any other message.
func (p *permitHome) handle(from string, m msg.Message) bool {
	switch m := m.(type) {
	case msg.PermitRequest:
		p.with(func(now time.Time, h *permits.Home) { h.OnRequest(now, from, m) })
	case msg.PermitCancel:
		p.with(func(_ time.Time, h *permits.Home) { h.OnCancel(m) })
	default:
		return false
	}
	return true
}

// run decides queued requests when a permit becomes free. It sleeps while none is queued.
func (p *permitHome) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		case <-timer.C:
			p.with(func(now time.Time, h *permits.Home) { h.Tick(now) })
		}
		timer.Reset(p.pause())
	}
}

// idlePause is the time until the next decision while no request is queued: the end of the state of
// upstreams to which no instance sends.
const idlePause = time.Minute

// pause returns the time until the next decision.
func (p *permitHome) pause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.home.NextAt()
	if next.IsZero() {
		return idlePause
	}
	return max(next.Sub(boottime.Now()), 0)
}

// requestPermit requests a permit from the home of the limit of the call's next upstream, and
// returns the next step.
func (x *exchange) requestPermit() forward.Step {
	s := x.server
	var m msg.PermitRequest
	s.decide(func(now time.Time, g *forward.Gate) { m = g.PermitRequest(now, x.call) })
	responses := s.awaitPermit(m.ID)
	defer s.forgetPermit(m.ID)
	home := s.homes.limitHomeOf(m.Limit.Upstream)
	requestedAt := boottime.Now()
	s.homes.send(home, m)
	timeout, repeat := time.NewTimer(max(m.MaxWait, forward.PermitTimeout)), time.NewTicker(forward.PermitRetryInterval)
	defer timeout.Stop()
	defer repeat.Stop()
	for {
		select {
		case <-x.ctx.Done():
			s.homes.send(home, msg.PermitCancel{ID: m.ID, Upstream: m.Limit.Upstream, Boot: m.Limit.Boot})
			return x.stopStep()
		case <-x.giveUp:
			s.homes.send(home, msg.PermitCancel{ID: m.ID, Upstream: m.Limit.Upstream, Boot: m.Limit.Boot})
			return x.decideStep(func(_ time.Time, g *forward.Gate) forward.Step { return g.GiveUp(x.call) })
		case <-timeout.C:
			return x.onPermitHomeSilent(home, m)
		case <-repeat.C:
			home, requestedAt = s.homes.limitHomeOf(m.Limit.Upstream), boottime.Now()
			s.homes.send(home, m)
		case a := <-responses:
			if a.Outcome != ratelimit.Queued {
				return x.onPermit(a, requestedAt)
			}
			// The home is alive and will decide later.
			timeout.Reset(forward.PermitRetryInterval + forward.PermitTimeout)
		}
	}
}

// onPermit processes the home's decision and returns the next step.
func (x *exchange) onPermit(a msg.PermitResponse, requestedAt time.Time) forward.Step {
	s := x.server
	s.learnLimit(a.Limit, "permit")
	waited := boottime.Now().Sub(requestedAt)
	s.metrics.Observe("permit_milliseconds", x.call.Service, waited)
	s.metrics.Count("permits_total", a.Outcome.String())
	return x.decideStep(func(now time.Time, g *forward.Gate) forward.Step {
		switch {
		case a.Outcome == ratelimit.Refused:
			return g.PermitRefused(now, x.call, a.Wait)
		case waited > forward.PermitRetryInterval+a.TTL:
			return forward.Step{RequestPermit: true} // this instance or the network has paused
		}
		return g.Permitted(now, x.call)
	})
}

// onPermitHomeSilent returns the next step after the home has not responded: without a permit the
// call is not sent to the upstream.
func (x *exchange) onPermitHomeSilent(home string, m msg.PermitRequest) forward.Step {
	s := x.server
	s.metrics.Count("permits_total", "home_silent")
	s.log.Info("permit_home_silent", "request", x.call.ID, "home", home, "upstream", m.Limit.Upstream)
	s.homes.send(home, msg.PermitCancel{ID: m.ID, Upstream: m.Limit.Upstream, Boot: m.Limit.Boot})
	return x.decideStep(func(now time.Time, g *forward.Gate) forward.Step { return g.PermitHomeSilent(now, x.call) })
}

// awaitPermit returns the channel that receives the responses to a request for a permit until
// forgetPermit.
func (s *server) awaitPermit(id string) <-chan msg.PermitResponse {
	responses := make(chan msg.PermitResponse, 4)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits[id] = responses
	return responses
}

func (s *server) forgetPermit(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.permits, id)
}

// onPermitResponse passes a home's response to where it is awaited.
func (s *server) onPermitResponse(m msg.PermitResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.permits[m.ID] <- m:
	default: // no longer awaited
	}
}

// errNotPermitted reports that an upstream's rate limit leaves no room for a probe, or that it has asked
// for a pause.
var errNotPermitted = errors.New("the upstream wants no probe at present")

// permitProbe returns errNotPermitted if an upstream has asked for a pause, or states a rate limit and
// there is no permit to probe it.
func (s *server) permitProbe(ctx context.Context, address string) error {
	var id string
	var m msg.PermitRequest
	limited, paused := false, false
	s.decide(func(now time.Time, g *forward.Gate) {
		if u := g.Roster().FindAt(address); u != nil {
			id, paused = u.ID, !g.MayProbe(now, u)
			m, limited = g.ProbePermit(now, u)
		}
	})
	if !paused && (!limited || s.awaitProbePermit(ctx, m)) {
		return nil
	}
	s.metrics.Count("probes_not_permitted_total", id)
	return errNotPermitted
}

// awaitProbePermit requests the permit for a probe and reports whether it was granted.
func (s *server) awaitProbePermit(ctx context.Context, m msg.PermitRequest) bool {
	responses := s.awaitPermit(m.ID)
	defer s.forgetPermit(m.ID)
	ctx, cancel := context.WithTimeout(ctx, forward.PermitTimeout)
	defer cancel()
	s.homes.send(s.homes.limitHomeOf(m.Limit.Upstream), m)
	select {
	case a := <-responses:
		s.learnLimit(a.Limit, "permit")
		return a.Outcome == ratelimit.Granted
	case <-ctx.Done():
		return false
	}
}

// learnLimit records a rate limit that its home has announced.
func (s *server) learnLimit(m msg.RateStatement, source string) {
	var change forward.LimitChange
	changed := false
	s.decide(func(now time.Time, g *forward.Gate) { change, changed = g.LearnLimit(now, m) })
	if !changed {
		return
	}
	s.logLimit(change, source)
	if change.Report.Sent > 0 {
		s.homes.send(s.homes.limitHomeOf(m.Upstream), change.Report)
	}
}
