package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
)

const (
	silence  = 600 * time.Millisecond
	eventGap = 50 * time.Millisecond
	events   = 20
)

// silentServer starts a server that streams numbered lines and marks other requests as "short".
func silentServer(t *testing.T) *standin.Server {
	t.Helper()
	var s *standin.Server
	s, err := standin.Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			fmt.Fprintln(w, "short")
			return
		}
		for n := range events {
			time.Sleep(eventGap)
			s.AwaitStall()
			fmt.Fprintln(w, n)
			_ = http.NewResponseController(w).Flush() // an error means that the client has disconnected
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// arrivals requests a path and returns when each line of the response arrived.
func arrivals(t *testing.T, s *standin.Server, path string) (at []time.Time) {
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Error(err)
		return nil
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: s\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return nil
	}
	body := bufio.NewReader(resp.Body)
	for n := 0; ; n++ {
		line, err := body.ReadString('\n')
		if err == io.EOF {
			return at
		}
		if err != nil || path != "/short" && line != fmt.Sprintln(n) {
			t.Errorf("line %q, error %v; want line %d", line, err, n)
			return at
		}
		at = append(at, time.Now())
	}
}

// A silence that lets something through, loses or reorders it would make tests of silences check nothing. The
// stream must pause for the whole silence and bring every line; in a cut it makes up for the pause, and a
// new connection is served before what was held arrives.
func TestSilences(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		fall func(*standin.Server)
		// late is the delay after the silence, and whole the least time that the stream takes.
		late, whole time.Duration
	}{
		"stall":    {func(s *standin.Server) { s.Stall(silence) }, 0, events*eventGap + silence - eventGap},
		"cut":      {func(s *standin.Server) { s.CutOff(silence, 0) }, 0, events * eventGap},
		"late cut": {func(s *standin.Server) { s.CutOff(silence, silence/2) }, silence / 2, events * eventGap},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := silentServer(t)
			started := time.Now()
			stream, short := make(chan []time.Time, 1), make(chan []time.Time, 1)
			go func() { stream <- arrivals(t, s, "/stream") }()
			time.Sleep(4 * eventGap)
			began := time.Now()
			c.fall(s)
			time.AfterFunc(eventGap, func() { short <- arrivals(t, s, "/short") })
			got := <-stream
			if len(got) != events {
				t.Fatalf("%d lines arrived, want %d", len(got), events)
			}
			for _, at := range got {
				if since := at.Sub(began); since > eventGap/2 && since < silence+c.late {
					t.Errorf("a line arrived %v after the beginning of the silence, want none before its end", since)
				}
			}
			if took := got[events-1].Sub(started); took < c.whole || took > c.whole+silence/2 {
				t.Errorf("the stream took %v, want %v", took, c.whole)
			}
			if at := <-short; len(at) != 1 || at[0].Sub(began) < silence {
				t.Errorf("a request in the silence ended after %v, want one line after it", at[0].Sub(began))
			}
		})
	}
}
