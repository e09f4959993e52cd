package hosted

import (
	"testing"
	"time"
)

// Guards the measured intervals: none before the first event of a stream, the time since the
// previous event for all others, and the longest of them.
func TestGapsBetweenEvents(t *testing.T) {
	var g gaps
	at := time.Unix(1000, 0)
	if _, ok := g.record(at); ok {
		t.Error("record returned an interval for the first event, want none")
	}
	for _, gap := range []time.Duration{40, 190, 30} {
		at = at.Add(gap * time.Millisecond)
		if got, ok := g.record(at); !ok || got != gap*time.Millisecond {
			t.Errorf("interval since the previous event = %v, want %v", got, gap*time.Millisecond)
		}
	}
	if g.longest != 190*time.Millisecond {
		t.Errorf("longest interval = %v, want 190 ms", g.longest)
	}
}
