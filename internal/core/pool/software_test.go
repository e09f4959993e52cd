package pool

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// In a release an engine of the old version leaves while those of the new one are the emptiest. Its generations may
// move only to engines of its own version, and stay if there is none: what two versions write does not fit
// together.
func TestMovesStayAtTheirSoftware(t *testing.T) {
	for _, old := range []int{2, 1} {
		s := newSim(t, old)
		s.fill(8, 200*time.Millisecond)
		for k := range 4 {
			s.join("new" + string(rune('0'+k)))
			s.list[len(s.list)-1].Software = "v2"
		}
		s.join("other")
		s.list[len(s.list)-1].Software = ""
		s.advance(time.Second)
		s.find("u00").LeavingSince = s.now
		s.advance(time.Second)
		for _, o := range s.orders {
			if o.From != "u00" || o.To != "u01" || o.ToSoftware != "v1" {
				t.Errorf("order %+v off an engine of v1, want it to the other one of v1", o)
			}
			s.reportOutcome(o, msg.MoveDone)
		}
		if moved := len(s.orders) > 0; moved != (old > 1) {
			t.Errorf("%d engines of the version: %d orders", old, len(s.orders))
		}
	}
}
