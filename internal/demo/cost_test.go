package demo

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

func startFleet(t testing.TB, o FleetOptions) *Fleet {
	t.Helper()
	f, err := StartFleet(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// parallel calls f for 0 to n-1, at most 16 calls at a time.
func parallel(n int, f func(k int)) {
	const maxConcurrent = 16
	slots := make(chan struct{}, maxConcurrent)
	var wg sync.WaitGroup
	for k := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(k)
		})
	}
	wg.Wait()
}

// The platform's table serves only several hundred writes per second to the whole fleet.
// The test guards against more table writes per generation, booking or change than planned.
// The platform's stand-in counts the writes. Reads are only logged, because instances also
// read the table every second without any work.
func TestTableCosts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetOptions{Instances: 3, Engines: 2, Services: 2})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cl := client.New(client.Options{Seeds: f.Seeds(), APIKey: APIKey, Retries: 3})
	checkWrites := func(kind string, count int, maxEach float64, work func()) {
		t.Helper()
		before := f.Platform.Counts()
		work()
		after := f.Platform.Counts()
		each := float64(after.Commits-before.Commits) / float64(count)
		t.Logf("work=%s writes=%d count=%d writes_each=%.3f reads=%d", kind, after.Commits-before.Commits, count, each, after.Reads-before.Reads)
		if each > maxEach {
			t.Errorf("%s: table writes for each unit of work = %.3f, want at most %.3f", kind, each, maxEach)
		}
	}
	const requests = 100
	checkWrites("generation", requests, 0.2, func() {
		parallel(requests, func(n int) {
			if a := generate(ctx, cl, ample, job{n: n, promptWords: 20}); a.outcome != client.Done {
				t.Errorf("generation %d: outcome = %s (reason %s), want done", n, a.outcome, a.reason)
			}
		})
	})
	checkWrites("booking", requests, 2.1, func() {
		parallel(requests, func(n int) {
			if a := book(ctx, cl, n); a.outcome != client.Done {
				t.Errorf("booking %d: outcome = %s (reason %s), want done", n, a.outcome, a.reason)
			}
		})
	})
	checkWrites("booking_repeated", requests, 1.1, func() {
		parallel(requests, func(n int) { book(ctx, cl, n) })
	})
	checkWrites("configuration_change", 1, 1, func() { f.applyVersion(t, 2) })
	checkWrites("instance_failure", 1, 1, func() { f.Instances[2].Kill() })
	before := f.Platform.Counts().Reads
	const idle = 3 * time.Second
	time.Sleep(idle)
	t.Logf("work=idle seconds=%.0f instances=2 reads=%d", idle.Seconds(), f.Platform.Counts().Reads-before)
}

// applyVersion applies a new version of the configuration and waits until it is in force
// at all instances.
func (f *Fleet) applyVersion(t testing.TB, number int64) {
	t.Helper()
	text := Configuration(FleetOptions{Engines: len(f.Engines), Services: len(f.Services)}) + fmt.Sprintf("# version %d\n", number)
	req := apply.Request{
		Files:    []config.File{{Name: "demo.yaml", Data: []byte(text)}},
		Operator: "test", ApplyID: fmt.Sprintf("test-%d", number), Base: -1,
	}
	if _, err := apply.Apply(f.ctx, f.client, req); err != nil {
		t.Fatal(err)
	}
	for _, i := range f.Instances {
		testkit.Eventually(t, 20*time.Second, "the new configuration version is in force at "+i.Name, func() bool {
			st, err := i.Status(f.ctx)
			return err == nil && st.ConfigNumber >= number
		})
	}
}

// cpuTime returns the CPU time, user and system, that this process has used.
func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTokenPath measures the CPU time per token from the engine to the caller. Both
// run in this process. path=instance has an instance between them and path=engine has
// none, so that the difference is the CPU time of the instance.
func BenchmarkTokenPath(b *testing.B) {
	const streams, tokens = 64, 300
	f := startFleet(b, FleetOptions{
		Instances: 1, Engines: 1,
		Engine: engine.Settings{Capacity: 1 << 20, MaxBatch: streams, Median: tokens, Sigma: 1e-9, Prefill: 1 << 20},
	})
	cl := client.New(client.Options{Seeds: f.Seeds(), APIKey: APIKey, Retries: 3})
	if a := generate(f.ctx, cl, ample, job{promptWords: 20}); a.outcome != client.Done { // after this request the pool's home has the first load reports
		b.Fatalf("first generation: outcome = %s (reason %s), want done", a.outcome, a.reason)
	}
	for _, path := range []struct{ name, address string }{
		{"engine", f.Engines[0].Server.Address()},
		{"instance", f.Instances[0].CallerAddress()},
	} {
		b.Run("path="+path.name, func(b *testing.B) {
			start, total, size := cpuTime(b), 0, 0
			for n := 0; b.Loop(); n++ {
				tokens, bytes := f.readStreams(b, path.address, streams, n)
				total, size = total+tokens, size+bytes
			}
			b.ReportMetric(float64(cpuTime(b)-start)/float64(total), "cpu-ns/token")
			b.ReportMetric(float64(size)/float64(total), "B/token")
			b.ReportMetric(float64(total)/float64(b.N), "tokens/op")
		})
	}
}
