package health

import (
	"testing"
	"time"
)

// An upstream that fails is not chosen, so that no new outcome shows whether it has recovered:
// its failure rate must decay over time. One success must not reset the rate.
func TestFailureRateRisesAndDecays(t *testing.T) {
	var r Record
	now := time.Unix(1000, 0)
	if r.Rate(now) != 0 {
		t.Error("failure rate of a new record is not 0, want 0 without outcomes")
	}
	for range 5 {
		r.Note(now, true)
	}
	peak := r.Rate(now)
	if peak < 0.3 || peak > 0.5 {
		t.Errorf("failure rate = %.2f after five failures, want about 0.41", peak)
	}
	r.Note(now, false)
	if got := r.Rate(now); got < peak/2 || got >= peak {
		t.Errorf("failure rate = %.2f after a success, want less than the previous %.2f but at least half of it", got, peak)
	}
	if got := r.Rate(now.Add(10 * time.Second)); got > peak/4 {
		t.Errorf("failure rate = %.2f ten seconds later, want at most a quarter of %.2f", got, peak)
	}
	if got := r.Rate(now.Add(time.Hour)); got != 0 {
		t.Errorf("failure rate = %.4f an hour later, want 0", got)
	}
}
