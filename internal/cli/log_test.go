package cli

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Each event must be one line of key=value pairs in their order. Values with
// special characters must be quoted, empty values and events below the log level
// omitted.
func TestLogLines(t *testing.T) {
	var out bytes.Buffer
	log, flush := newLogger(&out, "info")
	log = log.With("instance", "entry-1")
	log.Debug("not_shown")
	log.Info("request", "request", "entry-1:0:1", "outcome", "done", "reason", "", "ms", 12)
	log.Named("peer").Warn("peer_link_broke", "peer", "entry-2", "error", errors.New(`dial "x": a=b`))
	flush()
	want := []string{
		`level=info event=request instance=entry-1 request=entry-1:0:1 outcome=done ms=12`,
		`level=warn logger=peer event=peer_link_broke instance=entry-1 peer=entry-2 error="dial \"x\": a=b"`,
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != len(want) {
		t.Fatalf("lines = %d, want %d:\n%s", len(lines), len(want), out.String())
	}
	stamp := regexp.MustCompile(`^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z `)
	for k, line := range lines {
		if rest := stamp.ReplaceAllString(line, ""); rest != want[k] {
			t.Errorf("line %d = %s, want %s", k, rest, want[k])
		}
	}
}

// pausedWriter blocks all writes until release is closed, like a terminal whose
// output is paused or a full pipe.
type pausedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *pausedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.out.Write(b)
}

// The reader of the log pauses while more lines are logged than the queue holds.
// Logging must not block, since an instance would then stop serving its callers.
// The lines beyond the queue must be dropped, and the log must report their
// number.
func TestLoggingDoesNotBlockOnPausedReader(t *testing.T) {
	w := &pausedWriter{release: make(chan struct{})}
	log, flush := newLogger(w, "info")
	const lines = 2 * logQueueLen
	for n := range lines {
		log.Info("request", "n", n)
	}
	close(w.release)
	flush()
	got := strings.Count(w.out.String(), "event=request")
	if got < logQueueLen || got >= lines || !strings.Contains(w.out.String(), "event=log_lines_dropped count=") {
		t.Errorf("lines written = %d of %d, want some dropped and an event log_lines_dropped", got, lines)
	}
}

// The reader of the log has stopped reading as the process ends. Waiting for it would keep the process from
// exiting until it is killed.
func TestFlushDoesNotWaitForAPausedReader(t *testing.T) {
	w := &pausedWriter{release: make(chan struct{})}
	defer close(w.release)
	log, flush := newLogger(w, "info")
	log.Info("stopped")
	flushed := make(chan struct{})
	go func() {
		flush()
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-time.After(2 * time.Second):
		t.Errorf("flush has not returned after 2 s, want it to return after %v", flushTimeout)
	}
}

func BenchmarkLogLine(b *testing.B) {
	b.ReportAllocs()
	size := 0
	s := &lineSink{level: hclog.Info, lines: make(chan string, 1)}
	for b.Loop() {
		s.Accept("", hclog.Info, "request", "instance", "entry-123", "request", "entry-123:0123abcd:100000", "outcome", "done",
			"reason", "", "step", "", "peer", "", "attempts", 1, "tokens", 250, "ms", int64(9600))
		line := <-s.lines
		size = len(line)
		_, _ = io.Discard.Write([]byte(line))
	}
	b.ReportMetric(float64(size), "B/line")
}
