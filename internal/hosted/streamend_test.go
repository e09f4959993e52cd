package hosted

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/core/statement"
	"mulberrylug.example/mulberrylug/internal/metrics"
	"mulberrylug.example/mulberrylug/internal/response"
)

// endWire decodes reports that hold nothing but the start of the process.
type endWire struct{ fakeWire }

func (endWire) CopyHeaders(_, _ http.Header, _ bool) {}

func (endWire) AttemptHeaders(http.Header, *forward.Call, *forward.Attempt) http.Header {
	return http.Header{}
}

func (endWire) DecodeResponse(*http.Response, string) Response {
	return Response{Matches: true, Signed: true}
}

func (endWire) DecodeStatement(*http.Response) (s statement.Statement) { return s }

func (endWire) DecodeLoad(*http.Response) (*forward.Report, error) { return nil, nil }

func (endWire) CopyAt(address, handle string) string { return address + "/" + handle }

func (endWire) DropCopy(handle string) UpstreamCall {
	return UpstreamCall{Method: http.MethodDelete, Target: "/copies/" + handle}
}

func (endWire) DecodeReport(body []byte) (r Report, err error) {
	r.Events = map[string]int{}
	return r, json.Unmarshal(body, &r)
}

// newEndRig returns an exchange whose stream of an engine has begun, and is resumable, and its attempt at an address.
func newEndRig(t *testing.T, address string) (*exchange, *forward.Attempt) {
	t.Helper()
	s := &server{wire: endWire{}, conns: conn.NewPool(), gate: forward.New(forward.Options{}), metrics: metrics.NewMetrics(), log: hclog.NewNullLogger()}
	s.gate.Adopt(route.NewTable(route.Config{Services: []route.Service{{Name: "pool", Engine: &route.Engine{}}}}))
	s.paths = pathsWithoutPeers(s)
	s.memory = newMemoryAccount(0, s.metrics, s.log)
	x := &exchange{
		server: s, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, "/", nil), ctx: t.Context(), body: &body{},
		hold: s.memory.newHold(), convicted: make(chan struct{}), framing: response.FramedByClose,
		call: &forward.Call{Request: forward.Request{ID: "r1"}, Route: &route.Route{Kind: route.Stream}, Service: "pool", Events: 2, LastEvent: "2"},
	}
	x.out = newOutput(x, true)
	return x, &forward.Attempt{Entry: roster.Entry{ID: "engine", Address: address, Born: 7}, Sent: boottime.Now(), TimeLimit: time.Minute}
}

// A sound upstream may be silent as its response ends, and its caller must get the complete response. One that has
// started again, is down, states an error or does not respond at all has proved nothing, nor has one that had to stop at its
// time limit. None must hold the caller for longer than the limit.
func TestTheEndOfAResponseAwaitsItsUpstream(t *testing.T) {
	t.Parallel()
	const slack, stopped = 500 * time.Millisecond, "stopped at its time limit"
	for _, c := range []struct {
		name   string
		status int
		born   int
		silent time.Duration
		proved bool
		within time.Duration
	}{
		{"sound", http.StatusOK, 7, 0, true, slack},
		{"silent for a while", http.StatusOK, 7, 1200 * time.Millisecond, true, 1200*time.Millisecond + probeTimeout + slack},
		{"started again", http.StatusOK, 8, 0, false, slack},
		{"gives no reports", http.StatusNotFound, 0, 0, true, slack},
		{"states an error", http.StatusServiceUnavailable, 0, 0, false, endProofTimeout + slack},
		{"never responds", http.StatusOK, 7, time.Hour, false, endProofTimeout + slack},
		{"down", 0, 0, 0, false, slack},
		{stopped, http.StatusOK, 7, 0, false, slack},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
					return
				case <-time.After(time.Until(began.Add(c.silent))):
				}
				w.WriteHeader(c.status)
				fmt.Fprintf(w, `{"born": %d}`, c.born)
			}))
			defer upstream.Close()
			address := strings.TrimPrefix(upstream.URL, "http://")
			if c.status == 0 {
				upstream.Close()
			}
			x, a := newEndRig(t, address)
			if c.name == stopped {
				a.TimeLimit = 300 * time.Microsecond // it gets 0 ms
			}
			err := x.confirmStreamEnd(a)
			if took := time.Since(began); (err == nil) != c.proved || took > c.within {
				t.Errorf("error %v after %v, want the end proved: %v, within %v", err, took, c.proved, c.within)
			}
			if err != nil && !errors.Is(err, errEndUnproved) {
				t.Errorf("error %v, want %v", err, errEndUnproved)
			}
			if gone := x.isGone(a); gone != (c.status == http.StatusOK && c.silent < time.Hour) {
				t.Errorf("the generation counts as gone: %v; only a report shows that", gone)
			}
		})
	}
}

// closedAddress is an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// A caller that has all events of a stream takes it up to get its end. There is no event left, and the end counts if
// the response's own bytes prove it; for a caller without events it does not.
func TestAStreamWithoutFurtherEventsEnds(t *testing.T) {
	for _, c := range []struct {
		after   string
		framing string
		want    forward.Outcome
	}{{"20", "chunked", forward.Done}, {"20", "", forward.Lost}, {"", "chunked", forward.Lost}} {
		x, a := newEndRig(t, closedAddress(t))
		x.call.Events, x.call.LastEvent, x.call.AfterEvent = 0, "", c.after
		resp := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
		if c.framing != "" {
			resp.TransferEncoding = []string{c.framing}
		}
		got, err := x.forwardResponse(nil, a, resp, Response{Signed: true})
		if got != c.want || x.headSent != (got == forward.Done) {
			t.Errorf("after %q, %q: outcome %s (%v), head forwarded %v; want %s", c.after, c.framing, got, err, x.headSent, c.want)
		}
	}
}

// A move is ordered just as its attempt ends, and done once the call has gone on at another upstream. The copy must not be
// used beside that run, nor be kept.
func TestAMoveOfAnEndedAttemptIsNotUsed(t *testing.T) {
	dropped := ""
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { dropped = r.URL.Path }))
	x, a := newEndRig(t, strings.TrimPrefix(upstream.URL, "http://"))
	a.Upstream = &roster.Upstream{Entry: a.Entry}
	x.redirect(&activeMove{order: msg.MoveOrder{To: "other"}}, a, copies{last: "copy", stopped: true}, msg.MoveDone)
	upstream.Close()
	if x.call.Redirected() || dropped != "/copies/copy" {
		t.Errorf("redirected %v, dropped %q; want the copy dropped", x.call.Redirected(), dropped)
	}
}

// A home orders a move after the connection of an attempt has ended and before its call goes on, perhaps at the same engine.
// The move must not begin: it would stop the next run. The instance itself may still stop the broken one.
func TestNoMoveBeginsBetweenTwoAttempts(t *testing.T) {
	now, g := boottime.Now(), forward.New(forward.Options{})
	g.Adopt(route.NewTable(route.Config{
		Version: 1, Services: []route.Service{{Name: "pool"}},
		Routes: []route.Route{{Host: "h", Prefix: "/", Kind: route.Stream, Timeout: time.Minute, MaxAttempts: 1, Targets: []route.Target{{Service: "pool", Weight: 1}}}},
	}))
	g.SetCordons(now, cordon.NewSet(1, nil))
	g.Roster().Update(now, []roster.Change{{ID: "u0", Version: 1, Valid: true, Entry: roster.Entry{ID: "u0", Service: "pool", Address: "u0:80"}}}, 1)
	call, refusal := g.Admit(now, forward.Request{ID: "r1", Host: "h", Path: "/x", Replayable: true})
	if refusal != nil || g.Start(now, call).Send == nil {
		t.Fatalf("the request is not sent: %+v", refusal)
	}
	x := &exchange{server: &server{gate: g}, call: call, body: &body{}}
	for _, connected := range []bool{true, false} {
		if _, source := x.beginMove(msg.MoveOrder{From: "u0"}, connected); (source == nil) != connected {
			t.Errorf("without a connection, where one is needed %v: source %v", connected, source)
		}
	}
}

// The request of a response that has arrived ends, by its deadline or its caller, while its connection is already that of
// another request. This must not close it.
func TestAConnectionThatWasReturnedIsNotClosed(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) })) // an error means that the caller has disconnected
	defer upstream.Close()
	address := strings.TrimPrefix(upstream.URL, "http://")
	x, a := newEndRig(t, address)
	x.call.Route, a.Upstream = &route.Route{Kind: route.Idempotent}, &roster.Upstream{Entry: a.Entry}
	c, err := x.server.conns.Get(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stop := context.AfterFunc(ctx, func() { c.Close() })
	x.setConn(c)
	if outcome, err := x.roundTrip(c, a); outcome != forward.Done {
		t.Fatalf("outcome %s (%v), want %s", outcome, err, forward.Done)
	}
	x.release(c, stop)
	cancel()
	x.closeConn(a)
	time.Sleep(10 * time.Millisecond)
	if next, err := x.server.conns.Get(t.Context(), address); next != c {
		t.Errorf("the connection was closed (%v), want it in use again", err)
	}
}

// The body of a stream is short by its framing, or has none that tells. It must not count as complete.
func TestOnlyAFramingThatIsCompleteEndsAStream(t *testing.T) {
	const event = "id: 3\ndata: x\n\n"
	for text, want := range map[string]forward.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + event:                                             forward.Done,
		"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + event:                                             forward.Cut,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n\r\n":              forward.Done,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\nX-Sum: 1\r\n\r\n":  forward.Done,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n0\r\n":                  forward.Cut,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\nf\r\n" + event + "\r\n": forward.Cut,
		"HTTP/1.0 200 OK\r\n\r\n" + event:                                                                   forward.Cut,
	} {
		x, a := newEndRig(t, closedAddress(t))
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), x.r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := x.forwardResponse(nil, a, resp, Response{Signed: true})
		if body := x.w.(*httptest.ResponseRecorder).Body.String(); got != want || body != event {
			t.Errorf("%q: outcome %s (%v), body %q; want %s and the event", text, got, err, body, want)
		}
	}
}
