package hosted_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// slowConnect makes connections to chosen upstreams take some time.
type slowConnect struct {
	delay atomic.Int64
	// begun receives the address of each connection attempt that is delayed.
	begun chan string
}

func (s *slowConnect) dial(ctx context.Context, address string) (net.Conn, error) {
	if d := time.Duration(s.delay.Load()); d > 0 {
		s.begun <- address
		time.Sleep(d)
	}
	return conn.Dialer().DialContext(ctx, "tcp", address)
}

// An upstream begins to leave while a request that chose it still connects. If the choice is not checked again,
// the request reaches it after the instance knows that it leaves, however long connecting takes.
func TestARequestIsNotSentToAnUpstreamThatLeftWhileItConnected(t *testing.T) {
	slow := &slowConnect{begun: make(chan string, 8)}
	w := hosting.NewWorld(t.TempDir())
	t.Cleanup(w.Close)
	w.Configure(nil)
	f := &fleetRig{World: w}
	f.addUpstreams(t, hosting.DefaultZone, func(w *hosting.Worker) { w.Work = 10 * time.Millisecond })
	f.addInstanceThrough(t, "entry", hosting.DefaultZone, slow.dial)
	// No request to the plain service leaves an idle connection.
	testkit.Eventually(t, testTimeout, "the instance serves", func() bool { return f.generate(0) == http.StatusOK })
	slow.delay.Store(int64(500 * time.Millisecond))
	status := make(chan int, 1)
	id := nextID()
	go func() { status <- f.tryAs(id, 0, hosting.PathBooking, "300,10") }()
	chosen := <-slow.begun
	slow.delay.Store(0)
	for _, k := range f.Workers() {
		if k.Address() == chosen {
			k.Withdraw()
		}
	}
	testkit.Eventually(t, testTimeout, "the instance knows of the leaving", func() bool {
		return f.logs[0].has("upstream_leaving")
	})
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d, want 200 of the other upstream", got)
	}
	for _, a := range f.Arrivals()[id] {
		if w := f.worker(a.Worker); w.Address() == chosen {
			t.Errorf("the request reached %s, which the instance knew to leave", a.Worker)
		}
	}
}

func (f *fleetRig) worker(id string) *hosting.Worker {
	for _, w := range f.Workers() {
		if w.ID == id {
			return w
		}
	}
	return nil
}
