package streams

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrylug.example/mulberrylug/internal/core"
)

// ask sends a caller's request to an entry.
func (w *world) ask(entry, key, body string, stream bool) *caller {
	c := &caller{key: key, body: body, stream: stream, poison: strings.Contains(body, "poison")}
	if !c.poison {
		c.repeats = 5
	}
	w.all = append(w.all, c)
	w.send(c, entry)
	return c
}

func (w *world) connect(c *caller, entry string) {
	w.ids++
	c.entry, c.request = entry, fmt.Sprintf("%s:b:%d", entry, w.ids)
	c.resumeAt = time.Time{}
	w.callers[c.request] = c
}

func (w *world) send(c *caller, entry string) {
	w.connect(c, entry)
	w.handle(entry, core.CallerRequest{
		ID: c.request, APIKey: c.key, Model: "m", Method: "POST", Path: "/v1/completions", Body: []byte(c.body),
		Stream: c.stream, Prompt: 10, Fingerprint: xxhash.Sum64String(c.body),
	})
}

// resume reads on at another instance, as the client does, or gives up if no
// event had come.
func (w *world) resume(c *caller) {
	if c.again {
		c.again = false
		w.send(c, w.names[w.ids%len(w.names)])
		return
	}
	if c.lastID == "" {
		w.endCaller(c, core.Unknown, "connection_lost")
		return
	}
	w.connect(c, w.names[w.ids%len(w.names)])
	w.handle(c.entry, core.CallerResume{ID: c.request, APIKey: c.key, LastEventID: c.lastID})
}

// cutCaller breaks a caller's connection. The entry is told, unless the
// connection only went silent. The caller comes back a little later.
func (w *world) cutCaller(c *caller, told bool) {
	if c.ended || !c.resumeAt.IsZero() {
		return
	}
	old, entry := c.request, c.entry
	c.request, c.resumeAt = "", w.now.Add(200*time.Millisecond)
	if told {
		w.handle(entry, core.CallerDisconnected{ID: old})
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) deliver(a core.Deliver) {
	c := w.callers[a.Request]
	switch {
	case c == nil:
		w.fault("%s: a token for nobody", a.Request)
	case c.ended && c.request == a.Request:
		w.fault("%s: a token after the end", a.Request)
	case c.request == a.Request:
		c.tokens = append(c.tokens, a.Text)
		c.lastID = a.EventID()
	}
}

func (w *world) finish(f core.Finish) {
	c := w.callers[f.Request]
	switch {
	case c == nil:
		w.fault("%s: an end for nobody", f.Request)
		return
	case c.request != f.Request:
		return // over a connection that the caller has left
	case c.ended:
		w.fault("%s: two ends", f.Request)
		return
	}
	refused := f.Outcome == core.NotRun || f.Outcome == core.Unknown
	if c.lastID != "" && refused && f.RetryAfter > 0 {
		c.request, c.resumeAt = "", w.now.Add(f.RetryAfter) // the wish to resume was refused
		return
	}
	if f.Outcome == core.NotRun && f.RetryAfter > 0 && f.RetryAfter < time.Minute && c.repeats > 0 {
		c.repeats--
		c.request, c.again, c.resumeAt = "", true, w.now.Add(f.RetryAfter)
		return
	}
	c.text, c.retryAfter = f.Text, f.RetryAfter
	w.endCaller(c, f.Outcome, f.Reason)
}

func (w *world) endCaller(c *caller, o core.Outcome, reason string) {
	c.ended, c.outcome, c.reason, c.resumeAt = true, o, reason, time.Time{}
}

// check judges what each caller got; it returns what is wrong.
func (w *world) check() []string {
	bad := w.faults
	for n, c := range w.all {
		if msg := c.check(); msg != "" {
			bad = append(bad, fmt.Sprintf("caller %d (%s, %s): %s", n, c.outcome, c.reason, msg))
		}
	}
	return bad
}

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
			return fmt.Sprintf("token %d answers %q, not %q", n, part[2], c.body)
		case generation != first:
			return fmt.Sprintf("token %d is of %s, the first of %s", n, generation, first)
		case part[3] != fmt.Sprint(n):
			return fmt.Sprintf("token %d has index %s", n, part[3])
		}
	}
	if c.outcome == core.Done {
		if len(tokens) == 0 || !strings.HasSuffix(tokens[0], fmt.Sprintf("|%d ", len(tokens))) {
			return fmt.Sprintf("done with %d tokens of %q", len(tokens), first)
		}
	}
	return ""
}
