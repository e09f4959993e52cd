package engine

import (
	"net/http"
	"strings"
	"time"
)

// StreamFaults selects the faults of an engine's streams. The zero value injects no
// fault.
type StreamFaults struct {
	// Duplicate sends every token whose index is a multiple of Duplicate twice.
	// 0 duplicates none.
	Duplicate int
	// Gap omits every token whose index is a multiple of Gap, other than 0, on the
	// first connection of a generation. 0 omits none.
	Gap int
	// StallAfter stops writing after this many tokens of a connection, without
	// sending keep-alives, and leaves the connection open. It applies only to the
	// first connection of a generation. 0 never stalls.
	StallAfter int
	// CutAfter breaks off each connection after this many tokens. 0 breaks off none.
	CutAfter int
	// FailAll responds to every request for a new generation with status 503.
	FailAll bool
	// FirstDelay delays the response to each new generation, and so its first token.
	FirstDelay time.Duration
	// RerunLost starts a generation that was lost in a crash again, under its old
	// id, when a caller requests to resume it. The tokens of the new generation
	// differ from those of the lost one.
	RerunLost bool
	// IgnoreMax doubles the maximum number of tokens that the caller set.
	IgnoreMax bool
	// RateLimit is the rate of requests per second that the engine states in its responses and its
	// load report; 0 states none. It is not enforced.
	RateLimit float64
}

// SetFaults replaces the faults of the streams that start from now on.
func (e *Engine) SetFaults(f StreamFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) currentFaults() StreamFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// rerun starts a generation that was lost in a crash again under its old id, if the
// fault RerunLost is set; the new tokens differ from the lost ones. Otherwise it
// returns nil.
func (e *Engine) rerun(id string) *generation {
	e.mu.Lock()
	lost := e.lostGens[id]
	e.mu.Unlock()
	if lost == nil || !e.currentFaults().RerunLost {
		return nil
	}
	g := e.accept(id, lost.promptText, lost.prompt, lost.length, lost.priority, lost.blocks)
	e.mu.Lock()
	defer e.mu.Unlock()
	g.salt = g.boot
	g.length = lost.length
	return g
}

// textHash returns the hash with which all token texts of a generation begin.
func textHash(g *generation) string {
	hash, _, _ := strings.Cut(g.text(0), "-")
	return hash
}

// faultyWriter writes a stream's tokens and injects the faults.
type faultyWriter struct {
	w      http.ResponseWriter
	r      *http.Request
	faults StreamFaults
	// resumed is set on every connection of a generation except the first one.
	resumed bool
	// sent is the number of tokens written on this connection, without duplicates.
	sent int
}

// writeToken writes one token. It panics with http.ErrAbortHandler to break off the
// connection.
func (f *faultyWriter) writeToken(c chunk) {
	n := c.Index
	if f.faults.Gap > 0 && !f.resumed && n > 0 && n%f.faults.Gap == 0 {
		return
	}
	writeChunk(f.w, c)
	f.sent++
	if f.faults.Duplicate > 0 && n%f.faults.Duplicate == 0 {
		writeChunk(f.w, c)
	}
	if f.faults.StallAfter > 0 && !f.resumed && f.sent >= f.faults.StallAfter {
		f.flush()
		<-f.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.faults.CutAfter > 0 && f.sent >= f.faults.CutAfter {
		f.flush()
		panic(http.ErrAbortHandler)
	}
}

func (f *faultyWriter) flush() {
	if fl, ok := f.w.(http.Flusher); ok {
		fl.Flush()
	}
}
