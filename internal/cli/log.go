package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/hosted"
)

// logQueueLen is the maximum number of lines that wait to be written.
const logQueueLen = 4096

// flushTimeout is how long an exiting process waits for its log to be written. A reader that has stopped reading
// must not keep the process from ending.
const flushTimeout = hosted.ExitTime

// lineSink writes each log event as one line of key=value pairs. It never blocks
// the caller: the reader of the log may pause, and an instance whose event loop
// waited for the reader would look dead to its callers and peers. Lines for
// which the queue has no room are dropped; an event log_lines_dropped reports
// their number.
type lineSink struct {
	level hclog.Level
	lines chan string
	// dropped counts the lines dropped since the last log_lines_dropped.
	dropped atomic.Int64
	once    sync.Once
	// finished is closed after the last line was written.
	finished chan struct{}
}

// newLogger returns a logger that writes to w, and a function that waits until
// all queued lines have been written, for at most flushTimeout. The logger must
// not be used after that function has been called.
func newLogger(w io.Writer, level string) (hclog.Logger, func()) {
	s := &lineSink{
		level: hclog.LevelFromString(level), lines: make(chan string, logQueueLen), finished: make(chan struct{}),
	}
	log := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: s.level, Output: io.Discard})
	log.RegisterSink(s)
	go s.writeLines(w)
	return log, func() {
		log.DeregisterSink(s)
		s.once.Do(func() { close(s.lines) })
		select {
		case <-s.finished:
		case <-time.After(flushTimeout):
		}
	}
}

// Accept implements hclog.SinkAdapter.
func (s *lineSink) Accept(name string, level hclog.Level, event string, pairs ...any) {
	if level < s.level || s.level == hclog.Off {
		return
	}
	select {
	case s.lines <- formatLine(time.Now(), name, level, event, pairs):
	default:
		s.dropped.Add(1)
	}
}

// writeLines writes lines from the queue until it is closed.
func (s *lineSink) writeLines(w io.Writer) {
	defer close(s.finished)
	for line := range s.lines {
		_, _ = io.WriteString(w, line) // a failure to log can't be logged
		if n := s.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(w, formatLine(time.Now(), "", hclog.Warn, "log_lines_dropped", []any{"count", n}))
		}
	}
}

// formatLine formats an event as one line. The pairs keep their order; pairs with
// an empty value are omitted.
func formatLine(at time.Time, name string, level hclog.Level, event string, pairs []any) string {
	var b strings.Builder
	pair := func(key string, value any) {
		text := fmt.Sprint(value)
		if text == "" {
			return
		}
		if strings.ContainsAny(text, " \"=\t\r\n") {
			text = strconv.Quote(text)
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(key)
		b.WriteByte('=')
		b.WriteString(text)
	}
	pair("time", at.UTC().Format("2006-01-02T15:04:05.000Z"))
	pair("level", level)
	pair("logger", name)
	pair("event", event)
	for k := 0; k+1 < len(pairs); k += 2 {
		pair(fmt.Sprint(pairs[k]), pairs[k+1])
	}
	b.WriteByte('\n')
	return b.String()
}
