package membership

import (
	"fmt"
	"testing"
	"time"
)

func fleet(n int) []Member {
	var out []Member
	for k := range n {
		out = append(out, Member{
			Name: fmt.Sprintf("entry-%d", k), Role: RoleEntry, State: Live, DataCentre: fmt.Sprintf("dc-%d", k%5),
		})
	}
	return out
}

// BenchmarkHomes looks up the home of a key. Each request does this twice and each running
// generation once per second.
func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{12, 120, 390} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			v := NewView(fleet(1)[0])
			v.Update(time.Time{}, fleet(n))
			now := time.Unix(1_800_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				v.Homes(now, "pool/assistant-00@dc-1", 1, func(dc string) int { return len(dc) })
			}
		})
	}
}
