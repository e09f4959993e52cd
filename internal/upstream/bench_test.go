package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// BenchmarkPoll measures one poll of an upstream's load. cpu-ns/poll is the CPU time of the
// whole process and thus includes the upstream's side.
func BenchmarkPoll(b *testing.B) {
	for _, gens := range []int{0, 78} {
		b.Run(fmt.Sprintf("generations=%d", gens), func(b *testing.B) {
			r := placement.Report{Upstream: "engine-123", Boot: "0123456789abcdef", Capacity: 400_000, MaxBatch: 512}
			for n := range gens {
				r.Gens = append(r.Gens, placement.GenLoad{Attempt: fmt.Sprintf("entry-%d:0123abcd:100000/1", n), Tokens: n})
			}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(r) // an error means that the client has disconnected
			}))
			defer srv.Close()
			reports := 0
			c := NewClient(func(ev core.Event) {
				if _, ok := ev.(core.UpstreamReport); ok {
					reports++
				}
			})
			start := cpuTime(b)
			for b.Loop() {
				c.Poll(context.Background(), "engine-123", strings.TrimPrefix(srv.URL, "http://"))
			}
			b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N), "cpu-ns/poll")
			if reports < b.N {
				b.Fatalf("%d of %d polls returned a report, want all", reports, b.N)
			}
		})
	}
}

// cpuTime returns the CPU time used by the whole process so far.
func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
