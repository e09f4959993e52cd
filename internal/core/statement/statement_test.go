package statement

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

// A limit that is misread is either ignored, which overloads the upstream, or shuts the upstream out.
func TestRateLimit(t *testing.T) {
	stated := func(rate float64) ratelimit.Limit { return ratelimit.Limit{Stated: true, PerSecond: rate} }
	for text, want := range map[string]ratelimit.Limit{
		"4.3": stated(4.3), " 12 ": stated(12), "0": stated(0), "1e999": {}, "1000000000000": {},
	} {
		if got, err := RateLimit(text); got != want || err != nil {
			t.Errorf("RateLimit(%q) = %+v, error %v; want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "many", "-3", "NaN", "4,3", "-1e999"} {
		if got, err := RateLimit(text); err == nil || got.Stated {
			t.Errorf("RateLimit(%q) = %+v, want an error and no limit", text, got)
		}
	}
}

// A pause that is misread either floods an upstream that sheds load or takes it out for good.
func TestPause(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "1e300": maxPauseSeconds * time.Second,
	} {
		if got, err := Pause(text); got != want || err != nil {
			t.Errorf("Pause(%q) = %v, error %v; want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"-1", "soon", "NaN", "", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		if got, err := Pause(text); err == nil || got != 0 {
			t.Errorf("Pause(%q) = %v, want an error and no pause", text, got)
		}
	}
}

// An upstream is taken out for good once it leaves, so that nothing else may be read as that.
func TestLeaving(t *testing.T) {
	for text, want := range map[string]bool{"": false, "0": false, "1": true, " 1": true} {
		if got, err := Leaving(text); got != want || err != nil {
			t.Errorf("Leaving(%q) = %v, error %v; want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"soon", "-1", "2", "true"} {
		if got, err := Leaving(text); got || err == nil {
			t.Errorf("Leaving(%q) = %v, want an error", text, got)
		}
	}
}
