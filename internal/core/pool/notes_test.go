package pool

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// field returns the value of a key in a log event.
func (n Note) field(key string) string {
	for k := 0; k+1 < len(n.Pairs); k += 2 {
		if n.Pairs[k] == key {
			return fmt.Sprint(n.Pairs[k+1])
		}
	}
	return ""
}

// A move that no line of the log explains: an operator who follows a request must find the
// order, its reason and its outcome, each with the request's id and both upstreams.
func TestMovesAreLogged(t *testing.T) {
	s := newSim(t, 4)
	s.fill(8, 200*time.Millisecond)
	s.pass(time.Second)
	s.home.Notes()
	leaving := s.fullest()
	s.find(leaving).LeavingSince = s.now
	s.sync()
	if len(s.orders) == 0 {
		t.Fatal("nothing was moved: the test shows nothing")
	}
	o := s.orders[0]
	s.now = s.now.Add(150 * time.Millisecond)
	s.answer(o, msg.MoveDone)
	seen := map[string]Note{}
	for _, n := range s.home.Notes() {
		if id := n.field("request"); id == "" || id == o.Attempt {
			seen[n.Event] = n
		}
	}
	if got := seen["evacuation_began"].field("upstream"); got != leaving {
		t.Errorf("evacuation_began names %q, want %q", got, leaving)
	}
	for _, event := range []string{"move_ordered", "move_ended"} {
		n := seen[event]
		if n.field("request") != o.Attempt || n.field("from") != leaving || n.field("to") != o.To {
			t.Errorf("%s: %v, want request %s from %s to %s", event, n.Pairs, o.Attempt, leaving, o.To)
		}
	}
	if got := seen["move_ended"].field("outcome"); got != fmt.Sprint(msg.MoveDone) {
		t.Errorf("outcome %q", got)
	}
}
