package hosted

import (
	"context"
	"errors"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// silenceCheckInterval is the interval between checks for silent streams.
const silenceCheckInterval = 100 * time.Millisecond

// silentAttempt is an attempt of a stream that delivers no events, or is about to end with its connection.
type silentAttempt struct {
	exchange *exchange
	attempt  *forward.Attempt
}

// checkSilentStreams requests reports from upstreams whose streams have been silent for too long.
// A middlebox may have lost the state of a connection that stays open at both ends. A request on
// a new connection distinguishes that from a slow engine.
func (s *server) checkSilentStreams(ctx context.Context) {
	due := map[string][]silentAttempt{}
	s.decide(func(now time.Time, g *forward.Gate) {
		for _, x := range s.running {
			if x.conn != nil && x.activeMove == nil && g.QueryDue(now, x.call) {
				a := x.call.Current()
				due[a.Entry.Address] = append(due[a.Entry.Address], silentAttempt{exchange: x, attempt: a})
			}
		}
	})
	for address, silent := range due {
		go s.checkUpstream(ctx, address, silent)
	}
}

// checkUpstream requests one upstream's report and checks all its silent streams against it.
func (s *server) checkUpstream(ctx context.Context, address string, silent []silentAttempt) {
	var sentAt time.Time
	s.decide(func(now time.Time, _ *forward.Gate) { sentAt = now })
	s.metrics.Count("upstream_questions_total", "silent_stream")
	report, err := s.requestReport(ctx, address)
	if errors.Is(err, errNotPermitted) {
		return // the next query is due later
	}
	if err != nil {
		s.onNoReport(address, silent, sentAt, err)
		return
	}
	if report.Events == nil { // the upstream does not report its generations
		s.decide(func(now time.Time, _ *forward.Gate) {
			for _, r := range silent {
				r.exchange.call.Responded(now, r.attempt)
			}
		})
		return
	}
	for _, r := range silent {
		s.handleSilent(r, sentAt, report)
	}
}

// onNoReport processes that an upstream did not respond to a query about its silent streams. Those that it has
// sent nothing about for too long are given up.
func (s *server) onNoReport(address string, silent []silentAttempt, sentAt time.Time, err error) {
	var givenUp []silentAttempt
	s.decide(func(now time.Time, g *forward.Gate) {
		for _, r := range silent {
			x := r.exchange
			if x.conn != nil && g.QueryFailed(now, x.call, r.attempt, sentAt) == forward.FindingOutOfReach {
				x.conn.Close() // no event can be recorded between the finding and the end
				givenUp = append(givenUp, r)
			}
		}
	})
	s.metrics.Count("silent_streams_total", "no_report")
	s.metrics.Add("silent_streams_total", string(forward.FindingOutOfReach), int64(len(givenUp)))
	s.log.Info("silent_upstream_unreachable", "address", address, "streams", len(silent), "requests", requestIDs(silent), "given_up", requestIDs(givenUp), "error", err)
}

// maxLoggedRequests bounds the ids in one log line.
const maxLoggedRequests = 8

// requestIDs returns the ids of the requests of silent streams as they are logged.
func requestIDs(silent []silentAttempt) string {
	var ids []string
	for _, r := range silent[:min(len(silent), maxLoggedRequests)] {
		ids = append(ids, r.exchange.call.ID)
	}
	return strings.Join(ids, ",")
}

// handleSilent compares a silent stream with its upstream's report and acts on the finding.
func (s *server) handleSilent(r silentAttempt, sentAt time.Time, report Report) {
	events, listed := report.Events[r.exchange.call.ID]
	var finding forward.Finding
	var forwarded int
	var silentFor, took time.Duration
	s.decide(func(now time.Time, g *forward.Gate) {
		forwarded, silentFor, took = r.exchange.call.Events, r.exchange.call.SilentFor(now), now.Sub(sentAt)
		if r.exchange.conn == nil {
			finding = forward.FindingWaiting // the attempt has ended
			return
		}
		finding = g.Diagnose(now, r.exchange.call, r.attempt, sentAt, forward.RunReport{Listed: listed, Events: events, Waiting: report.Waiting})
		if finding == forward.FindingLost {
			r.exchange.conn.Close() // no event can be recorded between the finding and the end
		}
	})
	s.metrics.Count("silent_streams_total", string(finding))
	s.log.Info("stream_silent", "request", r.exchange.call.ID, "upstream", r.attempt.Entry.ID, "finding", finding,
		"listed", listed, "made", events, "passed_on", forwarded, "waiting_there", report.Waiting,
		"silent_for", silentFor.Round(time.Millisecond), "report_took", took.Round(time.Millisecond))
	if finding == forward.FindingLinkSilent {
		go r.exchange.resumeElsewhere(r.attempt, r.exchange.moveSilent)
	}
}

// resumeElsewhere continues a generation, whose connection delivers nothing or is about to end, on another
// upstream, by the given steps of a move. The generation is stopped over a new connection, so that it never
// runs twice, and resumed from its copy.
func (x *exchange) resumeElsewhere(a *forward.Attempt, steps func(*activeMove, *forward.Attempt) (msg.MoveOutcome, error)) {
	order, ok := x.moveOrder(a)
	if !ok {
		return
	}
	if mv, source := x.beginMove(order, true); source != nil {
		x.runMove(mv, source, steps)
	}
}

// moveOrder returns the order of a move off the upstream of an attempt; ok is false if no upstream accepts the
// generation.
func (x *exchange) moveOrder(a *forward.Attempt) (order msg.MoveOrder, ok bool) {
	order = msg.MoveOrder{Pool: x.call.Pool, Attempt: x.call.ID, From: a.Entry.ID}
	x.server.decide(func(now time.Time, g *forward.Gate) {
		if u := g.MoveTarget(now, x.call); u != nil && u.ID != a.Entry.ID {
			order.To, order.ToAddress, order.ToDataCentre, order.ToSoftware = u.ID, u.Address, u.DataCentre, u.Software
		}
	})
	return order, order.To != ""
}
