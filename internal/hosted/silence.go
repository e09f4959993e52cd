package hosted

import (
	"context"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// silenceTick is the interval between checks for silent streams.
const silenceTick = 100 * time.Millisecond

// silentRun is an attempt whose stream is silent.
type silentRun struct {
	x *exchange
	a *forward.Attempt
}

// askAboutSilent asks upstreams about streams that have been silent for long. A middlebox may
// have lost the connection while it stays open at both ends; a new connection distinguishes
// that from a slow engine.
func (s *server) askAboutSilent(ctx context.Context) {
	due := map[string][]silentRun{}
	s.decide(func(now time.Time, g *forward.Gate) {
		for _, x := range s.running {
			if x.mover == nil && g.QuestionDue(now, x.call) {
				a := x.call.Current()
				due[a.Entry.Address] = append(due[a.Entry.Address], silentRun{x: x, a: a})
			}
		}
	})
	for address, runs := range due {
		go s.askAbout(ctx, address, runs)
	}
}

// askAbout asks one upstream about all its silent streams.
func (s *server) askAbout(ctx context.Context, address string, runs []silentRun) {
	var asked time.Time
	s.decide(func(now time.Time, _ *forward.Gate) { asked = now })
	s.metrics.Count("upstream_questions_total", "silent_stream")
	report, err := s.report(ctx, address)
	if err != nil {
		s.log.Info("silent_upstream_unreachable", "address", address, "streams", len(runs), "error", err)
		return
	}
	if report.Events == nil {
		return // it does not tell what it runs
	}
	for _, r := range runs {
		s.judgeSilent(r, asked, report)
	}
}

// judgeSilent acts on an upstream's report of a silent stream.
func (s *server) judgeSilent(r silentRun, asked time.Time, report Report) {
	events, listed := report.Events[r.x.call.ID]
	var finding forward.Finding
	var passed int
	s.decide(func(_ time.Time, g *forward.Gate) {
		passed = r.x.call.Events
		finding = g.Judge(r.x.call, r.a, asked, forward.RunReport{Listed: listed, Events: events, Waiting: report.Waiting})
	})
	s.metrics.Count("silent_streams_total", string(finding))
	s.log.Info("stream_silent", "request", r.x.call.ID, "upstream", r.a.Entry.ID, "finding", finding,
		"listed", listed, "made", events, "passed_on", passed, "waiting_there", report.Waiting)
	switch finding {
	case forward.FindingLinkSilent:
		r.x.rescue(r.a)
	case forward.FindingGone:
		r.x.hangUp(r.a)
	}
}

// rescue continues a run whose connection has fallen silent elsewhere. It is stopped over a
// new connection, so that it never runs twice, and resumed from its copy.
func (x *exchange) rescue(a *forward.Attempt) {
	order := msg.MoveOrder{Pool: x.call.Pool, Attempt: x.call.ID, From: a.Entry.ID}
	x.server.decide(func(now time.Time, g *forward.Gate) {
		if u := g.Refuge(now, x.call); u != nil {
			order.To, order.ToAddress = u.ID, u.Address
		}
	})
	if order.To == "" {
		return
	}
	mv, source := x.beginMove(order)
	if source == nil {
		return
	}
	x.runMove(mv, source, func(mv *mover, source *forward.Attempt) (msg.MoveOutcome, error) {
		outcome, err := x.stopAndCopy(mv, source, "")
		x.hangUp(source) // its end does not arrive either
		return outcome, err
	})
}
