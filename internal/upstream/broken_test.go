package upstream

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/standin"
)

// rawClient returns a client of an upstream that sends the response that is stored last.
func rawClient(t *testing.T) (raw *atomic.Pointer[standin.RawResponse], c *Client, address string, events chan core.Event) {
	t.Helper()
	raw = &atomic.Pointer[standin.RawResponse]{}
	server, err := standin.Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { raw.Load().Send(w, r, "id") }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	events = make(chan core.Event, 100)
	return raw, NewClient(func(e core.Event) { events <- e }), server.Address(), events
}

// callOnce makes a call of a plain service and returns its first event that is no statement.
func callOnce(t *testing.T, c *Client, address string, events chan core.Event, body []byte) core.Event {
	t.Helper()
	c.Run(context.Background(), core.Dispatch{Attempt: "a", Address: address, Method: http.MethodPost, Path: "/", Body: body, Timeout: testTimeout})
	return next(t, events)
}

// A plain service sends invalid responses. None of them may become the response to a call.
func TestInvalidResponsesOfServicesAreRejected(t *testing.T) {
	raw, c, address, events := rawClient(t)
	for _, kind := range slices.Concat(standin.InvalidStatuses("", "the body"), standin.InvalidFields("", "the body"), standin.TruncatedHeads("")) {
		raw.Store(&kind)
		if e := callOnce(t, c, address, events, []byte("{}")); !failedAfterSending(e) {
			t.Errorf("%q: %+v, want UpstreamFailed with Sent", kind.Name, e)
		}
	}
}

func failedAfterSending(e core.Event) bool {
	f, ok := e.(core.UpstreamFailed)
	return ok && f.Sent
}

// A service ends a body with its connection. Nothing proves that the body is whole: the kernel closes the connections of a
// process that crashes in the same way, and may report a reset to the write of the request alone.
func TestABodyThatEndsWithItsConnectionIsNotWhole(t *testing.T) {
	raw, c, address, events := rawClient(t)
	part := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("p", 700)
	for _, kind := range []standin.RawResponse{
		{Name: "after the request", ReadFirst: standin.ReadAll, Text: part},
		{Name: "of HTTP/1.0", ReadFirst: standin.ReadAll, Text: strings.Replace(part, "1.1", "1.0", 1)},
		{Name: "reset within the request", ReadFirst: 4 << 10, Text: part, OpenFor: 5 * time.Millisecond, Reset: true},
		{Name: "closed within the request", ReadFirst: 4 << 10, Text: part, OpenFor: 5 * time.Millisecond},
	} {
		raw.Store(&kind)
		for range 10 {
			if e := callOnce(t, c, address, events, make([]byte, 8<<20)); !failedAfterSending(e) {
				t.Errorf("%q: %+v, want UpstreamFailed with Sent", kind.Name, e)
				break
			}
		}
	}
	raw.Store(&standin.RawResponse{ReadFirst: standin.ReadAll, Text: "HTTP/1.0 200 OK\r\nContent-Length: 8\r\n\r\nthe body"})
	if e, ok := callOnce(t, c, address, events, []byte("{}")).(core.UpstreamResponse); !ok || e.Status != http.StatusOK || string(e.Body) != "the body" {
		t.Errorf("a body with a length: %+v, want the response", e)
	}
}

// An engine sends invalid responses, on connections that carry several requests. No token and no load report may be read
// from them.
func TestInvalidResponsesOfEnginesAreRejected(t *testing.T) {
	const stream = "data: {\"index\":0,\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"index\":1,\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":1}}\n\n"
	raw, c, address, events := rawClient(t)
	generate := func() string {
		c.Run(context.Background(), core.Dispatch{Attempt: "a", Address: address, Engine: true, Method: http.MethodPost, Path: "/", Body: []byte("{}"), Timeout: testTimeout})
		var got strings.Builder
		for {
			switch e := next(t, events).(type) {
			case core.UpstreamToken:
				fmt.Fprintf(&got, "%d %s ", e.Index, e.Text)
			case core.UpstreamEnd:
				return fmt.Sprintf("%send %d", got.String(), e.Tokens)
			case core.UpstreamFailed:
				return got.String() + "failed"
			}
		}
	}
	for _, kind := range slices.Concat(standin.InvalidStatuses("", stream), standin.InvalidFields("", stream), standin.TruncatedHeads("")) {
		raw.Store(&kind)
		if got := generate(); got != "failed" {
			t.Errorf("%q: %s, want failed", kind.Name, got)
		}
	}
	raw.Store(&standin.RawResponse{Text: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + stream})
	if got := generate(); got != "0 a end 1" {
		t.Errorf("a sound stream: %s", got)
	}
	for _, kind := range append(standin.InvalidStatuses("", `{"boot":"b"}`), standin.InvalidFields("", `{"boot":"b"}`)...) {
		raw.Store(&kind)
		c.Poll(context.Background(), "u", address)
		if e, ok := next(t, events).(core.PollFailed); !ok {
			t.Errorf("%q: report %+v, want PollFailed", kind.Name, e)
		}
	}
}

// An upstream responds to the request for its load with an error in JSON. That must not count as the report of an upstream
// without load, which would get work.
func TestAnErrorIsNotALoadReport(t *testing.T) {
	raw, c, address, events := rawClient(t)
	for _, status := range []string{"500 Internal Server Error", "503 Service Unavailable", "404 Not Found"} {
		raw.Store(&standin.RawResponse{Text: "HTTP/1.1 " + status + "\r\nContent-Length: 19\r\n\r\n{\"error\":\"trouble\"}"})
		c.Poll(context.Background(), "u", address)
		if e, ok := next(t, events).(core.PollFailed); !ok || e.Refused {
			t.Errorf("status %s: %+v, want PollFailed", status, e)
		}
	}
}

// An engine responds with a redirect. What another server sends must not become the stream of the engine, nor its report.
func TestARedirectIsNotFollowed(t *testing.T) {
	const stream = "data: {\"index\":0,\"choices\":[{\"text\":\"a\"}]}\n\n"
	other, _, otherAddress, _ := rawClient(t)
	other.Store(&standin.RawResponse{Text: "HTTP/1.1 200 OK\r\n\r\n" + stream})
	raw, c, address, events := rawClient(t)
	for _, status := range []string{"301 Moved Permanently", "302 Found", "303 See Other", "307 Temporary Redirect"} {
		raw.Store(&standin.RawResponse{Text: "HTTP/1.1 " + status + "\r\nLocation: http://" + otherAddress + "/\r\nContent-Length: 0\r\n\r\n"})
		c.Run(context.Background(), core.Dispatch{Attempt: "a", Address: address, Engine: true, Method: http.MethodPost, Path: "/", Body: []byte("{}"), Timeout: testTimeout})
		if e := next(t, events); !failedAfterSending(e) {
			t.Errorf("status %s: %+v, want UpstreamFailed with Sent", status, e)
			next(t, events) // the other stream ends without its last event
		}
	}
	other.Store(&standin.RawResponse{Text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"})
	c.Poll(context.Background(), "u", address)
	if e, ok := next(t, events).(core.PollFailed); !ok {
		t.Errorf("report: %+v, want PollFailed", e)
	}
}
