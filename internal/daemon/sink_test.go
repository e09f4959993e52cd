package daemon

import (
	"testing"

	"mulberrylug.example/mulberrylug/internal/core"
)

// A caller that stops reading while its stream continues would make the sink's backlog grow
// without limit. At maxBacklogTokens the response must be broken off: the sink must not return
// tokens after a gap, nor let the stream end with the outcome "done".
func TestPromise1SlowCallerIsCutOff(t *testing.T) {
	s := newSink()
	for n := range maxBacklogTokens {
		s.deliver(core.Deliver{Index: n})
	}
	if tokens, _ := s.Take(); len(tokens) != maxBacklogTokens || s.Overflowed() {
		t.Fatalf("backlog at its limit: %d tokens, overflowed = %t; want %d and false", len(tokens), s.Overflowed(), maxBacklogTokens)
	}
	for n := range 3 * maxBacklogTokens {
		s.deliver(core.Deliver{Index: n})
		if len(s.tokens) > maxBacklogTokens {
			t.Fatalf("sink holds %d tokens, want at most %d", len(s.tokens), maxBacklogTokens)
		}
	}
	if tokens, _ := s.Take(); len(tokens) != 0 || !s.Overflowed() {
		t.Errorf("backlog beyond its limit: %d tokens returned after a gap, overflowed = %t; want none and true", len(tokens), s.Overflowed())
	}
}
