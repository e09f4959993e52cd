package hosted_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// silentNet makes connections to upstreams, of which some are silent. A lost request for a connection is sent again
// after a second, so that a dial that begins in a silence fails.
type silentNet struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (n *silentNet) silent(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.until[address])
}

func (n *silentNet) fall(k *hosting.Worker, d time.Duration) {
	n.mu.Lock()
	n.until[k.Address()] = time.Now().Add(d)
	n.mu.Unlock()
	k.Stall(d)
}

func (n *silentNet) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.silent(address) {
		select {
		case <-time.After(conn.DialTimeout):
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return conn.Dialer().DialContext(ctx, "tcp", address)
}

// popularLookUp sends the same look-up as all others and returns its status, 0 without a response.
func (f *fleetRig) popularLookUp(k int) int {
	c, err := testkit.DialSlow(f.machines[k].Callers)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := io.WriteString(c, "GET "+hosting.PathLookUp+"popular HTTP/1.1\r\nHost: "+hosting.Host+"\r\nCredential: "+hosting.Key+
		"\r\nAttempt-Id: "+nextID()+"\r\nDeadline-Ms: 3000\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Sound upstreams of a plain service are silent for 1.2 s one after the other. A frequent look-up that they were
// running must not count as one that crashes upstreams.
func TestSilencesOfSoundUpstreamsAreNoCrashes(t *testing.T) {
	t.Parallel()
	n := &silentNet{until: map[string]time.Time{}}
	f := startFleetRig(t, 0, func(f *fleetRig, zone string) {
		f.addUpstreams(t, zone, func(w *hosting.Worker) { w.Work = 30 * time.Millisecond })
	})
	for k := range 3 {
		f.addInstanceThrough(t, fmt.Sprintf("entry-%d", k), "zone-a", n.dial)
	}
	for k := range f.machines {
		testkit.Eventually(t, testTimeout, "serves", func() bool { return f.book(k) == http.StatusOK && f.popularLookUp(k) == http.StatusOK })
	}
	var mu sync.Mutex
	count := map[int]int{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for k := range 12 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				s := f.popularLookUp(k % 3)
				mu.Lock()
				count[s]++
				mu.Unlock()
			}
		})
	}
	silences := 0
	for _, k := range f.Workers() {
		if strings.HasPrefix(k.ID, "desk") && silences < 3 {
			silences++
			time.Sleep(500 * time.Millisecond)
			n.fall(k, 1500*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	for _, l := range f.logs {
		for _, text := range []string{" strike: ", "reason=crashes_upstreams"} {
			if l.has(text) {
				t.Errorf("a log has %q: silences of sound upstreams count as crashes; statuses %v", text, count)
			}
		}
	}
}
