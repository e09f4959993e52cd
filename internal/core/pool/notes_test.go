package pool

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// field returns the value of a key in a log event, or "" if it has none.
func (n Note) field(key string) string {
	for k := 0; k+1 < len(n.Pairs); k += 2 {
		if n.Pairs[k] == key {
			return fmt.Sprint(n.Pairs[k+1])
		}
	}
	return ""
}

// Operators must be able to explain a move from the log: the start of the evacuation, the order
// and the outcome must be logged, the latter two with the request's id and both upstreams.
func TestMovesAreLogged(t *testing.T) {
	s := newSim(t, 4)
	s.fill(8, 200*time.Millisecond)
	s.advance(time.Second)
	s.home.Notes()
	leaving := s.fullest()
	s.find(leaving).LeavingSince = s.now
	s.sync()
	if len(s.orders) == 0 {
		t.Fatal("no move was ordered: the test checks nothing")
	}
	o := s.orders[0]
	s.now = s.now.Add(150 * time.Millisecond)
	s.reportOutcome(o, msg.MoveDone)
	seen := map[string]Note{}
	for _, n := range s.home.Notes() {
		if id := n.field("request"); id == "" || id == o.Attempt {
			seen[n.Event] = n
		}
	}
	if got := seen["evacuation_began"].field("upstream"); got != leaving {
		t.Errorf("upstream of evacuation_began = %q, want %q", got, leaving)
	}
	for _, event := range []string{"move_ordered", "move_ended"} {
		n := seen[event]
		if n.field("request") != o.Attempt || n.field("from") != leaving || n.field("to") != o.To {
			t.Errorf("pairs of %s = %v, want request %s from %s to %s", event, n.Pairs, o.Attempt, leaving, o.To)
		}
	}
	if got := seen["move_ended"].field("outcome"); got != fmt.Sprint(msg.MoveDone) {
		t.Errorf("outcome of move_ended = %q, want \"done\", the value of MoveDone", got)
	}
}
