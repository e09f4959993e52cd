package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/standin"
)

// The platform sends invalid responses. None of them may become an object, a list or the result of a write.
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

// Another program writes invalid entries to the instance list. The other entries must still be used, and the invalid ones be
// reported once for each version of the list.
func TestInvalidEntriesOfTheListAreLeftOut(t *testing.T) {
	odd := []string{"null", "7", `"odd"`, "[]", "{}", `{"name":7}`, `{"name":"a","address":80}`, `{"name":"a","state":{"deep":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + "}}"}
	entries := slices.Concat([]string{`{"name":"first"}`}, odd, []string{`{"name":"last"}`})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", "1")
		if r.Header.Get("If-None-Match") == "1" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = io.WriteString(w, "["+strings.Join(entries, ",")+"]") // an error means that the client has disconnected
	}))
	defer server.Close()
	c := NewClient(server.URL)
	for read := range 2 {
		list, err := c.List(context.Background())
		var problem *EntriesError
		if reported := errors.As(err, &problem) && problem.Unreadable == len(odd); reported != (read == 0) || err != nil && !reported {
			t.Errorf("read %d: error %v, want %d entries reported with the first read only", read, err, len(odd))
		}
		if len(list) != 2 || list[0].Name != "first" || list[1].Name != "last" {
			t.Errorf("read %d: list %+v, want the first and the last entry", read, list)
		}
	}
}
