package origin

import (
	"fmt"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

var start = time.Unix(1000, 0)

func recordOf(request, software string, keep time.Duration) Record {
	return Record{
		Key: Key{Organisation: "org", Request: request}, At: start, ExpiresAt: start.Add(keep),
		Origin: roster.Origin{Service: "pool", Software: software, Run: roster.Run{ID: "u0", Born: 7}},
	}
}

// Callers that never come back must not fill the memory, and a flood of streams must not displace the newest.
func TestRecordsAreBoundedInNumberAndTime(t *testing.T) {
	r := NewRecords(10)
	for k := range 25 {
		r.Add(start, recordOf(fmt.Sprint(k), "v1", time.Second))
	}
	if _, ok := r.Find(start, Key{"org", "24"}); !ok || r.Len() != 10 {
		t.Errorf("%d records, the newest found: %v; want 10 with the newest", r.Len(), ok)
	}
	if _, ok := r.Find(start.Add(2*time.Second), Key{"org", "24"}); ok {
		t.Error("an expired record was found")
	}
	r.Expire(start.Add(2 * time.Second))
	if all := r.All(start); len(all) != 0 || r.Len() != 0 {
		t.Errorf("%d records are left after all have expired", r.Len())
	}
}

// Two streams of an organisation have the same id, or a record is repeated. The software of one of two streams must
// not be taken for that of the other, and a repeat changes nothing.
func TestContradictingRecordsMakeAnOriginUnknown(t *testing.T) {
	r := NewRecords(10)
	r.Add(start, recordOf("a", "v1", time.Second))
	r.Add(start, recordOf("a", "v1", 3*time.Second))
	if rec, ok := r.Find(start.Add(2*time.Second), Key{"org", "a"}); !ok || rec.Origin.Software != "v1" {
		t.Errorf("record %+v after a repeat, want v1 for longer", rec)
	}
	r.Add(start, recordOf("a", "v2", time.Second))
	rec, _ := r.Find(start, Key{"org", "a"})
	for _, software := range []string{"v1", "v2"} {
		if rec.Origin.Admits(roster.Entry{ID: "u0", Service: "pool", Software: software, Born: 7}) {
			t.Errorf("%s may go on with either of two streams of the same id", software)
		}
	}
	if _, ok := r.Find(start, Key{"other", "a"}); ok {
		t.Error("another organisation's key finds the record")
	}
}
