package hosted

import (
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/watch"
)

// An instance turns to another source, which has dropped an upstream under a version that this instance has. Unless the
// whole list is requested, the upstream gets requests for ever. Queries of further sources must not request it, as
// hundreds of instances send them at the same time.
func TestTheWholeListIsRequestedFromAnotherSource(t *testing.T) {
	var l listSource
	query := func(number int64, source string, further, want bool) {
		t.Helper()
		if got := l.mustRequestAll(watch.Query{Source: source, Number: number, Further: further}); got != want {
			t.Errorf("query %d of %s requests the whole list: %v, want %v", number, source, got, want)
		}
	}
	query(1, "a", false, true)
	query(2, "a", false, true) // the response was lost
	l.onResponse("a", 2)
	query(3, "a", false, false)
	query(4, "b", true, false)
	l.onResponse("b", 4)
	query(5, "a", false, false)
	query(6, "b", false, true)
	l.onResponse("b", 6)
	query(7, "b", false, false)
	l.onStoreRead()
	query(8, "b", false, true)
}
