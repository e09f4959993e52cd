package proctest

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/client"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
)

// All instances are replaced one after another under load, as in an upgrade. No stream may be
// broken off.
func TestPromise6RollingRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	stop := make(chan struct{})
	busy := l.startTraffic(stop)
	l.waitForFirstTokens(10)
	for n := range d.instances {
		d.instances[n].drain(t)
		d.instances[n] = d.startInstance(t, fmt.Sprintf("entry-%d-new", n+1))
		d.waitReady(t)
	}
	close(stop)
	<-busy
	results := l.wait()
	resumes := checkResults(t, d, results)
	requireDone(t, results)
	t.Logf("answers=%d resumes=%d", len(results), resumes)
	if resumes != 0 {
		t.Errorf("%d streams were broken off by the restarts, want 0", resumes)
	}
}

// Callers stream generations and make bookings through the public client, with every part in a
// separate process. All of them must succeed.
func TestProcessServesStreamsAndBookings(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	const each = 15
	for n := range each {
		l.stream(n)
		l.book(fmt.Sprintf("refill-%d", n))
	}
	results := l.wait()
	checkResults(t, d, results)
	requireDone(t, results)
	if got := len(d.callCounts(t)); got != each {
		t.Errorf("the service ran bookings with %d different keys, want %d", got, each)
	}
}

// The entry of some streams receives SIGKILL. Its callers reconnect to another instance with their
// last event id and resume the same generation, because the handle in that id names the generation
// and the next index. Every token must arrive once and in order.
func TestPromise1EntryKilledMidStream(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	const streams = 18
	for n := range streams {
		l.stream(n)
	}
	l.waitForFirstTokens(streams)
	d.instances[0].kill()
	results := l.wait()
	resumes := checkResults(t, d, results)
	requireDone(t, results)
	t.Logf("streams=%d resumes=%d", streams, resumes)
	if resumes == 0 {
		t.Error("no stream was resumed, want at least one: the killed instance served none, so the test checks nothing")
	}
}

// An instance and then an engine are paused during streams and continue later. Callers of the
// instance resume their streams at another instance; callers whose generation runs on the engine
// wait. No token may arrive twice, although the paused processes send buffered tokens when they
// continue.
func TestPromise1FrozenInstanceAndEngine(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	const streams = 18
	for n := range streams {
		l.stream(n)
	}
	l.waitForFirstTokens(streams)
	d.instances[1].freeze(t, 6*time.Second)
	for n := range streams {
		l.stream(streams + n)
	}
	l.waitForFirstTokens(2 * streams)
	d.engines[0].freeze(t, 2*time.Second)
	results := l.wait()
	resumes := checkResults(t, d, results)
	requireDone(t, results)
	t.Logf("streams=%d resumes=%d", 2*streams, resumes)
}

// Instances receive SIGKILL or are paused while callers book. A key must run at most once, and never
// after the outcome not run: only the attempt that inserted the claim into the table may dispatch.
func TestPromise4BookingsWhileInstancesFail(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	const bookings = 150
	for n := range bookings {
		l.book(fmt.Sprintf("die-issue-%d", n))
		switch n {
		case bookings / 3:
			d.instances[0].kill()
		case bookings / 2:
			go d.instances[1].freeze(t, 1500*time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond)
	}
	results := l.wait()
	checkResults(t, d, results)
	counts := map[client.Outcome]int{}
	for _, a := range results {
		counts[a.outcome]++
	}
	t.Logf("bookings=%d outcomes=%v", bookings, counts)
	if counts[client.Done] < bookings/2 {
		t.Errorf("%d of %d bookings are done, want at least half", counts[client.Done], bookings)
	}
}

// startTraffic starts a stream and a booking every 60 ms until stop is closed. The returned channel
// is closed once no more callers are started.
func (l *load) startTraffic(stop <-chan struct{}) (ended chan struct{}) {
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			l.stream(n)
			l.book(fmt.Sprintf("busy-%d", n))
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
		}
	}()
	return ended
}

// An instance receives SIGTERM under load while callers still have its address cached. It leaves
// the lists of instances, serves callers that still connect, and exits with code 0 once no request
// runs. No stream may be broken off.
func TestPromise6DrainUnderLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	stop := make(chan struct{})
	busy := l.startTraffic(stop)
	l.waitForFirstTokens(10)
	d.instances[0].drain(t)
	close(stop)
	<-busy
	results := l.wait()
	resumes := checkResults(t, d, results)
	requireDone(t, results)
	if resumes != 0 {
		t.Errorf("%d streams were broken off by the drain, want 0", resumes)
	}
}

// The store fails and recovers, and then the platform's process is killed. Streams within debited
// chunks continue. A booking during the outage is refused at once as not run, with a time to
// retry, and runs after the outage. An instance can still drain without the platform.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	l.stream(0) // debits a chunk that covers the streams during the outage
	l.book("before")
	l.wait()
	d.setFaults(t, platform.Faults{Down: true})
	withoutRetries := newLoad(t, d)
	withoutRetries.cl = client.New(client.Options{Seeds: []string{d.instances[1].value(t, "caller_address")}, APIKey: "demo-key"})
	withoutRetries.book("during")
	withoutRetries.wait()
	var p *client.Problem
	if got := withoutRetries.results[0]; !errors.As(got.err, &p) || p.Outcome != client.NotRun || p.RetryAfter == 0 {
		t.Errorf("booking during the outage: error %v, want not run and a time to retry", got.err)
	}
	for n := range 6 {
		l.stream(1 + n)
	}
	l.wait()
	d.setFaults(t, platform.Faults{})
	l.book("after")
	l.wait()
	d.platform.kill()
	l.stream(10)
	l.wait()
	checkResults(t, d, append(l.results, withoutRetries.results...))
	requireDone(t, l.results)
	d.instances[2].drain(t)
}

// Every log event must be one line of key=value pairs, and any instance must be able to explain a
// request id found in a log.
func TestProcessLogsAndExplains(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	l.stream(0)
	results := l.wait()
	requireDone(t, results)
	id := results[0].result.RequestID
	for _, p := range d.instances {
		var lines []string
		if err := getJSON("http://"+p.value(t, "operator_address")+"/v1/explain/"+id, &lines); err != nil || len(lines) < 3 {
			t.Errorf("%s explains %s with %q, error %v; want at least 3 lines", p.name, id, lines, err)
		}
		if err := p.signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	owner, _, _ := strings.Cut(id, ":")
	for _, p := range d.instances {
		<-p.ended
		for _, line := range strings.Split(strings.TrimSpace(p.output()), "\n") {
			if !strings.HasPrefix(line, "time=") || !strings.Contains(line, " event=") || strings.Count(line, " request=") > 1 {
				t.Errorf("%s: log line %q, want one event of key=value pairs that begins with time=", p.name, line)
			}
		}
		if p.name == owner && !strings.Contains(p.output(), "request="+id+" outcome=done") {
			t.Errorf("%s logged no line with outcome done for %s, want one", p.name, id)
		}
	}
}
