package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/prompt"
)

// Headers of the engines' protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderBoot carries the id of the engine's boot in the response to a request for a
	// generation.
	HeaderBoot = "X-Engine-Boot"
	// HeaderRateLimit carries the rate limit that the engine states.
	HeaderRateLimit = "X-Rate-Limit"
	// HeaderLeaving is "1" in the responses of an engine that leaves.
	HeaderLeaving = "X-Leaving"
)

// keepAlive is the time without a token after which a stream carries a comment line.
const keepAlive = time.Second

// Handler returns the HTTP handler of the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /v1/generations/{id...}", e.resume)
	mux.HandleFunc("DELETE /v1/generations/{id...}", e.deleteGeneration)
	mux.HandleFunc("GET /load", e.getLoad)
	mux.HandleFunc("GET /cache/events", e.getEvents)
	mux.HandleFunc("POST /orders", e.postOrder)
	mux.HandleFunc("GET /records", e.getRecords)
	return mux
}

// complete handles a request for a new generation and streams its tokens.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	body, err := prompt.Parse(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := e.currentFaults()
	if faults.RateLimit > 0 {
		w.Header().Set(HeaderRateLimit, strconv.FormatFloat(faults.RateLimit, 'f', -1, 64))
	}
	if e.Leaving() {
		w.Header().Set(HeaderLeaving, "1")
	}
	if faults.FailAll {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if faults.IgnoreMax {
		body.MaxTokens *= 2
	}
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority)) // a missing header means 0
	g := e.accept(r.Header.Get(HeaderRequestID), body.Text, body.Tokens, body.MaxTokens, priority, body.Prefix)
	if e.triggersCrash(body.Text) && e.settings.OnCrash != nil {
		e.settings.OnCrash()
		return
	}
	time.Sleep(faults.FirstDelay)
	e.stream(w, r, g, 0, false)
}

// resume streams the tokens of an existing generation from an index on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	g := e.find(r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if g == nil {
		g = e.rerun(r.PathValue("id"))
	}
	if g == nil || err != nil {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, g, from, true)
}

// deleteGeneration cancels a generation and responds with its number of tokens.
func (e *Engine) deleteGeneration(w http.ResponseWriter, r *http.Request) {
	tokens, ok := e.cancel(r.PathValue("id"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	fmt.Fprintf(w, `{"tokens":%d}`, tokens)
}

func (e *Engine) getLoad(w http.ResponseWriter, r *http.Request) {
	if e.waitWhileFrozen(r) {
		_ = json.NewEncoder(w).Encode(e.load()) // an error means that the caller has disconnected
	}
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // a missing parameter means 0
	e.mu.Lock()
	events := e.events.after(after)
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(events) // an error means that the caller has disconnected
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.TakeOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
	}
}

// waitWhileFrozen returns true as soon as the engine is not frozen, and false if the
// caller disconnects before that.
func (e *Engine) waitWhileFrozen(r *http.Request) bool {
	for {
		e.mu.Lock()
		until := e.frozenUntil
		e.mu.Unlock()
		wait := time.Until(until)
		if wait <= 0 {
			return true
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(wait):
		}
	}
}

// chunk is the JSON data of one event of a stream.
type chunk struct {
	ID      string   `json:"id"`
	Index   int      `json:"index"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// stream writes the tokens from an index on, until the generation ends or the caller
// disconnects. A disconnect does not cancel the generation: the caller may resume it.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int, resumed bool) {
	flusher, ok := w.(http.Flusher)
	if !ok {
		http.Error(w, "streaming is not supported", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderBoot, g.boot)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	out := &faultyWriter{w: w, r: r, faults: e.currentFaults(), resumed: resumed}
	last := time.Now()
	for {
		tokens, st := e.waitForTokens(g, from)
		if !e.waitWhileFrozen(r) || r.Context().Err() != nil {
			return
		}
		for ; from < tokens; from++ {
			out.writeToken(chunk{ID: g.id, Index: from, Choices: []choice{{Text: g.text(from)}}})
			last = time.Now()
		}
		if st == lost {
			panic(http.ErrAbortHandler)
		}
		if st == finished || st == cancelled {
			reason := "stop"
			if st == cancelled {
				reason = "cancelled"
			}
			writeChunk(w, chunk{
				ID: g.id, Index: from, Choices: []choice{{FinishReason: reason}}, Usage: &usage{CompletionTokens: tokens},
			})
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if time.Since(last) > keepAlive {
			fmt.Fprint(w, ": keep-alive\n\n")
			last = time.Now()
		}
		flusher.Flush()
	}
}

// waitForTokens returns the number of tokens that the generation has produced and its
// state. If no token from the index on exists yet, it first waits for one change.
func (e *Engine) waitForTokens(g *generation, from int) (tokens int, st state) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.tokens <= from && (g.state == waiting || g.state == running) {
		e.changed.Wait()
	}
	return g.tokens, g.state
}

func writeChunk(w io.Writer, c chunk) {
	raw, err := json.Marshal(c)
	if err != nil { // a struct of strings and numbers always encodes
		panic(err)
	}
	fmt.Fprintf(w, "data: %s\n\n", raw)
}
