package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// ringSize is the number of recorded decisions that an instance keeps.
const ringSize = 20_000

// ring is a ring buffer of the latest decisions, for Explain.
type ring struct {
	records []record
	next    int
	// buf is reused for formatting lines.
	buf []byte
}

// record is one decision. It is stored as formatted text: stored as values it would take ten
// times the memory and one allocation per value.
type record struct {
	request string
	line    string
}

// recordDecision records a decision on a request.
func (i *Instance) recordDecision(now time.Time, request, step string, pairs ...any) {
	i.ring.buf = appendLine(i.ring.buf[:0], now, request, step, pairs)
	rec := record{request: request, line: string(i.ring.buf)}
	if len(i.ring.records) < ringSize {
		i.ring.records = append(i.ring.records, rec)
		return
	}
	i.ring.records[i.ring.next] = rec
	i.ring.next = (i.ring.next + 1) % ringSize
}

// Explain returns the recorded decisions on a request, oldest first.
func (i *Instance) Explain(request string) []string {
	var lines []string
	for k := range i.ring.records {
		rec := i.ring.records[(i.ring.next+k)%len(i.ring.records)]
		if rec.request == request {
			lines = append(lines, rec.line)
		}
	}
	return lines
}

// appendLine appends a decision as key=value pairs, without pairs whose value is empty. It
// allocates only if b is too small or a value is neither a string nor an int.
func appendLine(b []byte, now time.Time, request, step string, pairs []any) []byte {
	b = append(b, "time="...)
	b = now.UTC().AppendFormat(b, time.RFC3339Nano)
	b = append(append(b, " request="...), request...)
	b = append(append(b, " step="...), step...)
	for k := 0; k+1 < len(pairs); k += 2 {
		before := len(b)
		b = append(appendValue(append(b, ' '), pairs[k]), '=')
		valueStart := len(b)
		b = appendValue(b, pairs[k+1])
		if len(b) == valueStart {
			b = b[:before]
		}
	}
	return b
}

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		return append(b, v...)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	default:
		return fmt.Append(b, v)
	}
}

// RequestExplain queries the instance that a request id names for its decisions on the request. The
// result is an ExplainResult action with the same id.
func (i *Instance) RequestExplain(id uint64, request string) []Action {
	owner, _, _ := strings.Cut(request, ":")
	if owner == i.self {
		return []Action{ExplainResult{ID: id, Lines: i.Explain(request)}}
	}
	i.send(owner, msg.ExplainRequest{ID: id, Request: request})
	out := i.actions
	i.actions = nil
	return out
}

func (i *Instance) onExplainRequest(from string, m msg.ExplainRequest) {
	i.send(from, msg.ExplainResponse{ID: m.ID, Lines: i.Explain(m.Request)})
}
