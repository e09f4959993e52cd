package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/daemon"
)

const (
	// headerDelay is how long a stream waits before it sends its response header. Until then a
	// refusal can be sent as an ordinary HTTP response with its own status.
	headerDelay = 5 * time.Second
	// keepAliveInterval is the interval of the comments that keep a stream open while no tokens
	// arrive.
	keepAliveInterval = time.Second
)

// breakOff ends a response that is not complete. If its handler returned, net/http would complete
// it: as an empty success, or as a stream that has ended.
func breakOff() { panic(http.ErrAbortHandler) }

// respond writes the request's tokens and outcome to the caller until the request ends or the
// caller disconnects.
func (s *callerAPI) respond(w http.ResponseWriter, r *http.Request, id string, sink *daemon.Sink, stream bool) {
	defer s.d.Leave(id, sink)
	w.Header().Set(HeaderRequestID, id)
	out := &streamWriter{w: w, rc: http.NewResponseController(w), id: id}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	started := time.Now()
	for {
		select {
		case <-r.Context().Done():
			breakOff()
		case <-sink.Ready:
		case <-keepAlive.C:
			if stream && (out.headerSent || time.Since(started) > headerDelay) && out.keepAlive() != nil {
				breakOff()
			}
			continue
		}
		tokens, finish := sink.Take()
		if sink.Overflowed() {
			breakOff() // the caller may resume after the last event that it read
		}
		for _, t := range tokens {
			if out.token(t) != nil {
				breakOff()
			}
		}
		if finish != nil {
			s.writeOutcome(w, out, id, finish, stream)
			return
		}
		if out.headerSent && out.flush() != nil {
			breakOff()
		}
	}
}

// writeOutcome sends the end of a response: as the terminal event of a stream, as a problem
// document or as a complete JSON response.
func (s *callerAPI) writeOutcome(w http.ResponseWriter, out *streamWriter, id string, f *core.Finish, stream bool) {
	switch {
	case out.headerSent || stream && f.Outcome == core.Done:
		if out.end(f) != nil {
			breakOff()
		}
	case out.rc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil:
		breakOff() // the connection is closed
	case f.Outcome != core.Done:
		writeProblem(w, problemOf(id, f))
	case f.Body != nil:
		w.Header().Set(HeaderOutcome, string(f.Outcome))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(f.Status)
		_, _ = w.Write(f.Body) // an error means that the caller has disconnected
	default:
		w.Header().Set(HeaderOutcome, string(f.Outcome))
		writeJSON(w, http.StatusOK, completeResponse(id, f))
	}
}

// completion is a complete response to a completion request, or one event of a streamed
// response.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func completeResponse(id string, f *core.Finish) completion {
	return completion{
		ID: id, Object: "chat.completion", Usage: &usage{CompletionTokens: f.Tokens},
		Choices: []choice{{
			Text: f.Text, Message: &message{Role: "assistant", Content: f.Text}, FinishReason: f.FinishReason,
		}},
	}
}

// endEvent is the data of the event that ends a stream. A stream has one such event.
type endEvent struct {
	Outcome      string  `json:"outcome"`
	Tokens       int     `json:"tokens"`
	FinishReason string  `json:"finish_reason,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	Step         string  `json:"step,omitempty"`
	Peer         string  `json:"peer,omitempty"`
	RequestID    string  `json:"request_id"`
	RetryAfter   float64 `json:"retry_after_seconds,omitempty"`
}

// streamWriter writes a response as a stream of server-sent events.
type streamWriter struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	id         string
	headerSent bool
}

// prepareWrite sends the response header before the first event, and sets the deadline for the
// next write.
func (o *streamWriter) prepareWrite() error {
	if !o.headerSent {
		o.headerSent = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	return o.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (o *streamWriter) token(t core.Deliver) error {
	if err := o.prepareWrite(); err != nil {
		return err
	}
	raw, err := json.Marshal(completion{
		ID: o.id, Object: "chat.completion.chunk",
		Choices: []choice{{Text: t.Text, Delta: &message{Content: t.Text}}},
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.w, "id: %s\ndata: %s\n\n", t.EventID(), raw)
	return err
}

func (o *streamWriter) keepAlive() error {
	if err := o.prepareWrite(); err != nil {
		return err
	}
	if _, err := fmt.Fprint(o.w, ": keep-alive\n\n"); err != nil {
		return err
	}
	return o.flush()
}

// end writes the event that ends the stream.
func (o *streamWriter) end(f *core.Finish) error {
	if err := o.prepareWrite(); err != nil {
		return err
	}
	raw, err := json.Marshal(endEvent{
		Outcome: string(f.Outcome), Tokens: f.Tokens, FinishReason: f.FinishReason, Reason: f.Reason,
		Step: f.Step, Peer: f.Peer, RequestID: o.id, RetryAfter: f.RetryAfter.Seconds(),
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(o.w, "event: end\ndata: %s\n\n", raw); err != nil {
		return err
	}
	return o.flush()
}

func (o *streamWriter) flush() error { return o.rc.Flush() }
