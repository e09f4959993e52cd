package roster

import (
	"testing"
	"time"
)

// An entry that expired while the store was away returns, also in the form from before its upstream
// left. The upstream must not get new work again.
func TestALeavingRunDoesNotComeBack(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := Entry{ID: "u", Service: "s", Address: "a:1", DataCentre: "dc", Born: 7}
	for name, leave := range map[string]func(r *Roster){
		"by the list": func(r *Roster) {
			leaving := entry
			leaving.Leaving = true
			r.Update(now, []Change{{ID: "u", Version: 2, Valid: true, Entry: leaving}}, 2)
		},
		"by a response":         func(r *Roster) { r.MarkLeaving(now, r.Find("u")) },
		"by another instance":   func(r *Roster) { r.MarkRunLeaving(now, entry.Run()) },
		"before it was listed":  nil,
		"by a run that is gone": func(r *Roster) { r.MarkLeaving(now, r.Find("u")) },
	} {
		r := New()
		if leave == nil {
			r.MarkRunLeaving(now, entry.Run())
		}
		r.Update(now, []Change{{ID: "u", Version: 1, Valid: true, Entry: entry}}, 1)
		if leave != nil {
			leave(r)
		}
		r.Update(now.Add(time.Minute), []Change{{ID: "u", Version: 3, Removed: true}}, 3)
		r.Update(now.Add(time.Minute), []Change{{ID: "u", Version: 4, Valid: true, Entry: entry}}, 4)
		if u := r.Find("u"); u.TakesWork() {
			t.Errorf("%s: the upstream takes work after its entry returned, want it to leave", name)
		}
		next := entry
		next.Born = 9
		r.Update(now.Add(time.Minute), []Change{{ID: "u", Version: 5, Valid: true, Entry: next}}, 5)
		if u := r.Find("u"); !u.TakesWork() {
			t.Errorf("%s: the next run under the same id and address takes no work, want it to", name)
		}
		r.Tick(now.Add(time.Hour))
		if len(r.leftAt) != 0 {
			t.Errorf("%s: %d runs are kept an hour after they left, want none", name, len(r.leftAt))
		}
	}
}
