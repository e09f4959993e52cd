package proctest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// streamFaults are the faults of engines that break streams off or send other events than the next ones.
var streamFaults = []hosting.Fault{hosting.BreaksInOrder, hosting.BreaksReset, hosting.Repeats, hosting.BeginsAnew, hosting.Skips}

// disturbStreams makes engines end their streams with their connections, or stop that, or gives them a fault of
// streams, and crashes upstreams and instances at times.
func (s *soak) disturbStreams() {
	r := s.streamRand
	engine := s.pool[r.IntN(len(s.pool))]
	switch r.IntN(12) {
	case 0, 1:
		engine.SetBareStreams(r.IntN(3) > 0)
	case 2:
		for _, w := range s.pool {
			w.SetBareStreams(r.IntN(4) > 0)
		}
	case 3, 4, 5:
		fault := streamFaults[r.IntN(len(streamFaults))]
		engine.SetStreamFault(fault)
		for k := 0; fault == hosting.Repeats && k < len(s.pool); k++ { // few connections are used again
			s.pool[k].SetStreamFault(fault)
		}
	case 6:
		for _, w := range s.pool {
			w.SetStreamFault(hosting.None)
		}
	case 7:
		s.crashEngine()
	case 8:
		s.crashDesk()
	case 9:
		s.restartSeries()
	}
}

// crashEngine crashes an engine without a notice, and starts it again soon or adds another one.
func (s *soak) crashEngine() {
	k, bare := s.streamRand.IntN(len(s.pool)), s.streamRand.IntN(2) == 0
	w := s.pool[k]
	s.noteLeft(w)
	w.Crash()
	configure := func(e *hosting.Worker) {
		soakEngine(e)
		e.Software = w.Software
		e.SetBareStreams(bare)
	}
	if s.streamRand.IntN(2) == 0 {
		if again, err := s.Restart(w, configure); err == nil { // its port may be that of a connection by now
			s.pool[k] = again
			return
		}
	}
	time.AfterFunc(time.Second, w.Vanish)
	s.pool[k] = s.addUpstream(s.t, fmt.Sprintf("engine-c%d-%d", k, s.streamRand.IntN(1<<20)), hosting.Pool, configure)
}

// noteLeft records that an engine leaves, unless it has crashed and started again before.
func (s *soak) noteLeft(w *hosting.Worker) {
	if _, before := s.left[w.ID]; !before {
		s.left[w.ID] = time.Now()
	}
}

// crashDesk makes an upstream of the plain service crash in its next response, or after a second, and adds another
// one. It is none behind a relay, which accepts connections to an upstream that has crashed.
func (s *soak) crashDesk() {
	k := s.streamRand.IntN(deskUpstreams)
	w := s.desk[k]
	s.left[w.ID] = time.Now()
	w.SetFault(hosting.CrashInAnswer)
	time.AfterFunc(time.Second, func() { w.Crash(); w.Vanish() })
	s.desk[k] = s.addUpstream(s.t, fmt.Sprintf("desk-c%d-%d", k, s.streamRand.IntN(1<<20)), hosting.Desk, func(d *hosting.Worker) {
		d.Work = 10 * time.Millisecond
	})
}

// restartSeries terminates an instance up to three times in a row, and kills it if it has not ended after a while. Other
// instances may be restarting at the same time.
func (s *soak) restartSeries() {
	var n int
	select {
	case n = <-s.restartable:
	default:
		return // all but one are restarting
	}
	var waits [][2]int // until the kill and until the next time, in milliseconds
	for range 1 + s.streamRand.IntN(3) {
		waits = append(waits, [2]int{s.streamRand.IntN(1500), s.streamRand.IntN(800)})
	}
	from := time.Now()
	s.restarts.Go(func() {
		defer s.disturb(n, from, false)
		for _, wait := range waits {
			p := s.process(n)
			if err := p.signal(syscall.SIGTERM); err != nil {
				s.t.Error(err)
			}
			select {
			case <-p.ended:
			case <-time.After(time.Duration(wait[0]) * time.Millisecond):
				p.kill()
			}
			restarted := s.startInstance(s.t, s.machines[n])
			s.mu.Lock()
			s.procs[n] = restarted
			s.mu.Unlock()
			time.Sleep(time.Duration(wait[1]) * time.Millisecond)
		}
		s.restartable <- n
	})
}

// keptTransport uses a connection until the instance closes it, whatever the responses say. With http10, it sends
// requests of HTTP/1.0, each on a new connection, with which the response ends if it has no length.
type keptTransport struct {
	http10  bool
	address string
	conn    net.Conn
	in      *bufio.Reader
	// body is the last response's, nil if there was none, and it was read to its end if whole is set.
	body  io.ReadCloser
	whole bool
}

// Read implements io.Reader for the last response's body.
func (k *keptTransport) Read(p []byte) (int, error) {
	n, err := k.body.Read(p)
	k.whole = errors.Is(err, io.EOF)
	return n, err
}

// RoundTrip implements http.RoundTripper.
func (k *keptTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.http10 || k.address != r.URL.Host || !k.whole {
		k.close()
		c, err := net.DialTimeout("tcp", r.URL.Host, time.Second)
		if err != nil {
			return nil, err
		}
		k.address, k.conn, k.in = r.URL.Host, c, bufio.NewReader(c)
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return nil, err
	}
	sent := text.Bytes()
	if k.http10 {
		sent = bytes.Replace(sent, []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1)
	}
	deadline, _ := r.Context().Deadline()
	_ = k.conn.SetDeadline(deadline) // fails only on a closed connection
	_, err := k.conn.Write(sent)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(k.in, r); err == nil {
			k.body, k.whole = resp.Body, false
			resp.Body = io.NopCloser(k)
			return resp, nil
		}
	}
	k.close()
	return nil, err
}

func (k *keptTransport) close() {
	if k.conn != nil {
		k.conn.Close()
	}
	k.address, k.conn = "", nil
}

func (a sentRequest) isStream() bool {
	return strings.HasPrefix(a.path, hosting.PathDraft) || strings.HasPrefix(a.path, hosting.PathBrief)
}

// maxSoakPause is longer than any pause that upstreams of the soak ask for.
const maxSoakPause = 5 * time.Second

// endNotAsked reports whether a caller has all events of a stream that ended with its connection, at an engine that
// states a limit or wants a pause as the response is broken off. The engine may not be asked then whether that was the
// end, and without its report the response is broken off.
func (s *soak) endNotAsked(a sentRequest, list []hosting.Arrival) bool {
	if !a.isStream() || unmarked(a.result.body) != streamBodyAfter(a.id, a.after) {
		return false
	}
	asksForLess := func(w *hosting.Worker) bool {
		paused := func(b hosting.Arrival) bool {
			return b.Pause > 0 && b.At.Before(a.at) && a.at.Sub(b.At) < maxSoakPause
		}
		limited := false
		for _, l := range w.Limits() {
			if l.From.Before(a.at) {
				limited = l.PerSecond > 0 || limited && a.at.Sub(l.From) < maxSoakPause
			}
		}
		return limited || slices.ContainsFunc(w.Arrivals(), paused)
	}
	return slices.ContainsFunc(list, func(b hosting.Arrival) bool {
		return b.Bare && slices.ContainsFunc(s.Workers(), func(w *hosting.Worker) bool { return w.ID == b.Worker && asksForLess(w) })
	})
}

// checkOrder checks that the events of a stream follow each other and that one run made them, or runs each of which
// began after the last event of the one before; and that there are all of them if the response is complete.
func checkOrder(t *testing.T, a sentRequest) {
	if !a.isStream() || a.result.status != http.StatusOK {
		return
	}
	last, run := a.after, ""
	events := strings.SplitAfter(a.result.body, "\n\n")
	for _, event := range events[:len(events)-1] { // the rest broke off
		mark, began := "", -1
		for line := range strings.Lines(event) {
			if strings.HasPrefix(line, hosting.RunMark) {
				mark = strings.TrimSpace(line)
				_, _ = fmt.Sscan(mark[strings.LastIndex(mark, " "):], &began) // without a number no run began there
			}
		}
		joined := mark != run && (began != last || run != "" && strings.HasPrefix(a.path, hosting.PathDraft))
		if joined || unmarked(event) != hosting.Event(a.id, last+1) {
			t.Errorf("%s at %s: event %q after event %d of run %q, want the next one of the same run, or of one that began there if the stream may be resumed", a.id, a.instance, event, last, run)
			return
		}
		last, run = last+1, mark
	}
	if rest := events[len(events)-1]; !a.result.truncated && (last != streamEvents || rest != "") {
		t.Errorf("%s at %s (HTTP/1.0: %v): complete after event %d and %q, want %d events", a.id, a.instance, a.http10, last, rest, streamEvents)
	}
}
