package proctest

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// grace is the grace period in the settings of the fixture, which a reload must not extend once it runs.
const grace = 8 * time.Second

// All instances drain at once, each with a stream that lasts longer than the grace period, and callers go on to
// use their addresses. Every request that an instance reads must get an answer, also those that arrive just
// before its end, and one that is refused must not have run.
func TestHostedNoRequestIsCutAtTheEndOfADrain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, k := range f.pool {
		k.EventEvery, k.EventCount = 100*time.Millisecond, 200
	}
	for _, k := range f.desk {
		k.Work = 150 * time.Millisecond
	}
	for k := range 12 { // until the service time is known
		f.do(f.machines[k%len(f.machines)], booking(fmt.Sprintf("warm-%d", k)))
	}
	var streams, callers sync.WaitGroup
	for k, m := range f.machines {
		streams.Go(func() { f.do(m, generation(fmt.Sprintf("long-%d", k))) })
	}
	time.Sleep(300 * time.Millisecond)
	for _, p := range f.procs {
		send(t, p, syscall.SIGTERM)
	}
	began := time.Now()
	var mu sync.Mutex
	results, served := map[string]result{}, 0
	for n := range 20 {
		callers.Go(func() {
			for k := 0; time.Since(began) < grace+time.Second; k++ {
				id, m := fmt.Sprintf("late-%d-%d", n, k), f.machines[n%len(f.machines)]
				r := f.do(m, booking(id))
				mu.Lock()
				results[id] = r
				if r.status == http.StatusOK && time.Since(began) > grace/2 {
					served++
				}
				mu.Unlock()
				if r.status != http.StatusOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(time.Until(began.Add(grace - 700*time.Millisecond)))
	if got := sendRaw(t, f.machines[0].Callers, bookingHead("kept")+"Content-Length: 0\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nConnection: close\r\n") {
		t.Errorf("the answer near the end of the drain is %q, want a refusal that closes the connection", got)
	}
	callers.Wait()
	streams.Wait()
	arrivals, refused := f.Arrivals(), 0
	for id, r := range results {
		ran := countRuns(arrivals[id])
		switch {
		case r.status == 0 && ran > 0, r.truncated:
			t.Errorf("%s ran and was cut: %v; want an answer", id, r.err)
		case refusedNotRun(r.status):
			refused++
			if ran > 0 {
				t.Errorf("%s ran and got status %d, want no promise that it did not", id, r.status)
			}
			if r.header.Get("Retry-After") == "" {
				t.Errorf("%s: refused with %v, want a Retry-After", id, r.header)
			}
		}
	}
	if served == 0 || refused == 0 {
		t.Errorf("%d of %d requests were served in the second half of the drain and %d refused, want some of both", served, len(results), refused)
	}
	t.Logf("requests=%d served_late=%d refused=%d", len(results), served, refused)
	for _, p := range f.procs {
		p.waitExit(t)
	}
}

// An upstream runs bookings and never responds, and the instance drains. Its callers must get a final answer
// that promises nothing, before the process ends, and not a closed connection.
func TestHostedSilentUpstreamAtTheEndOfADrain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.Configure(func(c map[string]any) {
		for _, r := range c["routes"].([]map[string]any) {
			r["timeout_ms"] = 20_000
		}
	})
	for _, k := range f.desk {
		k.SetFault(hosting.Mute)
	}
	time.Sleep(time.Second) // until the configuration is in force
	const bookings = 5
	done := make(chan result, bookings)
	for k := range bookings {
		c := booking(fmt.Sprintf("mute-%d", k))
		c.timeout = 20 * time.Second
		go func() { done <- f.do(f.machines[0], c) }()
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	send(t, f.procs[0], syscall.SIGTERM)
	for range bookings {
		r := <-done
		if r.status != http.StatusGatewayTimeout || r.truncated {
			t.Errorf("a booking that an upstream holds: %+v, want status 504", r)
		}
		if after := time.Since(began); after < grace-time.Second || after > grace {
			t.Errorf("answered %v after SIGTERM, want the last moment of the grace period of %v", after, grace)
		}
	}
	f.procs[0].waitExit(t)
}

// The settings change while an instance drains. A shorter grace period must end the drain earlier, as the
// platform may already use it; a longer one must not extend it, as the platform may not.
func TestHostedGraceChangesWhileDraining(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, k := range f.pool {
		k.EventEvery, k.EventCount = 100*time.Millisecond, 200
	}
	var streams sync.WaitGroup
	for k, m := range f.machines[:2] {
		streams.Go(func() { f.do(m, generation(fmt.Sprintf("long-%d", k))) })
	}
	time.Sleep(300 * time.Millisecond)
	took := [2]time.Duration{}
	var drains sync.WaitGroup
	for k, changed := range []string{"grace_s: 4", "grace_s: 30"} {
		p, path := f.procs[k], f.machines[k].Settings
		send(t, p, syscall.SIGTERM)
		began := time.Now()
		waitLogged(t, p, "event=draining")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), "grace_s: 8", changed, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		send(t, p, syscall.SIGHUP)
		drains.Go(func() {
			<-p.ended
			took[k] = time.Since(began)
		})
	}
	drains.Wait()
	streams.Wait()
	for k, want := range []time.Duration{4 * time.Second, grace} {
		if took[k] > want || took[k] < want-time.Second {
			t.Errorf("instance %d ended %v after SIGTERM, want between %v and %v", k, took[k], want-time.Second, want)
		}
		f.procs[k].waitExit(t)
	}
}

// All engines are full, and generations wait for a grant when their instance begins to drain. Whether they could
// still end is not known. They must be refused at once, so that they can wait at another instance, and not run.
func TestHostedWaitingGenerationsAreRefusedInADrain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, k := range f.pool {
		k.EventEvery, k.EventCount = 100*time.Millisecond, 200
	}
	large := func(id string) call {
		c := generation(id)
		c.header["Token-Counts"] = "30000,800" // most of an engine's memory
		return c
	}
	var running sync.WaitGroup
	for k := range f.pool {
		running.Go(func() { f.do(f.machines[0], large(fmt.Sprintf("running-%d", k))) })
	}
	time.Sleep(500 * time.Millisecond)
	const waiters = 3
	done := make(chan result, waiters)
	for k := range waiters {
		go func() { done <- f.do(f.machines[0], large(fmt.Sprintf("waiting-%d", k))) }()
	}
	time.Sleep(300 * time.Millisecond)
	send(t, f.procs[0], syscall.SIGTERM)
	began := time.Now()
	for range waiters {
		r := <-done
		if after := time.Since(began); r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || after > time.Second {
			t.Errorf("a generation that waited got %+v %v after SIGTERM, want a refusal at once", r, after)
		}
	}
	for k := range waiters {
		waitLogged(t, f.procs[0], fmt.Sprintf("request=waiting-%d outcome=refused status=503 reason=instance_leaving", k))
		if n := countRuns(f.Arrivals()[fmt.Sprintf("waiting-%d", k)]); n > 0 {
			t.Errorf("waiting-%d ran, want it refused", k)
		}
	}
	f.procs[0].waitExit(t)
	running.Wait()
}

// Bookings wait for permits of upstreams with a low rate limit when their instance begins to drain. Whether they
// could still end is not known. They must be refused at once, and not run.
func TestHostedBookingsWithoutPermitAreRefusedInADrain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.Configure(func(c map[string]any) {
		for _, r := range c["routes"].([]map[string]any) {
			r["timeout_ms"], r["target_latency_ms"] = 20_000, 15_000
		}
	})
	for _, k := range f.desk {
		k.SetLimit(0.5)
	}
	time.Sleep(time.Second)          // until the configuration is in force
	for k := range 2 * len(f.desk) { // until all limits are known
		f.do(f.machines[0], booking(fmt.Sprintf("first-%d", k)))
	}
	const waiters = 12
	done := make(chan result, waiters)
	for k := range waiters {
		c := booking(fmt.Sprintf("waiting-%d", k))
		c.timeout = 20 * time.Second
		go func() { done <- f.do(f.machines[0], c) }()
	}
	time.Sleep(300 * time.Millisecond)
	early := len(done)
	send(t, f.procs[0], syscall.SIGTERM)
	began, refused := time.Now(), 0
	for range waiters {
		r := <-done
		switch after := time.Since(began); {
		case early > 0:
			early--
		case after > time.Second || !refusedNotRun(r.status) && r.status != http.StatusOK:
			t.Errorf("a booking that waited got %+v %v after SIGTERM, want a refusal at once", r, after)
		case r.status == http.StatusServiceUnavailable:
			refused++
		}
	}
	if refused == 0 {
		t.Error("no booking was refused, want those that waited for a permit")
	}
	waitLogged(t, f.procs[0], "reason=instance_leaving")
	for k := range waiters {
		if n := countRuns(f.Arrivals()[fmt.Sprintf("waiting-%d", k)]); n > 1 {
			t.Errorf("waiting-%d ran %d times, want at most once", k, n)
		}
	}
	f.procs[0].waitExit(t)
}

// A stream is in progress at the end of a drain. It must go on for a little longer than requests without a
// response, as one that is almost complete would otherwise be broken off, and still end before the kill.
func TestHostedResponsesGoOnAtTheEndOfADrain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, k := range f.pool {
		k.EventEvery, k.EventCount = 10*time.Millisecond, 2000
	}
	done := make(chan result)
	go func() { done <- f.do(f.machines[0], generation("long")) }()
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	send(t, f.procs[0], syscall.SIGTERM)
	r := <-done
	if after := time.Since(began); !r.truncated || after < grace-350*time.Millisecond || after > grace {
		t.Errorf("a stream was broken off (%v) %v after SIGTERM, want some 0.3 s before the grace period of %v is over", r.truncated, after, grace)
	}
	f.procs[0].waitExit(t)
	if !strings.Contains(f.procs[0].output(), "event=request_ended request=long outcome=cut") {
		t.Error("the end of the stream is not logged, want a line")
	}
}

// Instances end while callers of either version of HTTP read streams and long answers, fast or slowly: at the end of a
// drain, also with further signals during it, and by a kill. What ends before its last event or byte must not look complete.
func TestHostedNoResponseOfAnEndedProcessLooksComplete(t *testing.T) {
	t.Parallel()
	const fast, slow, eventBytes, answerBytes = 1 << 20, 40_000, 2400, 400_000
	f := newFixture(t)
	f.Configure(func(c map[string]any) {
		for _, r := range c["routes"].([]map[string]any) {
			r["timeout_ms"] = 30_000
		}
	})
	events := map[string]int{}
	for k, count := range []int{380, 390, 394, 1000} { // three end about when the drains do
		e := f.pool[k]
		e.EventEvery, e.EventCount, e.EventBytes = 20*time.Millisecond, count, eventBytes
		events[e.ID] = count
	}
	for _, k := range f.desk {
		k.SetEndless(&standin.Endless{
			Head: fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nResponse-Seal: seal-@\r\nContent-Length: %d\r\n\r\n", answerBytes),
			Unit: strings.Repeat("x", answerBytes/50), Every: 180 * time.Millisecond,
		}, answerBytes)
	}
	time.Sleep(time.Second) // until the configuration is in force
	var callers sync.WaitGroup
	var complete, broken atomic.Int64
	for k, m := range f.machines {
		for n, protocol := range []string{"1.0", "1.1", "1.0", "1.1"} {
			rate := []int{fast, slow}[n/2]
			read := func(method, path, id string, whole func() string) {
				body, err := readAt(rate, m.Callers, fmt.Sprintf("%s %sx HTTP/%s\r\nAttempt-Id: %s", method, path, protocol, id))
				switch {
				case err != nil:
					broken.Add(1)
				case body != whole():
					t.Errorf("%s, HTTP/%s: looks complete after %d bytes, which are not all", id, protocol, len(body))
				default:
					complete.Add(1)
				}
			}
			stream, answer := fmt.Sprintf("stream-%d-%d", k, n), fmt.Sprintf("answer-%d-%d", k, n)
			callers.Go(func() {
				read(http.MethodPost, hosting.PathDraft, stream, func() string {
					var b strings.Builder
					for e := range events[f.Arrivals()[stream][0].Worker] {
						b.WriteString(hosting.PaddedEvent(stream, e+1, eventBytes))
					}
					return b.String()
				})
			})
			callers.Go(func() {
				read(http.MethodGet, hosting.PathLookUp, answer, func() string { return strings.Repeat("x", answerBytes) })
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range f.procs[:2] {
		send(t, p, syscall.SIGTERM)
	}
	waitLogged(t, f.procs[1], "event=draining")
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		send(t, f.procs[1], s)
	}
	time.Sleep(2 * time.Second)
	f.procs[2].kill()
	callers.Wait()
	t.Logf("complete=%d broken=%d", complete.Load(), broken.Load())
	if broken.Load() == 0 {
		t.Error("no response was broken off, want some: otherwise the test checks nothing")
	}
}

// readAt sends a request and reads the response at a rate in bytes per second. The error is nil only if the response
// ended as if complete.
func readAt(rate int, address, request string) (body string, err error) {
	c, err := testkit.DialSlow(address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "%s\r\nHost: %s\r\nCredential: %s\r\nToken-Counts: 100,1000\r\nContent-Length: 0\r\n\r\n", request, hosting.Host, hosting.Key); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(testkit.Throttle(c, rate)), nil)
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}
