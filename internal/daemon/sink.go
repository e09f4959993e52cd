package daemon

import (
	"sync"

	"mulberrylug.example/mulberrylug/internal/core"
)

// maxBacklogTokens is the maximum number of tokens that a sink buffers for a caller that reads
// slowly.
const maxBacklogTokens = 4096

// Sink buffers the tokens and the outcome of one request for its caller. It never blocks the
// loop. If the caller falls behind by maxBacklogTokens tokens, its response is broken off, so that
// the backlog can't use unlimited memory. The caller may resume from the last event that it read.
type Sink struct {
	// Ready receives a value when Take has new tokens or the outcome to return.
	Ready chan struct{}

	mu         sync.Mutex
	tokens     []core.Deliver
	finish     *core.Finish // the outcome, nil until the request has ended
	overflowed bool         // a token arrived while the backlog was full
}

func newSink() *Sink { return &Sink{Ready: make(chan struct{}, 1)} }

func (s *Sink) deliver(d core.Deliver) {
	s.mu.Lock()
	if len(s.tokens) >= maxBacklogTokens {
		s.overflowed = true
	}
	if s.overflowed {
		s.tokens = nil // no token may be delivered after a gap
	} else {
		s.tokens = append(s.tokens, d)
	}
	s.mu.Unlock()
	s.wake()
}

func (s *Sink) end(f core.Finish) {
	s.mu.Lock()
	s.finish = &f
	s.mu.Unlock()
	s.wake()
}

func (s *Sink) wake() {
	select {
	case s.Ready <- struct{}{}:
	default:
	}
}

// Take returns the tokens that arrived since the last call, and the outcome, which is nil until
// the request has ended.
func (s *Sink) Take() ([]core.Deliver, *core.Finish) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := s.tokens
	s.tokens = nil
	return tokens, s.finish
}

// Overflowed reports whether the caller has fallen too far behind. From then on, nothing that Take
// returns may be sent to the caller.
func (s *Sink) Overflowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overflowed
}

// sinks holds the sinks of open requests by request id.
type sinks struct {
	mu   sync.Mutex
	byID map[string]*Sink
}

func (s *sinks) add(id string) *Sink {
	s.mu.Lock()
	defer s.mu.Unlock()
	sink := newSink()
	s.byID[id] = sink
	return sink
}

func (s *sinks) get(id string) *Sink {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *sinks) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

func (s *sinks) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}
