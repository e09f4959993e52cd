package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
)

// An upstream that states a limit only in some kinds of response must be heard in all of them, and
// the end of the limit must be reported as well.
func TestStatementsAreReadInEveryResponse(t *testing.T) {
	var status int
	limit := ""
	c, address, events := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		switch limit {
		case "leaving":
			w.Header().Set(headerLeaving, "1")
		case "pause":
			w.Header().Set(headerRetryAfter, "2")
		case "":
		default:
			w.Header().Set(headerRateLimit, limit)
		}
		w.WriteHeader(status)
	})
	for _, step := range []struct {
		name       string
		engine     bool
		status     int
		limit      string
		stated     float64
		unreadable bool
		leaving    bool
		pause      time.Duration
		none       bool
	}{
		{name: "a call without a limit", status: 200, none: true},
		{name: "a successful call", status: 200, limit: "4.3", stated: 4.3},
		{name: "a failed call", status: 500, limit: "4", stated: 4},
		{name: "a rejected generation", engine: true, status: 503, limit: "3", stated: 3},
		{name: "an unreadable limit", status: 200, limit: "-1", unreadable: true},
		{name: "the first call without it", status: 200},
		{name: "a failed call of a leaving upstream", status: 503, limit: "leaving", leaving: true},
		{name: "a call that is turned away", status: 503, limit: "pause", pause: 2 * time.Second},
		{name: "the next call without it", status: 200, none: true},
	} {
		status, limit = step.status, step.limit
		before := time.Now()
		c.Run(context.Background(), core.Dispatch{Attempt: step.name, Upstream: "u", Boot: "run-7", Address: address, Engine: step.engine, Method: http.MethodPost, Path: "/", Body: []byte("{}"), Timeout: testTimeout, Link: 1})
		e, ok := next(t, events).(core.UpstreamStatement)
		switch {
		case step.none:
			if ok {
				t.Errorf("%s: event %+v, want no statement", step.name, e)
			}
			continue
		case !ok || e.Upstream != "u" || e.RateLimit.PerSecond != step.stated || e.RateLimit.Stated != (step.stated > 0) || (e.Unreadable != nil) != step.unreadable || e.Leaving != step.leaving || e.Pause != step.pause || e.Boot != "run-7":
			t.Errorf("%s: event %+v, want a limit of %v", step.name, e, step.stated)
		case e.SentAt.Before(before):
			t.Errorf("%s: the request was sent at %v, want a time after %v", step.name, e.SentAt, before)
		}
		next(t, events) // the response or the failure
	}
}
