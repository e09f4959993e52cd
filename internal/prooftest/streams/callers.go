package streams

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core"
)

// submit sends a caller's request to an entry.
func (sim *simulation) submit(entry, key, body string, stream bool) *caller {
	c := &caller{key: key, body: body, stream: stream, poison: strings.Contains(body, "poison")}
	if !c.poison {
		c.retriesLeft = 5
	}
	sim.allCallers = append(sim.allCallers, c)
	sim.send(c, entry)
	return c
}

func (sim *simulation) connect(c *caller, entry string) {
	sim.requestCount++
	c.entry, c.request = entry, fmt.Sprintf("%s:b:%d", entry, sim.requestCount)
	c.reconnectAt = time.Time{}
	sim.callers[c.request] = c
}

func (sim *simulation) send(c *caller, entry string) {
	sim.connect(c, entry)
	sim.handle(entry, core.CallerRequest{
		ID: c.request, APIKey: c.key, Model: "m", Method: "POST", Path: "/v1/completions", Body: []byte(c.body),
		Stream: c.stream, Prompt: 10, Fingerprint: xxhash.Sum64String(c.body),
	})
}

// reconnect repeats a refused request, or resumes the stream at another instance, as
// the client does. If the caller has received no event, the caller ends with the
// outcome unknown.
func (sim *simulation) reconnect(c *caller) {
	if c.retryPending {
		c.retryPending = false
		sim.send(c, sim.names[sim.requestCount%len(sim.names)])
		return
	}
	if c.lastID == "" {
		sim.endCaller(c, core.Unknown, "connection_lost")
		return
	}
	sim.connect(c, sim.names[sim.requestCount%len(sim.names)])
	sim.handle(c.entry, core.CallerResume{ID: c.request, APIKey: c.key, LastEventID: c.lastID})
}

// disconnect breaks a caller's connection; the caller reconnects 200 ms later. The
// entry detects the disconnect only if detected is set; otherwise the connection
// becomes silent.
func (sim *simulation) disconnect(c *caller, detected bool) {
	if c.ended || !c.reconnectAt.IsZero() {
		return
	}
	old, entry := c.request, c.entry
	c.request, c.reconnectAt = "", sim.now.Add(200*time.Millisecond)
	if detected {
		sim.handle(entry, core.CallerDisconnected{ID: old})
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// deliver gives a token to its caller.
func (sim *simulation) deliver(a core.Deliver) {
	c := sim.callers[a.Request]
	switch {
	case c == nil:
		sim.recordViolation("%s: got a token for an unknown request", a.Request)
	case c.ended && c.request == a.Request:
		sim.recordViolation("%s: got a token after the end", a.Request)
	case c.request == a.Request:
		c.tokens = append(c.tokens, a.Text)
		c.lastID = a.EventID()
	}
}

// finish gives an outcome to its caller, which retries some refusals instead of
// ending.
func (sim *simulation) finish(f core.Finish) {
	c := sim.callers[f.Request]
	switch {
	case c == nil:
		sim.recordViolation("%s: got an end for an unknown request", f.Request)
		return
	case c.request != f.Request:
		return // the caller no longer uses this connection
	case c.ended:
		sim.recordViolation("%s: got a second end, want only one", f.Request)
		return
	}
	refused := f.Outcome == core.NotRun || f.Outcome == core.Unknown
	if c.lastID != "" && refused && f.RetryAfter > 0 {
		c.request, c.reconnectAt = "", sim.now.Add(f.RetryAfter) // the resume was refused; the caller retries it later
		return
	}
	if f.Outcome == core.NotRun && f.RetryAfter > 0 && f.RetryAfter < time.Minute && c.retriesLeft > 0 {
		c.retriesLeft--
		c.request, c.retryPending, c.reconnectAt = "", true, sim.now.Add(f.RetryAfter)
		return
	}
	c.text, c.retryAfter = f.Text, f.RetryAfter
	sim.endCaller(c, f.Outcome, f.Reason)
}

func (sim *simulation) endCaller(c *caller, o core.Outcome, reason string) {
	c.ended, c.outcome, c.reason, c.reconnectAt = true, o, reason, time.Time{}
}

// check verifies the response of each caller and returns the violations found.
func (sim *simulation) check() []string {
	violations := sim.violations
	for n, c := range sim.allCallers {
		if msg := c.check(); msg != "" {
			violations = append(violations, fmt.Sprintf("caller %d (%s, %s): %s", n, c.outcome, c.reason, msg))
		}
	}
	return violations
}

// check returns the violation in the caller's response, or "" if there is none.
func (c *caller) check() string {
	if !c.ended {
		return "no end"
	}
	tokens := c.tokens
	if !c.stream {
		tokens = strings.SplitAfter(c.text, " ")
		tokens = tokens[:len(tokens)-1]
	}
	var first string
	for n, t := range tokens {
		part := strings.Split(strings.TrimSpace(t), "|")
		generation := strings.Join(part[:3], "|")
		if n == 0 {
			first = generation
		}
		switch {
		case part[2] != c.body:
			return fmt.Sprintf("token %d is for body %q, want %q", n, part[2], c.body)
		case generation != first:
			return fmt.Sprintf("token %d is of generation %s, want %s as for token 0", n, generation, first)
		case part[3] != fmt.Sprint(n):
			return fmt.Sprintf("token %d has index %s, want the token's position as its index", n, part[3])
		}
	}
	if c.outcome == core.Done {
		if len(tokens) == 0 || !strings.HasSuffix(tokens[0], fmt.Sprintf("|%d ", len(tokens))) {
			return fmt.Sprintf("outcome is done after %d tokens of generation %q, want all its tokens", len(tokens), first)
		}
	}
	return ""
}
