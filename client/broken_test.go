package client

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"mulberrylug.example/mulberrylug/internal/standin"
)

// An entry sends an invalid response, or a body without a length. The call may have run, and must not be reported as done.
func TestInvalidResponsesOfEntriesAreRejected(t *testing.T) {
	var raw atomic.Pointer[standin.RawResponse]
	server, err := standin.Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			http.NotFound(w, r)
			return
		}
		raw.Load().Send(w, r, "")
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := New(Options{Seeds: []string{server.Address()}})
	const done = "X-Outcome: done\r\n"
	kinds := append(standin.InvalidStatuses(done, "the body"), standin.InvalidFields(done, "the body")...)
	kinds = append(kinds, standin.RawResponse{Name: "no length", ReadFirst: standin.ReadAll, Text: "HTTP/1.1 200 OK\r\n" + done + "\r\nthe bo"})
	for _, kind := range kinds {
		raw.Store(&kind)
		a, err := c.Do(context.Background(), Call{Service: "desk", Path: "/", Body: []byte("{}")})
		var p *Problem
		if !errors.As(err, &p) || p.Outcome != Unknown {
			t.Errorf("%q: answer %+v, error %v, want an unknown outcome", kind.Name, a, err)
		}
	}
	raw.Store(&standin.RawResponse{Text: "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n" + done + "\r\nthe body"})
	if a, err := c.Do(context.Background(), Call{Service: "desk", Path: "/"}); err != nil || string(a.Body) != "the body" {
		t.Errorf("a sound response: %+v, error %v", a, err)
	}
}
