package core

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A shorter pause must not end a longer one, and another run of the upstream is bound by neither.
func TestPausesOfUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	p := upstreamPauses{}
	p.begin(now, "a", "1", 3*time.Second)
	p.begin(now.Add(time.Second), "a", "1", time.Second)
	p.begin(now, "b", "1", 5*time.Second)
	for after, want := range map[time.Duration]bool{0: true, 2900 * time.Millisecond: true, 3 * time.Second: false} {
		if got := p.has(now.Add(after), "a", "1"); got != want {
			t.Errorf("after %v the upstream wants a pause: %v, want %v", after, got, want)
		}
	}
	if p.has(now, "a", "2") {
		t.Error("another run of the upstream wants a pause, want it to accept work")
	}
	if d := p.firstEnd(now, []string{"b", "a"}); d != 3*time.Second {
		t.Errorf("the first pause ends after %v, want 3 s", d)
	}
	if d := p.firstEnd(now, []string{"b", "c"}); d != 0 {
		t.Errorf("the first upstream accepts work after %v, want at once", d)
	}
	if got := p.names(now.Add(4 * time.Second)); !slices.Equal(got, []string{"b"}) || len(p) != 1 {
		t.Errorf("%v want a pause after 4 s and %d are kept, want b alone", got, len(p))
	}
}

// Callers that are refused until the end of the same pause must not all return at once.
func TestRefusalsOfAPauseAreSpread(t *testing.T) {
	different := map[time.Duration]bool{}
	for k := range 100 {
		d := spread(fmt.Sprintf("attempt-%d", k), 500*time.Millisecond)
		if d < 0 || d >= 500*time.Millisecond {
			t.Errorf("spread by %v, want less than 0.5 s", d)
		}
		different[d/(50*time.Millisecond)] = true
	}
	if len(different) < 8 {
		t.Errorf("100 callers return in %d of 10 parts of the time, want 8 or more", len(different))
	}
}
