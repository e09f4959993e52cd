package watch

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestReadersAskTheStoreOthersTheReaders(t *testing.T) {
	live := []string{"b", "c", "d"}
	if got := New(0).Source(start, Choice{Reads: true, Ask: []string{"b"}, Others: live}); got != Store {
		t.Errorf("a reader asks %q", got)
	}
	if got := New(0).Source(start, Choice{Ask: []string{"a", "b"}, Others: []string{"a", "b", "c"}}); got != "a" {
		t.Errorf("another asks %q, want the first reader", got)
	}
	if got := New(0).Source(start, Choice{}); got != Store {
		t.Errorf("alone, it asks %q", got)
	}
}

// Both readers fall silent at once, then the store as well: the instance asks
// the next source each time, and comes back to the first when that has had time
// to recover. Its callers notice nothing as long as one source answers.
func TestFailedSourcesArePassedOver(t *testing.T) {
	w, live := New(0), []string{"a", "b", "c"}
	want := []string{"a", "b", Store, "c"}
	for _, source := range want {
		if got := w.Source(start, Choice{Ask: []string{"a", "b"}, Others: live}); got != source {
			t.Fatalf("asks %q, want %q", got, source)
		}
		w.Failed(start, source)
		start = start.Add(time.Millisecond)
	}
	if got := w.Source(start, Choice{Ask: []string{"a", "b"}, Others: live}); got != "a" {
		t.Errorf("with all of them bad it asks %q, want the one that failed first", got)
	}
	if got := w.Source(start.Add(backoff), Choice{Ask: []string{"a", "b"}, Others: live}); got != "a" {
		t.Errorf("after the pause it asks %q", got)
	}
}

// A reader is cut off from the store but not from the others. It answers, yet
// what it knows gets old, and keys may have been taken away meanwhile: another
// source is asked before that matters.
func TestAReaderWithOldKnowledgeIsPassedOver(t *testing.T) {
	w := New(0)
	w.Answered(start, "a", maxAge+time.Millisecond, false)
	if got := w.Source(start, Choice{Ask: []string{"a", "b"}, Others: []string{"a", "b"}}); got != "b" {
		t.Errorf("asks %q, want the other reader", got)
	}
	w.Answered(start, "b", time.Second, false)
	if got := w.Source(start, Choice{Ask: []string{"a", "b"}, Others: []string{"a", "b"}}); got != "b" {
		t.Errorf("asks %q", got)
	}
}

// A relay's knowledge is older than a reader's by its own wait, and no less sound:
// held for old, it would send every instance of its data centre to the store.
func TestARelaysKnowledgeMayBeOlder(t *testing.T) {
	w := New(0)
	w.Answered(start, "a", maxAge+PeerHold, true)
	if got := w.Source(start, Choice{Ask: []string{"a", "b"}, Others: nil}); got != "a" {
		t.Errorf("asks %q, want the relay", got)
	}
	w.Answered(start, "a", maxAge+RelayMore+time.Millisecond, true)
	if got := w.Source(start, Choice{Ask: []string{"a", "b"}, Others: nil}); got != "b" {
		t.Errorf("asks %q, want another than the relay that knows nothing new", got)
	}
}

// The relays of a data centre fail together. Its hundred instances ask the readers and
// then some others; the store, which each would have to read whole, is the last.
func TestLargeFleetsAskTheStoreLast(t *testing.T) {
	w := New(0)
	c := Choice{Large: true, Ask: []string{"a"}, Others: []string{"a", "b", "c", "d", "e", "f", "g", "h"}}
	for _, want := range []string{"a", "b", "c", "d", "e", "f", Store} {
		if got := w.Source(start, c); got != want {
			t.Fatalf("asks %q, want %q", got, want)
		}
		w.Failed(start, want)
	}
}

// The reader of a large fleet falls silent. The standby, which asks it like all others,
// turns to the store at once and not to instances that wait for it.
func TestTheStandbyAsksTheStoreNext(t *testing.T) {
	w := New(0)
	c := Choice{Standby: true, Large: true, Ask: []string{"a"}, Others: []string{"a", "b"}}
	for _, want := range []string{"a", Store, "b"} {
		if got := w.Source(start, c); got != want {
			t.Fatalf("asks %q, want %q", got, want)
		}
		w.Failed(start, want)
	}
}
