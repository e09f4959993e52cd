package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// entry is a fake instance. It lists itself as the only entry and responds to
// requests with the handlers given to startEntry.
type entry struct {
	*httptest.Server
	// posts counts new requests, gets counts requests to resume.
	posts, gets atomic.Int64
}

// startEntry starts an entry and returns it with a client that retries twice.
// post handles new requests and get handles requests to resume; n counts the
// calls of each from 1.
func startEntry(t *testing.T, post, get func(n int64, w http.ResponseWriter, r *http.Request)) (*entry, *Client) {
	t.Helper()
	e := &entry{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"addresses":[%q],"keep_seconds":60}`, r.Host)
	})
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) { post(e.posts.Add(1), w, r) })
	mux.HandleFunc("GET /v1/stream", func(w http.ResponseWriter, r *http.Request) { get(e.gets.Add(1), w, r) })
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e, New(Options{Seeds: []string{e.Listener.Addr().String()}, Retries: 2})
}

// tokens writes the token events with numbers from up to, but not including, to.
func tokens(w http.ResponseWriter, from, to int) {
	for n := from; n < to; n++ {
		fmt.Fprintf(w, "id: handle.%d\ndata: {\"choices\":[{\"text\":\"t%d \"}]}\n\n", n, n)
	}
	_ = http.NewResponseController(w).Flush()
}

// end writes the last event of a stream.
func end(w http.ResponseWriter, outcome string) {
	fmt.Fprintf(w, "event: end\ndata: {\"outcome\":%q}\n\n", outcome)
}

// refuse responds with outcome not_run and a retry time; after is in seconds.
func refuse(w http.ResponseWriter, after float64) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"outcome":"not_run","reason":"busy","retry_after_seconds":%g}`, after)
}

// abort is a handler that breaks the connection without a response.
func abort(int64, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Every connection breaks before the first event. The request may have begun to
// run each time, so the client must send it at most twice and report the outcome
// unknown.
func TestPromise1ClientSendsAtMostTwice(t *testing.T) {
	e, c := startEntry(t, abort, abort)
	res, err := c.Stream(context.Background(), Completion{}, nil)
	var p *Problem
	if !errors.As(err, &p) || p.Outcome != Unknown || res.Sends != sendsMax || e.posts.Load() != sendsMax {
		t.Errorf("error = %v, Sends = %d, requests received = %d; want outcome unknown and %d sends", err, res.Sends, e.posts.Load(), sendsMax)
	}
}

// No address accepts connections, so the request can't have been sent and the
// client must report not_run.
func TestPromise3ClientReportsNotRunIfNothingWasSent(t *testing.T) {
	// A port that was free a moment ago may be used by another test by now. Port
	// 1 is never assigned to a listener.
	res, err := New(Options{Seeds: []string{"127.0.0.1:1"}}).Stream(context.Background(), Completion{}, nil)
	var p *Problem
	if !errors.As(err, &p) || p.Outcome != NotRun || res.Sends != 0 {
		t.Errorf("error = %v, Sends = %d; want outcome not_run and 0 sends", err, res.Sends)
	}
}

// The connection breaks after three tokens. The first request to resume is
// refused, the response to the second has a gap in the tokens, and the response
// to the third repeats tokens that the client has already received. The caller
// must get each token once, and the client must not send the request as a new
// one.
func TestPromise1ClientResumesExactlyOnce(t *testing.T) {
	e, c := startEntry(t,
		func(_ int64, w http.ResponseWriter, _ *http.Request) { tokens(w, 0, 3); panic(http.ErrAbortHandler) },
		func(n int64, w http.ResponseWriter, r *http.Request) {
			switch n {
			case 1:
				refuse(w, 0.01)
			case 2:
				tokens(w, 4, 6) // a gap: token 3 is missing
			default:
				tokens(w, 1, 5)
				end(w, "done")
			}
			if id := r.Header.Get("Last-Event-ID"); id != "handle.2" {
				t.Errorf("Last-Event-ID = %q, want handle.2", id)
			}
		})
	var got strings.Builder
	res, err := c.Stream(context.Background(), Completion{}, func(s string) { got.WriteString(s) })
	if err != nil || got.String() != "t0 t1 t2 t3 t4 " || res.Text != got.String() || res.Resumes != 3 || e.posts.Load() != 1 {
		t.Errorf("tokens = %q, result = %+v, error = %v, new requests = %d; want tokens 0 to 4 once each, 3 resumes and 1 new request", got.String(), res, err, e.posts.Load())
	}
}

// The connection breaks after three tokens, and the resume is refused without a
// retry time. The caller has a part of the response, so the outcome must be
// partial, not not_run, and the client must not send the request as a new one.
func TestPromise1ClientRefusedResumeIsPartial(t *testing.T) {
	e, c := startEntry(t,
		func(_ int64, w http.ResponseWriter, _ *http.Request) { tokens(w, 0, 3); panic(http.ErrAbortHandler) },
		func(_ int64, w http.ResponseWriter, _ *http.Request) { refuse(w, 0) })
	res, err := c.Stream(context.Background(), Completion{}, nil)
	var p *Problem
	if !errors.As(err, &p) || p.Outcome != Partial || res.Tokens != 3 || e.posts.Load() != 1 {
		t.Errorf("error = %v, tokens = %d, new requests = %d; want outcome partial, 3 tokens, 1 new request", err, res.Tokens, e.posts.Load())
	}
}

// Every request is refused with a retry time. The client must retry as often as
// Options.Retries allows, and never before the retry time has passed.
func TestRetryBudgetClientHonoursRetryAfter(t *testing.T) {
	const after = 150 * time.Millisecond
	e, c := startEntry(t, func(_ int64, w http.ResponseWriter, _ *http.Request) { refuse(w, after.Seconds()) }, abort)
	start := time.Now()
	_, err := c.Stream(context.Background(), Completion{}, nil)
	var p *Problem
	if !errors.As(err, &p) || p.Outcome != NotRun || e.posts.Load() != 3 {
		t.Errorf("error = %v, requests = %d; want outcome not_run after 3 requests", err, e.posts.Load())
	}
	if took := time.Since(start); took < 2*after {
		t.Errorf("two retries took %s, want at least %s", took, 2*after)
	}
}

// All listed entries have just failed. The client must not fall back to a seed
// that the list omits: the seed is dead, and a request whose connection breaks
// there has to be reported as one that may have run.
func TestClientPrefersListedEntriesToDeadSeeds(t *testing.T) {
	c := New(Options{Seeds: []string{"dead:1"}})
	c.entries, c.entriesExpireAt = []string{"a:1", "b:1"}, time.Now().Add(time.Minute)
	c.avoid("a:1")
	c.avoid("b:1")
	if got, err := c.pickEntry(context.Background()); err != nil || got != "a:1" {
		t.Errorf("entry = %q, error = %v; want a:1, which failed the longest time ago", got, err)
	}
}
