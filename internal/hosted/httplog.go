package hosted

import (
	"bytes"
	"fmt"
	"log"
	"path"
	"runtime"
	"strings"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/metrics"
)

const (
	// maxServerMessage is the maximum length in bytes of a message of an HTTP server that is logged.
	maxServerMessage = 300
	// maxPanicFrames is the maximum number of functions in the logged stack of a panic.
	maxPanicFrames = 12
)

// serverLog passes the messages of an HTTP server on to the log of the instance, for example errors of Accept
// and responses that are written twice.
type serverLog struct {
	listener string
	log      hclog.Logger
	metrics  *metrics.Metrics
}

// newServerLog returns the error log of the HTTP server of a listener.
func newServerLog(listener string, l hclog.Logger, m *metrics.Metrics) *log.Logger {
	return log.New(&serverLog{listener: listener, log: l, metrics: m}, "", 0)
}

// Write implements io.Writer. A message is one call; only its first line is logged.
func (s *serverLog) Write(p []byte) (int, error) {
	line, _, _ := bytes.Cut(p, []byte("\n"))
	s.metrics.Count("http_server_messages_total", s.listener)
	s.log.Warn("http_server", "listener", s.listener, "message", string(line[:min(len(line), maxServerMessage)]))
	return len(p), nil
}

// panicStack returns the functions that led to the panic being recovered, the innermost first, on one line.
func panicStack() string {
	pcs := make([]uintptr, 64)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(3, pcs)])
	var out []string
	for more := true; more && len(out) < maxPanicFrames; {
		var f runtime.Frame
		f, more = frames.Next()
		if !strings.HasPrefix(f.Function, "runtime.") {
			out = append(out, fmt.Sprintf("%s@%s:%d", path.Base(f.Function), path.Base(f.File), f.Line))
		}
	}
	return strings.Join(out, " ")
}
