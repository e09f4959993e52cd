package peer

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// memoryInUse returns the bytes in use for the heap, after a garbage collection, and for stacks.
func memoryInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc + m.StackInuse)
}

// At the target size an instance has one connection to and one from each of 389 peers. Their
// buffers and stacks count against the instance's memory limit of 64 MB.
func TestLinkMemory(t *testing.T) {
	const peers = 389
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	before := memoryInUse()
	for n := range peers {
		if err := a.Send(fmt.Sprintf("peer-%d", n), b.Address(), msg.Settle{Tokens: n}); err != nil {
			t.Fatal(err)
		}
	}
	for range peers {
		b.next(t)
	}
	perPeer := (memoryInUse() - before) / peers
	t.Logf("bytes_per_peer=%d (both ends) peers=%d bytes=%d", perPeer, peers, perPeer*peers)
	if perPeer > 40<<10 {
		t.Errorf("a link and its receiving end use %d bytes, want at most %d", perPeer, 40<<10)
	}
}

// BenchmarkMessage measures one message from Send to its handler over loopback TCP. Each message
// is written separately; cpu-ns/message covers both ends.
func BenchmarkMessage(b *testing.B) {
	from, to := newTestTransport(b, "from"), newTestTransport(b, "to")
	m := samples()[0].msg
	start := cpuTime(b)
	for b.Loop() {
		if err := from.Send("to", to.Address(), m); err != nil {
			b.Fatal(err)
		}
		<-to.received
	}
	b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N), "cpu-ns/message")
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
