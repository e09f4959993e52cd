package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/table"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// testTimeout limits every wait in these tests. It is long so that a test does not fail on a
// busy machine.
const testTimeout = 30 * time.Second

// unresponsivePlatform returns nothing until the context of the call ends, like a platform
// behind a dead network link.
type unresponsivePlatform struct{}

func (unresponsivePlatform) Commit(ctx context.Context, _ table.Tx) table.Result {
	<-ctx.Done()
	return table.Result{Status: table.Unknown}
}

func (unresponsivePlatform) Read(ctx context.Context, _ []string) ([]table.Row, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsivePlatform) Get(ctx context.Context, _ string) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsivePlatform) Put(ctx context.Context, _ string, _ []byte) error {
	<-ctx.Done()
	return ctx.Err()
}

func (unresponsivePlatform) Fetch(ctx context.Context, _, _, _ string) (time.Duration, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (unresponsivePlatform) Scan(ctx context.Context, _, _ string, _ int) ([]table.Row, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsivePlatform) List(ctx context.Context) ([]membership.Member, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsivePlatform) Announce(ctx context.Context, _ membership.Member) error {
	<-ctx.Done()
	return ctx.Err()
}

// startDaemon runs an instance whose platform does not respond. stop ends the instance and
// returns the result of Serve.
func startDaemon(t *testing.T, callers http.Handler) (d *Daemon, stop func() error) {
	t.Helper()
	s := Settings{
		Name: "entry-1", DataCentre: "kochi-a", Platform: "http://127.0.0.1:1",
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
	}
	d, err := New(s, unresponsivePlatform{}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Serve(ctx, callers, http.NotFoundHandler()) }()
	stop = func() error {
		cancel()
		select {
		case err := <-ended:
			ended <- err
			return err
		case <-time.After(testTimeout):
			return errors.New("Serve did not return after its context ended")
		}
	}
	t.Cleanup(func() { _ = stop() })
	return d, stop
}

// The platform is unreachable before an instance starts. The loop must continue, so that
// operators and callers get a response (callers a refusal: not ready), and the instance must stop
// when asked to. Nothing may block on a call to the platform.
func TestUnresponsivePlatformDoesNotBlockInstance(t *testing.T) {
	d, stop := startDaemon(t, http.NotFoundHandler())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := d.Entries(ctx, ""); err != nil {
		t.Errorf("Entries with an unresponsive platform: error %v, want none", err)
	}
	id, sink := d.Request(core.CallerRequest{Model: "any"})
	testkit.Eventually(t, testTimeout, "the request is refused", func() bool {
		_, f := sink.Take()
		return f != nil && f.Outcome == core.NotRun && f.Reason == core.ReasonNotReady && f.RetryAfter > 0
	})
	d.Leave(id, sink)
	if err := stop(); err != nil {
		t.Errorf("stop with an unresponsive platform: error %v, want none", err)
	}
}

// Calls to upstreams and HTTP handlers may still report events after the instance has stopped.
// They must not block on the loop: each would leak a goroutine, and a process that runs several
// instances would run out of memory.
func TestSubmitDoesNotBlockAfterStop(t *testing.T) {
	d, stop := startDaemon(t, http.NotFoundHandler())
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * loopQueueSize {
			d.loop.submit(core.Tick{})
		}
		if _, err := d.Entries(context.Background(), ""); !errors.Is(err, errStopped) {
			t.Errorf("Entries of a stopped instance: error %v, want %v", err, errStopped)
		}
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Error("submit or Entries did not return on a stopped instance within the timeout, want both to return")
	}
}

// An instance stops while a response is being written. Serve must return only after open
// responses have ended, so that the caller receives the complete response.
func TestPromise6ServeWaitsForOpenResponses(t *testing.T) {
	firstWritten, stopping := make(chan struct{}), make(chan struct{})
	d, stop := startDaemon(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "first ")
		_ = http.NewResponseController(w).Flush() // after an error the body received below differs
		close(firstWritten)
		<-stopping
		time.Sleep(50 * time.Millisecond) // gives the shutdown time to begin
		fmt.Fprint(w, "last")
	}))
	got := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + d.CallerAddress())
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		got <- fmt.Sprintf("%s %v", body, err)
	}()
	<-firstWritten
	returned := make(chan error, 1)
	go func() { returned <- stop() }()
	close(stopping)
	if err := <-returned; err != nil {
		t.Fatal(err)
	}
	select {
	case body := <-got:
		if body != "first last <nil>" {
			t.Errorf("the caller received %q, want \"first last\" and no error", body)
		}
	case <-time.After(testTimeout):
		t.Error("the caller did not receive the end of the response within the timeout")
	}
}

// A response is broken off by its handler or by the end of the instance. It must not look complete to a caller that
// speaks HTTP/1.0, for which a response without a length ends with its connection.
func TestBrokenResponsesDoNotLookComplete(t *testing.T) {
	d, stop := startDaemon(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "first ")
		_ = http.NewResponseController(w).Flush() // after an error the body received below differs
		switch r.URL.Path {
		case "/aborts":
			panic(http.ErrAbortHandler)
		case "/waits":
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "last")
	}))
	for _, path := range []string{"/whole", "/aborts", "/waits"} {
		conn, err := net.Dial("tcp", d.CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.0\r\n\r\n", path); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if path == "/waits" {
			d.Kill()
			if err := stop(); err != nil {
				t.Error(err)
			}
		}
		whole := path == "/whole"
		if body, err := io.ReadAll(resp.Body); (err == nil) != whole || whole && string(body) != "first last" {
			t.Errorf("%s: the caller received %q with error %v, want an error unless it is whole", path, body, err)
		}
	}
}

// A killed instance must close its callers' connections at once, as a process that dies does.
func TestKillCutsConnections(t *testing.T) {
	started := make(chan struct{})
	d, stop := startDaemon(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	}))
	conn, err := net.Dial("tcp", d.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	d.Kill()
	if err := stop(); err != nil {
		t.Error(err)
	}
	if raw, _ := io.ReadAll(conn); len(raw) != 0 {
		t.Errorf("the caller received %q, want a closed connection and no bytes", raw)
	}
}

// Goroutines that submit events to a paused instance must not block. The events wait in the
// loop's queue and are handled when the instance continues.
func TestFrozenLoopTakesEventsLater(t *testing.T) {
	d, _ := startDaemon(t, http.NotFoundHandler())
	d.loop.pause.Lock()
	id, sink := d.Request(core.CallerRequest{Model: "any"})
	if _, f := sink.Take(); f != nil {
		t.Errorf("request to a paused instance ended with %+v, want no outcome yet", f)
	}
	d.loop.pause.Unlock()
	testkit.Eventually(t, testTimeout, "the request ends after the instance continues", func() bool {
		_, f := sink.Take()
		return f != nil
	})
	d.Leave(id, sink)
}
