package watch

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestReadersQueryTheStoreAndOthersTheReaders(t *testing.T) {
	live := []string{"b", "c", "d"}
	if got := New(0).Source(start, Choice{Reads: true, Designated: []string{"b"}, Others: live}); got != Store {
		t.Errorf("reader queries %q, want the store", got)
	}
	if got := New(0).Source(start, Choice{Designated: []string{"a", "b"}, Others: []string{"a", "b", "c"}}); got != "a" {
		t.Errorf("instance that is not a reader queries %q, want the first reader", got)
	}
	if got := New(0).Source(start, Choice{}); got != Store {
		t.Errorf("only instance queries %q, want the store", got)
	}
}

// Both readers stop responding at once, then the store as well. The instance must query the next
// source each time, and return to the first one after its backoff, so that its callers are not
// affected as long as one source responds.
func TestFailedSourcesAreSkipped(t *testing.T) {
	w, live := New(0), []string{"a", "b", "c"}
	want := []string{"a", "b", Store, "c"}
	for _, source := range want {
		if got := w.Source(start, Choice{Designated: []string{"a", "b"}, Others: live}); got != source {
			t.Fatalf("all preferred sources failed: queries %q, want %q", got, source)
		}
		w.Failed(start, source)
		start = start.Add(time.Millisecond)
	}
	if got := w.Source(start, Choice{Designated: []string{"a", "b"}, Others: live}); got != "a" {
		t.Errorf("queries %q after all sources failed, want the one that failed first", got)
	}
	if got := w.Source(start.Add(backoff), Choice{Designated: []string{"a", "b"}, Others: live}); got != "a" {
		t.Errorf("queries %q after the backoff, want the first source", got)
	}
}

// A reader is cut off from the store but not from the other instances. It responds with a
// confirmation that gets old, and keys may have been revoked since. Another source must be
// queried before keys are refused.
func TestAReaderWithAnOldConfirmationIsSkipped(t *testing.T) {
	w := New(0)
	w.OnResponse(start, "a", maxConfirmationAge+time.Millisecond, false)
	if got := w.Source(start, Choice{Designated: []string{"a", "b"}, Others: []string{"a", "b"}}); got != "b" {
		t.Errorf("confirmation of the first reader too old: queries %q, want the other reader", got)
	}
	w.OnResponse(start, "b", time.Second, false)
	if got := w.Source(start, Choice{Designated: []string{"a", "b"}, Others: []string{"a", "b"}}); got != "b" {
		t.Errorf("queries %q after a recent confirmation of the other reader, want the other reader", got)
	}
}

// A relay's confirmation is older than a reader's by the time for which the relay's query was
// held. If it counted as too old, every instance of the data centre would query the store.
func TestARelaysConfirmationMayBeOlder(t *testing.T) {
	w := New(0)
	w.OnResponse(start, "a", maxConfirmationAge+PeerHold, true)
	if got := w.Source(start, Choice{Designated: []string{"a", "b"}, Others: nil}); got != "a" {
		t.Errorf("confirmation of a relay within RelayExtraAge: queries %q, want the relay", got)
	}
	w.OnResponse(start, "a", maxConfirmationAge+RelayExtraAge+time.Millisecond, true)
	if got := w.Source(start, Choice{Designated: []string{"a", "b"}, Others: nil}); got != "b" {
		t.Errorf("confirmation of a relay beyond RelayExtraAge: queries %q, want another source than this relay", got)
	}
}

// The relays of a data centre fail together. Its hundred instances must query the readers and
// then some other instances. The store must be the last source, because each instance would
// have to read the full list of upstreams there.
func TestLargeFleetsQueryTheStoreLast(t *testing.T) {
	w := New(0)
	c := Choice{Large: true, Designated: []string{"a"}, Others: []string{"a", "b", "c", "d", "e", "f", "g", "h"}}
	for _, want := range []string{"a", "b", "c", "d", "e", "f", Store} {
		if got := w.Source(start, c); got != want {
			t.Fatalf("large fleet, all preferred sources failed: queries %q, want %q", got, want)
		}
		w.Failed(start, want)
	}
}

// The reader of a large fleet stops responding. The standby, which queries it like all
// others, must query the store next, not instances that themselves wait for the standby.
func TestTheStandbyQueriesTheStoreNext(t *testing.T) {
	w := New(0)
	c := Choice{Standby: true, Large: true, Designated: []string{"a"}, Others: []string{"a", "b"}}
	for _, want := range []string{"a", Store, "b"} {
		if got := w.Source(start, c); got != want {
			t.Fatalf("standby, all preferred sources failed: queries %q, want %q", got, want)
		}
		w.Failed(start, want)
	}
}
