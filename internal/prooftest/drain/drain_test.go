// Package drain_test tests, end to end over a demo fleet, that a graceful
// shutdown interrupts no request.
package drain_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/demo"
	"mulberrylug.example/mulberrylug/internal/standin/engine"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// waitTimeout limits each wait for a condition. It leaves room for a busy test
// machine and is not a guarantee of the system.
const waitTimeout = 60 * time.Second

// startFleet starts a fleet whose callers keep the list of entries for one second
// and whose engines take about three seconds for a generation.
func startFleet(t *testing.T) *demo.Fleet {
	t.Helper()
	return startFleetOf(t, engine.Settings{Step: 10 * time.Millisecond, Median: 300, Sigma: 0.05})
}

func startFleetOf(t *testing.T, s engine.Settings) *demo.Fleet {
	t.Helper()
	o := demo.FleetOptions{Instances: 3, Engines: 2, Services: 1, Engine: s}
	text := strings.Replace(demo.Configuration(o), "entry_ttl: 2s", "entry_ttl: 1s", 1)
	o.Configuration = []config.File{{Name: "demo.yaml", Data: []byte(text)}}
	f, err := demo.StartFleet(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// load is a set of callers that send one request after another until stop is
// closed. It records each request that failed or that had to resume on another
// connection.
type load struct {
	wg      sync.WaitGroup
	stop    chan struct{}
	streams atomic.Int64
	calls   atomic.Int64

	mu          sync.Mutex
	interrupted []string
}

func startLoad(f *demo.Fleet, streamers, bookers int) *load {
	l := &load{stop: make(chan struct{})}
	for n := range streamers {
		c := client.New(client.Options{Seeds: f.Seeds(), APIKey: demo.APIKey, Retries: 5})
		l.repeat(func(k int) { l.stream(c, fmt.Sprintf("caller %d asks %d", n, k)) })
	}
	for n := range bookers {
		c := client.New(client.Options{Seeds: f.Seeds(), APIKey: demo.APIKey, Retries: 5})
		l.repeat(func(k int) { l.call(c, fmt.Sprintf("key-%d-%d", n, k)) })
	}
	return l
}

func (l *load) repeat(do func(k int)) {
	l.wg.Go(func() {
		for k := 0; ; k++ {
			select {
			case <-l.stop:
				return
			default:
				do(k)
			}
		}
	})
}

func (l *load) stream(c *client.Client, prompt string) {
	res, err := c.Stream(context.Background(), client.Completion{Model: "dispatch-7b", Prompt: prompt, MaxTokens: 1024}, nil)
	l.streams.Add(1)
	if err != nil || res.Resumes > 0 {
		l.recordInterruption(fmt.Sprintf("stream %q: error = %v, resumes = %d; want nil and 0", prompt, err, res.Resumes))
	}
}

func (l *load) call(c *client.Client, key string) {
	call := client.Call{Service: "order-desk", Path: "/refill", Body: []byte(`{}`), Key: key, NotRepeatable: true}
	_, err := c.Do(context.Background(), call)
	l.calls.Add(1)
	if err != nil {
		l.recordInterruption(fmt.Sprintf("booking %s: error = %v, want nil", key, err))
	}
	time.Sleep(20 * time.Millisecond)
}

func (l *load) recordInterruption(message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interrupted = append(l.interrupted, message)
}

func (l *load) waitAndCheck(t *testing.T, f *demo.Fleet) {
	t.Helper()
	l.wg.Wait()
	t.Logf("streams=%d bookings=%d interrupted=%d", l.streams.Load(), l.calls.Load(), len(l.interrupted))
	for _, message := range l.interrupted {
		t.Error(message)
	}
	for _, e := range f.Engines {
		for _, r := range e.Records() {
			if !r.Complete {
				t.Errorf("%s: generation %s ended early after %d tokens, want it complete", e.Name, r.Attempt, r.Tokens)
			}
		}
	}
}

func drain(t *testing.T, i *demo.Instance) {
	t.Helper()
	i.Drain()
	select {
	case <-i.Exited():
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit within %s after Drain", i.Name, waitTimeout)
	}
}

// All instances are replaced one after another while callers make bookings and read
// streams of three seconds. Callers keep the address of a leaving instance for one
// second. Every stream must end on the connection on which it began.
func TestPromise6RollUnderLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	l := startLoad(f, 12, 3)
	for n := range 3 {
		if err := f.AddInstance(fmt.Sprintf("new-%d", n+1)); err != nil {
			t.Fatal(err)
		}
		i := f.Instances[len(f.Instances)-1]
		testkit.Eventually(t, waitTimeout, i.Name+" is ready", func() bool {
			st, err := i.Status(context.Background())
			return err == nil && st.Ready
		})
		drain(t, f.Instances[n])
	}
	close(l.stop)
	l.waitAndCheck(t, f)
}

// An instance drains while the table is down. Its streams take nine seconds, which
// is longer than callers keep the instance's address and longer than the instance
// waits for a lagging list. The streams must continue to their end within the part
// of the limit that is already debited, and the instance must exit only then.
func TestPromise6DrainWhileTableIsDown(t *testing.T) {
	t.Parallel()
	f := startFleetOf(t, engine.Settings{Step: 30 * time.Millisecond, Median: 300, Sigma: 0.01})
	l := startLoad(f, 6, 0)
	testkit.Eventually(t, waitTimeout, "the instance has running streams", func() bool {
		st, err := f.Instances[0].Status(context.Background())
		return err == nil && st.Requests > 0
	})
	f.Platform.SetFaults(platform.Faults{Down: true})
	close(l.stop) // each caller ends after its present stream
	drain(t, f.Instances[0])
	f.Platform.SetFaults(platform.Faults{})
	l.waitAndCheck(t, f)
}

// The instance list lags by five seconds, so that it still contains the leaving
// instance while callers keep their entries for one second only. The leaving
// instance must announce to its peers itself that it leaves, so that no instance
// lists it as an entry, and it must still serve callers that connect late.
func TestPromise6ListLagsBehindADrain(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	leaving := f.Instances[0]
	const lag = 5 * time.Second
	time.Sleep(lag + time.Second) // the list as it was 5 s ago must already contain every instance
	f.Platform.SetFaults(platform.Faults{ListLag: lag})
	leaving.Drain()
	for _, i := range f.Instances {
		testkit.Eventually(t, waitTimeout, i.Name+" lists only the other two instances as entries", func() bool {
			e, err := i.Entries(context.Background(), "")
			return err == nil && len(e.Addresses) == 2 && !strings.Contains(strings.Join(e.Addresses, " "), leaving.CallerAddress())
		})
	}
	late := client.New(client.Options{Seeds: []string{leaving.CallerAddress()}, APIKey: demo.APIKey, Retries: 3})
	res, err := late.Stream(context.Background(), client.Completion{Model: "dispatch-7b", Prompt: "late", MaxTokens: 1024}, nil)
	if err != nil || res.Resumes > 0 {
		t.Errorf("stream from a late caller: error = %v, resumes = %d; want nil and 0", err, res.Resumes)
	}
	time.Sleep(2 * time.Second) // longer than callers keep their entries
	for _, i := range f.Instances[1:] {
		e, err := i.Entries(context.Background(), "")
		if err != nil || strings.Contains(strings.Join(e.Addresses, " "), leaving.CallerAddress()) {
			t.Errorf("%s lists entries %v, error %v; want a list without the leaving instance and no error", i.Name, e.Addresses, err)
		}
	}
}
