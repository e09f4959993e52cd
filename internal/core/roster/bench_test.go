package roster

import (
	"testing"
	"time"
)

// largeList returns a complete list of 3,000 upstreams, and the request of an instance that
// already has the current versions of its groups.
func largeList(b *testing.B) (*Roster, ListRequest) {
	b.Helper()
	r := New()
	all := spread("large", 1000)
	r.Replace(start, all, int64(len(all)))
	r.Divide(start)
	layout, layoutVersion := r.Layout()
	return r, ListRequest{Version: r.NewestVersion(), LayoutVersion: layoutVersion, Groups: layout.GroupsFor("large", "a", "i1", allOpen)}
}

func BenchmarkRespondNothingNew(b *testing.B) {
	r, q := largeList(b)
	b.ReportAllocs()
	for b.Loop() {
		r.Respond(start, "x", q)
	}
}

func BenchmarkRespondOneChange(b *testing.B) {
	r, q := largeList(b)
	v := r.NewestVersion()
	removed := r.UpstreamsIn(q.Groups[0])[0].ID
	r.Update(start, []Change{{ID: removed, Version: v + 1, Removed: true}}, v+1)
	b.ReportAllocs()
	for b.Loop() {
		r.Respond(start, "x", q)
	}
}

// BenchmarkHeartbeats applies 1,500 heartbeats, as many as the store reports for 600 ms.
func BenchmarkHeartbeats(b *testing.B) {
	r, _ := largeList(b)
	changes := spread("large", 1000)[:1500]
	v, now := r.NewestVersion(), start
	b.ReportAllocs()
	for b.Loop() {
		for k := range changes {
			v++
			changes[k].Version = v
		}
		now = now.Add(time.Second)
		r.Update(now, changes, v)
		r.Divide(start)
	}
}
