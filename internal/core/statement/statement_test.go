package statement

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

// header is the head of a response.
type header map[string][]string

func (h header) Values(name string) []string { return h[name] }

var names = Names{RateLimit: "limit", Brittle: "brittle", Leaving: "leaving", Pause: "pause"}

func stated(rate float64) ratelimit.Limit { return ratelimit.Limit{Stated: true, PerSecond: rate} }

// A limit that is misread is either ignored, which overloads the upstream, or shuts the upstream out.
func TestRateLimits(t *testing.T) {
	for text, want := range map[string]ratelimit.Limit{
		"4.3": stated(4.3), " 12 ": stated(12), "0": stated(0), "1e999": {}, "1000000000000": {},
	} {
		if got := names.Decode(header{"limit": {text}}, false); got != (Statement{RateLimit: want}) {
			t.Errorf("limit %q states %+v, want %+v", text, got, want)
		}
	}
	for _, text := range []string{"", "many", "-3", "NaN", "4,3", "-1e999"} {
		if got := names.Decode(header{"limit": {text}}, false); got.Unreadable == nil || !got.RateUnreadable || got.RateLimit.Stated {
			t.Errorf("limit %q states %+v, want an error and no limit", text, got)
		}
	}
}

// A number that is misread makes an upstream fall over, or limits one that is not brittle.
func TestBrittleness(t *testing.T) {
	for text, want := range map[string]int{"3": 3, " 12 ": 12, "0": 0} {
		if got := names.Decode(header{"brittle": {text}}, false); got != (Statement{Brittle: want}) {
			t.Errorf("brittle %q states %+v, want %d", text, got, want)
		}
	}
	for _, text := range []string{"", "few", "-3", "1.5"} {
		if got := names.Decode(header{"brittle": {text}}, false); got.Unreadable == nil || got.Brittle != 0 {
			t.Errorf("brittle %q states %+v, want an error", text, got)
		}
	}
}

// A pause that is misread either floods an upstream that sheds load or takes it out for good.
func TestPauses(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "1e300": maxPauseSeconds * time.Second,
	} {
		if got := names.Decode(header{"pause": {text}}, true); got != (Statement{Pause: want}) {
			t.Errorf("pause %q states %+v, want %v", text, got, want)
		}
	}
	for _, text := range []string{"-1", "soon", "NaN", "", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		if got := names.Decode(header{"pause": {text}}, true); got.Unreadable == nil || got.Pause != 0 {
			t.Errorf("pause %q states %+v, want an error and no pause", text, got)
		}
	}
	if got := names.Decode(header{"pause": {"3"}}, false); got != (Statement{}) {
		t.Errorf("a response that rejects nothing states %+v, want no pause", got)
	}
}

// An upstream is taken out for good once it leaves, so that nothing else may be read as that.
func TestLeaving(t *testing.T) {
	for text, want := range map[string]bool{"": false, "0": false, "1": true, " 1": true} {
		if got := names.Decode(header{"leaving": {text}}, false); got != (Statement{Leaving: want}) {
			t.Errorf("leaving %q states %+v, want %v", text, got, want)
		}
	}
	for _, text := range []string{"soon", "-1", "2", "true"} {
		if got := names.Decode(header{"leaving": {text}}, false); got.Leaving || got.Unreadable == nil {
			t.Errorf("leaving %q states %+v, want an error", text, got)
		}
	}
}

// A field that cannot be read must not hide the others.
func TestUnreadableFieldsLeaveTheOthers(t *testing.T) {
	got := names.Decode(header{"leaving": {"soon"}, "limit": {"3"}, "pause": {"-1"}}, true)
	if got.Leaving || got.Pause != 0 || got.Unreadable == nil || got.RateUnreadable || got.RateLimit != stated(3) {
		t.Errorf("two unreadable fields give %+v, want errors and the limit", got)
	}
}
