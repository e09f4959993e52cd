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

// All instances are replaced one after another under load, as an upgrade does.
// No caller sees a cut.
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
	answers := l.wait()
	resumes := checkAnswers(t, d, answers)
	requireDone(t, answers)
	t.Logf("answers=%d resumes=%d", len(answers), resumes)
	if resumes != 0 {
		t.Errorf("%d streams were cut by the restarts", resumes)
	}
}

// The whole path in separate processes: callers stream answers and book through
// the public client, and all of it is done.
func TestProcessServesStreamsAndBookings(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	const each = 15
	for n := range each {
		l.stream(n)
		l.book(fmt.Sprintf("refill-%d", n))
	}
	answers := l.wait()
	checkAnswers(t, d, answers)
	requireDone(t, answers)
	if got := len(d.callCounts(t)); got != each {
		t.Errorf("the service ran %d keys, want %d", got, each)
	}
}

// Callers read streams when their entry gets kill -9. They see a pause: the
// connection ends, they come back at another instance with their last event id,
// which reads the same generation on at the engine. Every token arrives once
// and in order, as the handle names the generation and the next index.
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
	answers := l.wait()
	resumes := checkAnswers(t, d, answers)
	requireDone(t, answers)
	t.Logf("streams=%d resumes=%d", streams, resumes)
	if resumes == 0 {
		t.Error("no stream was resumed: the killed instance served none")
	}
}

// An instance and then an engine stand still in the middle of streams, and go
// on as if nothing had been. Callers of the instance read on elsewhere, those
// of the engine wait; nobody gets a token twice, though the frozen ones wake
// with what they were about to send.
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
	answers := l.wait()
	resumes := checkAnswers(t, d, answers)
	requireDone(t, answers)
	t.Logf("streams=%d resumes=%d", 2*streams, resumes)
}

// Instances get kill -9 and freeze while callers book. A key runs at most once
// and never after "not run": the claim in the table is the only permission to
// dispatch, and only the attempt that inserted it has it.
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
	answers := l.wait()
	checkAnswers(t, d, answers)
	counts := map[client.Outcome]int{}
	for _, a := range answers {
		counts[a.outcome]++
	}
	t.Logf("bookings=%d outcomes=%v", bookings, counts)
	if counts[client.Done] < bookings/2 {
		t.Errorf("%d of %d bookings are done, want at least half", counts[client.Done], bookings)
	}
}

// startTraffic starts a caller every few milliseconds until stop is closed.
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

// An instance gets SIGTERM under load while callers still hold its address. It
// leaves the entry answers, goes on serving those who come, and ends with code 0
// once nothing runs: no caller sees a cut.
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
	answers := l.wait()
	resumes := checkAnswers(t, d, answers)
	requireDone(t, answers)
	if resumes != 0 {
		t.Errorf("%d streams were cut by the drain", resumes)
	}
}

// The store goes down, comes back, and then the platform's process dies for
// good. Streams within what is debited go on; a booking is told at once that it
// did not run and when to come back, and is run after the outage; an instance
// still drains without the platform.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	l.stream(0) // debits a chunk
	l.book("before")
	l.wait()
	d.setFaults(t, platform.Faults{Down: true})
	impatient := newLoad(t, d)
	impatient.cl = client.New(client.Options{Seeds: []string{d.instances[1].value(t, "caller_address")}, APIKey: "demo-key"})
	impatient.book("during")
	impatient.wait()
	var p *client.Problem
	if got := impatient.answers[0]; !errors.As(got.err, &p) || p.Outcome != client.NotRun || p.RetryAfter == 0 {
		t.Errorf("a booking during the outage: %v, want not run and when to come back", got.err)
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
	checkAnswers(t, d, append(l.answers, impatient.answers...))
	requireDone(t, l.answers)
	d.instances[2].drain(t)
}

// Every event is one line of key=value pairs, and the ids in them can be
// explained at any instance.
func TestProcessLogsAndExplains(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	l := newLoad(t, d)
	l.stream(0)
	answers := l.wait()
	requireDone(t, answers)
	id := answers[0].result.RequestID
	for _, p := range d.instances {
		var lines []string
		if err := getJSON("http://"+p.value(t, "operator_address")+"/v1/explain/"+id, &lines); err != nil || len(lines) < 3 {
			t.Errorf("%s explains %s with %q, %v", p.name, id, lines, err)
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
				t.Errorf("%s: log line %q", p.name, line)
			}
		}
		if p.name == owner && !strings.Contains(p.output(), "request="+id+" outcome=done") {
			t.Errorf("%s logged no line for %s", p.name, id)
		}
	}
}
