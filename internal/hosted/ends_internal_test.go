package hosted

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// namingWire decodes nothing but a request's id.
type namingWire struct{ copyNothing }

func (namingWire) Request(r *http.Request) forward.Request {
	return forward.Request{ID: r.Header.Get("Attempt-Id"), Path: r.URL.Path}
}

// count returns the counter of a label in a group.
func count(m *metrics.Metrics, group, label string) string {
	rec := httptest.NewRecorder()
	m.ServeHTTP(rec, nil)
	_, rest, _ := strings.Cut(rec.Body.String(), fmt.Sprintf("%q: {", group))
	rest, _, _ = strings.Cut(rest, "}")
	_, rest, _ = strings.Cut(rest, fmt.Sprintf("%q: ", label))
	n, _, _ := strings.Cut(rest, ",")
	return n
}

// A handler that panics closes its caller's connection. Without a line and a counter, such a request could not be
// distinguished from one that never arrived.
func TestAPanicOfAHandlerIsLogged(t *testing.T) {
	var out bytes.Buffer
	m := metrics.NewMetrics()
	log := hclog.New(&hclog.LoggerOptions{Output: &out})
	// Without a gate, admission dereferences nil.
	s := &server{wire: namingWire{}, metrics: m, log: log, memory: newMemoryAccount(0, m, log)}
	h := httptest.NewUnstartedServer(s)
	h.Config.ErrorLog = newServerLog("callers", log, m)
	h.Start()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.URL+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Attempt-Id", "p1")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
		t.Errorf("status %d, want the connection closed", resp.StatusCode)
	}
	h.Close()
	for _, want := range []string{"request=p1", "outcome=panicked", "reason=panic", "nil pointer", "forward.(*Gate).Admit@admit.go:"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %q:\n%s", want, out.String())
		}
	}
	if strings.Count(out.String(), "\n") != 1 {
		t.Errorf("logged, want one line:\n%s", out.String())
	}
	if n := count(m, "incomplete_responses_total", "panic"); n != "1" {
		t.Errorf("counted %q, want 1", n)
	}
}

// The HTTP servers report what goes wrong outside of handlers to their error log. Without it, the messages would
// stand between the lines of the log, without a form and a bound.
func TestMessagesOfHTTPServersAreLogged(t *testing.T) {
	var out bytes.Buffer
	m := metrics.NewMetrics()
	l := newServerLog("callers", hclog.New(&hclog.LoggerOptions{Output: &out}), m)
	l.Printf("http: panic serving 127.0.0.1:1: x\ngoroutine 7 [running]:\n%s", strings.Repeat("y", 9000))
	l.Print(strings.Repeat("z", 9000))
	if text := out.String(); strings.Count(text, "\n") != 2 || len(text) > 2*maxServerMessage+400 ||
		!strings.Contains(text, `http_server: listener=callers message="http: panic serving 127.0.0.1:1: x"`) {
		t.Errorf("logged, want two bounded lines:\n%s", text)
	}
	if n := count(m, "http_server_messages_total", "callers"); n != "2" {
		t.Errorf("counted %q, want 2", n)
	}
}

// The ends of a response whose head was delivered. Under one reason, a connection that this instance closed itself
// could not be distinguished from one that the upstream broke off.
func TestReasonsOfCutResponses(t *testing.T) {
	wrapped := func(err error) error {
		return fmt.Errorf("read stream after 3 events: %w", &net.OpError{Op: "read", Err: err})
	}
	closed := make(chan struct{})
	close(closed)
	for _, c := range []struct {
		x      *exchange
		why    forward.Reason
		want   endReason
		atWork string
	}{
		{&exchange{outcome: forward.Cut, lastErr: wrapped(io.ErrUnexpectedEOF)}, forward.Unrepeatable, endUpstreamBrokeOff, "no"},
		{&exchange{outcome: forward.Cut, lastErr: wrapped(syscall.ECONNRESET)}, forward.Unrepeatable, endUpstreamBrokeOff, "no"},
		{&exchange{outcome: forward.Cut, lastErr: wrapped(syscall.ETIMEDOUT)}, forward.Unrepeatable, endUpstreamUnreachable, "unknown"},
		{&exchange{outcome: forward.Cut, lastErr: wrapped(net.ErrClosed)}, forward.Unrepeatable, endAttemptClosed, "unknown"},
		{&exchange{outcome: forward.Cut, lastErr: wrapped(net.ErrClosed), moving: true}, forward.Unrepeatable, endMoving, "unknown"},
		{&exchange{outcome: forward.Cut, lastErr: wrapped(errEventTooLarge)}, forward.Unrepeatable, endEventTooLarge, "no"},
		{&exchange{outcome: forward.Cut, lastErr: wrapped(net.ErrClosed), convicted: closed}, forward.Crashes, endConvicted, "yes"},
		{&exchange{outcome: forward.Cancelled, lastErr: wrapped(net.ErrClosed)}, forward.OutOfTime, endOutOfTime, "yes"},
		{&exchange{outcome: forward.Cancelled, lastErr: wrapped(net.ErrClosed)}, forward.TooLarge, endBodyTooLong, "yes"},
	} {
		if c.x.convicted == nil {
			c.x.convicted = make(chan struct{})
		}
		got := c.x.cutReason(forward.Step{Abort: true, Why: c.why})
		if atWork := c.x.upstreamAtWork(got); got != c.want || atWork != c.atWork {
			t.Errorf("%s, %v, why %s: reason %s, upstream at work %s; want %s, %s", c.x.outcome, c.x.lastErr, c.why, got, atWork, c.want, c.atWork)
		}
	}
}

// The body of a request becomes too long while its response is still buffered for a slow caller. The log must not say that
// the process ended.
func TestReasonOfAResponseWhoseRequestIsTooLong(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errBodyTooLong)
	x := &exchange{ctx: ctx, outcome: forward.Done}
	if got := x.deadlineReason(); got != endBodyTooLong {
		t.Errorf("reason %s, want %s", got, endBodyTooLong)
	}
}

// An engine sends events without numbers, none of which follows the one before. With a line for each event its streams
// fill the log.
func TestEventsOutOfOrderAreLoggedOncePerAttempt(t *testing.T) {
	var out bytes.Buffer
	s := &server{metrics: metrics.NewMetrics(), log: hclog.New(&hclog.LoggerOptions{Output: &out})}
	x := &exchange{server: s, call: &forward.Call{Request: forward.Request{ID: "r"}, Events: 1}}
	for range 100 {
		if err := x.checkOrder(""); err != nil {
			t.Fatal(err)
		}
	}
	if n := strings.Count(out.String(), "event_out_of_order"); n != 1 {
		t.Errorf("%d lines for 100 events of one attempt, want 1", n)
	}
	if n := count(s.metrics, "events_out_of_order_total", "unnumbered"); n != "100" {
		t.Errorf("%s events were counted, want 100", n)
	}
}

// The ends of callers' connections. A caller whose connection was lost on the way, or closed by this process, must
// not look like one that has left.
func TestReasonsOfCallersConnections(t *testing.T) {
	for _, c := range []struct {
		err  error
		want endReason
	}{
		{io.EOF, endCallerClosed},
		{io.ErrUnexpectedEOF, endCallerClosed},
		{&net.OpError{Op: "write", Err: syscall.EPIPE}, endCallerClosed},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, endCallerReset},
		{&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, endCallerUnreachable},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, endProcess},
		{fmt.Errorf("%w: %w", errReadsNothing, context.DeadlineExceeded), endCallerReadsNothing},
		{errors.New("malformed chunked encoding"), ""},
	} {
		if got := connReason(c.err); got != c.want {
			t.Errorf("%v: %q, want %q", c.err, got, c.want)
		}
	}
}

// The kernel gives up a caller's connection and reports that to the read in progress, whose goroutine runs later than the
// one of the write, which fails with EPIPE. The request must not be logged as that of a caller that has closed its connection.
func TestTheReadTellsWhyAWriteHasFailed(t *testing.T) {
	for _, cause := range []error{syscall.ETIMEDOUT, syscall.ECONNRESET, nil} {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		c := newCallerConn(ours, noMemoryLimit{})
		defer ours.Close()
		c.paused.Store(true)
		x := &exchange{server: &server{metrics: metrics.NewMetrics()}, w: httptest.NewRecorder(), ctx: t.Context(), call: &forward.Call{Route: &route.Route{}}, writeErr: &net.OpError{Op: "write", Err: syscall.EPIPE}}
		x.r = httptest.NewRequest(http.MethodGet, "/", nil).WithContext(conn.WithServerConn(t.Context(), c))
		x.out = newOutput(x, true)
		want := map[error]endReason{syscall.ETIMEDOUT: endCallerReadsNothing, syscall.ECONNRESET: endCallerReset, nil: endCallerClosed}[cause]
		if cause != nil {
			time.AfterFunc(20*time.Millisecond, func() { c.noteReadError(&net.OpError{Op: "read", Err: cause}) })
		}
		began := time.Now()
		if got, err := x.callerReason(); got != want || time.Since(began) > time.Second {
			t.Errorf("%v: reason %s (%v) after %v, want %s", cause, got, err, time.Since(began), want)
		}
	}
}

// noMemoryLimit is a conn.Memory without a limit.
type noMemoryLimit struct{}

func (noMemoryLimit) Reserve(int) bool { return true }
func (noMemoryLimit) Release(int)      {}

// The write of a response that has arrived completely fails, because its caller reads nothing. It must not count as
// answered.
func TestAResponseThatIsNotWrittenIsNotDone(t *testing.T) {
	var out bytes.Buffer
	m := metrics.NewMetrics()
	s := &server{gate: forward.New(forward.Options{}), metrics: m, log: hclog.New(&hclog.LoggerOptions{Output: &out})}
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	x := &exchange{
		server: s, w: httptest.NewRecorder(), r: r, ctx: t.Context(), outcome: forward.Done, writeErr: errReadsNothing,
		call: &forward.Call{Request: forward.Request{ID: "r1"}, Route: &route.Route{}, Deadline: boottime.Now().Add(time.Minute)},
	}
	x.out = newOutput(x, true)
	defer func() {
		if cause := recover(); cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares in the same way
			t.Errorf("the handler ended with %v, want the connection aborted", cause)
		}
		if !strings.Contains(out.String(), "outcome=caller_left") || !strings.Contains(out.String(), "reason=caller_reads_nothing") {
			t.Errorf("logged %s", out.String())
		}
	}()
	x.end(forward.Step{End: true})
}

// A process ends while more requests are in progress than are logged one by one. The lines must fit the queue of
// the log, and the number of all requests must be stated, also of those that are not admitted yet.
func TestUnfinishedRequestsAreLoggedInBounds(t *testing.T) {
	var out bytes.Buffer
	s := &server{gate: forward.New(forward.Options{}), log: hclog.New(&hclog.LoggerOptions{Output: &out}), running: map[string]*exchange{}}
	s.logUnfinished()
	if out.Len() > 0 {
		t.Errorf("logged without a request in progress:\n%s", out.String())
	}
	now := boottime.Now()
	for k := range 2 * maxUnfinishedLines {
		id := fmt.Sprintf("r%03d", k)
		s.running[id] = &exchange{call: &forward.Call{
			Request: forward.Request{ID: id}, Route: &route.Route{Name: "brief"}, Arrived: now.Add(time.Duration(k) * time.Millisecond), Deadline: now.Add(time.Minute),
		}}
	}
	s.handling.Store(2*maxUnfinishedLines + 3)
	s.logUnfinished()
	text := out.String()
	if n := strings.Count(text, "request_unfinished:"); n != maxUnfinishedLines {
		t.Errorf("%d lines, want %d", n, maxUnfinishedLines)
	}
	if !strings.Contains(text, "request=r000 reason=process_ends route=brief") || strings.Contains(text, "request=r199") {
		t.Error("the oldest requests are not the ones that are logged")
	}
	if want := fmt.Sprintf("requests_unfinished: count=%d not_admitted=3 logged=%d", 2*maxUnfinishedLines+3, maxUnfinishedLines); !strings.Contains(text, want) {
		t.Errorf("the log lacks %q", want)
	}
}

// The head of a stream is forwarded after its parts were found convicted and before its connection is closed. A stream
// that an upstream has begun to answer must go on: the caller would lose it without an answer.
func TestAnAnswerThatHasBegunIsNotStoppedAsConvicted(t *testing.T) {
	s := &server{gate: forward.New(forward.Options{}), metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), running: map[string]*exchange{}}
	x := &exchange{server: s, convicted: make(chan struct{}), headSent: true, call: &forward.Call{Route: &route.Route{Generation: true}}}
	x.stopConvicted() // as enforce does once it has released the lock under which it saw no event
	if x.isConvicted() {
		t.Error("the answer that has begun is stopped, want it to go on")
	}
}

// failingListener fails its first Accept as the kernel does for lack of memory.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// Accept fails once for lack of kernel memory. The listener must accept callers afterwards; otherwise the instance counts
// as ready and no caller can connect.
func TestAListenerServesAfterAnErrorOfAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &httpService{name: "callers", listener: &failingListener{Listener: ln}, server: &http.Server{
		Handler: http.NotFoundHandler(), ErrorLog: newServerLog("callers", hclog.NewNullLogger(), metrics.NewMetrics()),
	}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(ctx) }()
	resp, err := http.Get("http://" + ln.Addr().String() + "/")
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("response %v, error %v; want one of the handler", resp, err)
	}
	cancel()
	<-ended
}

// An attempt whose connection has ended is not recorded as ended while it is found out why. Its upstream must not be
// queried about it: the answer would stop a generation that is about to be repeated, or move one that no caller reads.
func TestAnEndedAttemptIsNotQueried(t *testing.T) {
	g := forward.New(forward.Options{})
	g.Adopt(route.NewTable(route.Config{
		Version:  1,
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Stream, Generation: true, Timeout: time.Minute, MaxAttempts: 1, Targets: []route.Target{{Service: "pool", Weight: 1}}, Public: true}},
		Services: []route.Service{{Name: "pool", Engine: &route.Engine{}}},
	}))
	now := boottime.Now()
	g.SetCordons(now, cordon.NewSet(1, nil))
	g.Confirm(now)
	u := roster.Entry{ID: "u0", Service: "pool", Address: "u0:80", Software: "v1"}
	g.Roster().Update(now, []roster.Change{{ID: "u0", Version: 1, Valid: true, Entry: u}}, 1)
	c, refusal := g.Admit(now, forward.Request{ID: "r1", Host: "h", Path: "/", Replayable: true})
	if refusal != nil {
		t.Fatal(refusal)
	}
	g.HomeTimedOut(now.Add(-time.Minute), c)
	queried := make(chan struct{}, 1)
	s := &server{gate: g, metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), running: map[string]*exchange{}, conns: conn.NewPool()}
	s.wire = queriedWire{queried: queried}
	s.running["r1"] = &exchange{server: s, call: c}
	s.checkSilentStreams(t.Context())
	select {
	case <-queried:
		t.Error("the upstream of an attempt without a connection is queried")
	case <-time.After(100 * time.Millisecond):
	}
}

// A process has the list of upstreams and not yet a configuration, and is asked for a tunnel. It must not end, and the
// tunnel must tolerate silences, as the upstream may be an engine.
func TestATunnelIsServedBeforeAConfiguration(t *testing.T) {
	g := forward.New(forward.Options{})
	u := roster.Entry{ID: "u0", Service: "pool", Address: "u0:80"}
	g.Roster().Update(boottime.Now(), []roster.Change{{ID: "u0", Version: 1, Valid: true, Entry: u}}, 1)
	if !newTunnels(&server{gate: g}, nil, 0).isWatched(msg.TunnelRequest{Upstream: "u0"}) {
		t.Error("the tunnel does not tolerate silences")
	}
	if g.Reports("pool") {
		t.Error("a service of no configuration is one of engines that report")
	}
}

// queriedWire tells that a report is requested.
type queriedWire struct {
	namingWire
	queried chan struct{}
}

func (w queriedWire) ReportCall() UpstreamCall {
	w.queried <- struct{}{}
	return UpstreamCall{Method: http.MethodGet, Target: "/"}
}

// The deadline passes in the moment in which a response is complete, and aborts the writes of its connection, or the
// body of the request was not read to its end. The next response could not be written, or what follows is no request:
// it must not be handled, also if net/http has read it already.
func TestAnAbortedConnectionIsNotUsedAgain(t *testing.T) {
	for name, end := range map[string]func(*callerConn){"kept": func(*callerConn) {}, "aborted": (*callerConn).abort, "stopped": (*callerConn).stopReading} {
		ours, theirs := net.Pipe()
		c := newCallerConn(ours, purposeMemory{})
		end(c)
		trackHeads(c, http.StateIdle)
		_ = theirs.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // fails only on a closed connection
		if _, err := theirs.Read(make([]byte, 1)); errors.Is(err, io.EOF) != (name != "kept") {
			t.Errorf("%s: read: %v, want the connection closed unless it is kept", name, err)
		}
		c.Close()
		if name == "kept" {
			continue
		}
		func() {
			defer func() {
				if cause := recover(); cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares in the same way
					t.Errorf("%s: a further request ended with %v, want it aborted", name, cause)
				}
			}()
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			(&server{}).ServeHTTP(httptest.NewRecorder(), r.WithContext(conn.WithServerConn(t.Context(), c)))
		}()
	}
}

// The times that pass one after the other from the signal to stop to the last answer must end before the kill, also
// if the process has a share of a core and stands still twice for the rest of its quota: before it handles the signal
// and before it checks whether the drain is over.
func TestTheLastAnswersArriveBeforeTheKill(t *testing.T) {
	const quotaPeriod = 100 * time.Millisecond
	answers := drainCheckInterval + completionTime + flushTime
	if late := answers + 2*quotaPeriod; late > drainMargin {
		t.Errorf("the last answers may take %v, want at most %v", late, drainMargin)
	}
	if exit := answers + ExitTime; exit > drainMargin {
		t.Errorf("the exit may take %v, want at most %v", exit, drainMargin)
	}
}

// A response to a caller of HTTP/1.0 is broken off before the body of its request was read to its end. The connection, which
// is otherwise closed in order so that the response arrives, must be reset: the response has no other sign of its end.
func TestABrokenResponseIsResetBeforeTheEndOfTheBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{ConnContext: conn.WithServerConn, Handler: conn.ResetIncomplete(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := newBody(r)
		defer b.finish(callerConnOf(r.Context()))
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex() // HTTP/1.0 has none
		_, _ = io.WriteString(w, "id: 1\ndata: half\n\n")
		_ = rc.Flush() // after an error the caller receives less
		panic(http.ErrAbortHandler)
	}))}
	account := newMemoryAccount(0, metrics.NewMetrics(), hclog.NewNullLogger())
	go func() { _ = srv.Serve(callerListener{Listener: ln, memory: purposeMemory{account, memory.Heads}}) }() // returns after Close
	defer srv.Close()
	for _, length := range []int{0, 1 << 20} {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", min(length, 1000)))
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second)) // fails only on a closed connection
		if got, err := io.ReadAll(c); err == nil {
			t.Errorf("body of %d bytes: the caller received %q and no error, want the connection reset", length, got)
		}
		c.Close()
	}
}
