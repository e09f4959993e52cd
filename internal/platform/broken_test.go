package platform

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/standin"
)

// The platform sends what is no response. It must not become an object, a list or the result of a write.
func TestInvalidResponsesOfThePlatformAreRejected(t *testing.T) {
	var raw atomic.Pointer[standin.RawResponse]
	server, err := standin.Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { raw.Load().Send(w, r, "") }))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c := NewClient("http://" + server.Address())
	for _, kind := range append(standin.InvalidStatuses("", "[]"), standin.InvalidFields("", "[]")...) {
		raw.Store(&kind)
		if got, err := c.Get(context.Background(), "a"); err == nil {
			t.Errorf("%q: object %q, want an error", kind.Name, got)
		}
		if got, err := c.List(context.Background()); err == nil {
			t.Errorf("%q: list %v, want an error", kind.Name, got)
		}
	}
	for _, kind := range append(standin.InvalidStatuses("", `{"status":1}`), standin.InvalidFields("", `{"status":1}`)...) {
		raw.Store(&kind)
		if got := c.Commit(context.Background(), table.Tx{}); got.Status != table.Unknown {
			t.Errorf("%q: result %+v, want unknown", kind.Name, got)
		}
	}
}
