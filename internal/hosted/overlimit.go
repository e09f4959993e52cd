package hosted

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/conn"
)

// overLimitLogInterval is the minimum interval between log lines about messages that exceed a limit. A faulty upstream
// sends them with each of several reports a second.
const overLimitLogInterval = time.Second

// overLimitLog limits the log lines about messages that exceed a limit.
type overLimitLog struct {
	mu sync.Mutex
	// next is the time from which a line is written, and omitted the number of calls since the last one.
	next    time.Time
	omitted int
}

// permit reports whether a line may be written now, and how many were omitted before it.
func (l *overLimitLog) permit(now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.omitted++
		return false, 0
	}
	omitted, l.omitted, l.next = l.omitted, 0, now.Add(overLimitLogInterval)
	return true, omitted
}

// noteNoHeadMemory counts and logs a connection of a caller that is closed for lack of memory for a head.
func (s *server) noteNoHeadMemory(from net.Addr) {
	s.metrics.Count("caller_connections_closed_total", "no_head_memory")
	if ok, omitted := s.headMemory.permit(boottime.Now()); ok {
		s.log.Warn("caller_connection_closed", "caller", from, "reason", "no_head_memory", "omitted", omitted)
	}
}

// noteOverLimit counts a response of a call to an upstream that exceeded a limit, and logs it.
func (s *server) noteOverLimit(address string, call UpstreamCall, err error) {
	var over *conn.LimitError
	if !errors.As(err, &over) {
		return
	}
	s.metrics.Count("responses_over_limit_total", "call_"+over.Part)
	if ok, omitted := s.overLimit.permit(boottime.Now()); ok {
		s.log.Warn("call_response_over_limit", "address", address, "target", call.Target, "reason", over.Part+"_too_large",
			"limit", over.Limit, "read", over.Read, "omitted", omitted)
	}
}

// overLimitPairs counts an attempt whose response exceeded a limit, and returns what is logged about it.
func (s *server) overLimitPairs(err error) []any {
	var over *conn.LimitError
	if !errors.As(err, &over) {
		return nil
	}
	s.metrics.Count("responses_over_limit_total", "attempt_"+over.Part)
	return []any{"reason", over.Part + "_too_large", "limit", over.Limit, "read", over.Read}
}

// readCallBody reads the body of a response to a call. If it is longer than maxCallResponse, the error is a
// conn.LimitError and the rest is unread.
func readCallBody(c *conn.Conn, resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > usualCallResponse {
		if !c.Reserve(maxCallResponse) {
			return nil, conn.ErrNoMemory
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxCallResponse))
	return body, overLimit(err, conn.PartBody)
}

// overLimit converts the error of an http.MaxBytesReader to a conn.LimitError, and returns other errors unchanged.
func overLimit(err error, part string) error {
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		return err
	}
	return &conn.LimitError{Part: part, Limit: tooLarge.Limit, Read: tooLarge.Limit + 1}
}
