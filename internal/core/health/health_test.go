package health

import (
	"testing"
	"time"
)

// An upstream that fails is passed over, so that nothing shows whether it is well
// again: its failures must fade by themselves, and one success must not clear it.
func TestFailuresCountAndFade(t *testing.T) {
	var r Record
	now := time.Unix(1000, 0)
	if r.Rate(now) != 0 {
		t.Error("a new record has failures")
	}
	for range 5 {
		r.Note(now, true)
	}
	high := r.Rate(now)
	if high < 0.3 || high > 0.5 {
		t.Errorf("rate %.2f after five failures, want about 0.41", high)
	}
	r.Note(now, false)
	if got := r.Rate(now); got < high/2 || got >= high {
		t.Errorf("rate %.2f after a success, was %.2f", got, high)
	}
	if got := r.Rate(now.Add(10 * time.Second)); got > high/4 {
		t.Errorf("rate %.2f ten seconds later, was %.2f", got, high)
	}
	if got := r.Rate(now.Add(time.Hour)); got != 0 {
		t.Errorf("rate %.4f an hour later", got)
	}
}
