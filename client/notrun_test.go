package client_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"mulberrylug.example/mulberrylug/client"
)

// The connection breaks after an entry has received a request, which may
// therefore run. The client sends the request again, and the second request is
// refused with not_run, which says nothing about the first: the client must
// report unknown. If no earlier request was lost, the client must report the
// refusal unchanged.
func TestPromise3ClientRemembersALostTry(t *testing.T) {
	ctx := context.Background()
	calls := map[string]func(c *client.Client) error{
		"call": func(c *client.Client) error {
			_, err := c.Do(ctx, client.Call{Service: "s", Path: "/p", Key: "k", NotRepeatable: true})
			return err
		},
		"stream": func(c *client.Client) error {
			_, err := c.Stream(ctx, client.Completion{Model: "m", Prompt: "p"}, nil)
			return err
		},
	}
	for name, do := range calls {
		for lost, want := range map[int32]client.Outcome{0: client.NotRun, 1: client.Unknown} {
			entry := newEntry(lost)
			var p *client.Problem
			err := do(client.New(client.Options{Seeds: []string{entry.Listener.Addr().String()}}))
			if !errors.As(err, &p) || p.Outcome != want {
				t.Errorf("%s after %d lost requests: error = %v, want outcome %s", name, lost, err, want)
			}
			entry.Close()
		}
	}
}

// newEntry starts an entry that breaks the connection of the first lost requests
// and refuses all later ones.
func newEntry(lost int32) *httptest.Server {
	var requests atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", http.NotFound)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) <= lost {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"outcome":"not_run","reason":"spend_limit"}`))
	})
	return httptest.NewServer(mux)
}
