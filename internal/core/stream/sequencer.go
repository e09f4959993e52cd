// Package stream delivers the tokens of a generation exactly once and in order, and never mixes
// tokens of two generations. It also signs the handles with which a caller resumes an
// interrupted stream at any instance.
package stream

// Verdict states how to treat a token received from an upstream.
type Verdict int

// Verdicts.
const (
	// Deliver: send the token to the caller.
	Deliver Verdict = iota
	// Duplicate: drop a token that was already delivered.
	Duplicate
	// Gap: earlier tokens are missing. Before any more tokens are delivered, the stream must be
	// resumed at Next.
	Gap
	// Foreign: drop a token of another generation.
	Foreign
)

// Generation identifies one generation. An engine that restarts may run a request
// again under the same id. Its tokens then differ from those already delivered, so the id alone
// does not identify the generation.
type Generation struct {
	// ID is the id of the attempt.
	ID string
	// Boot identifies the process run of the engine; "" for engines that do not report it.
	Boot string
}

// Sequencer decides which tokens reach the caller. The first token that it delivers binds it to
// a generation.
type Sequencer struct {
	generation Generation
	// next is the index of the next token to deliver.
	next int
}

// Resume returns a sequencer that is bound to a generation and has delivered the tokens before
// index next.
func Resume(g Generation, next int) Sequencer {
	return Sequencer{generation: g, next: next}
}

// Accept returns the verdict on the token at index of a generation.
func (s *Sequencer) Accept(g Generation, index int) Verdict {
	switch {
	case s.Bound() && s.generation != g:
		return Foreign
	case index < s.next:
		return Duplicate
	case index > s.next:
		return Gap
	}
	s.generation = g
	s.next++
	return Deliver
}

// Next returns the index of the next token to deliver.
func (s *Sequencer) Next() int { return s.next }

// Bound reports whether the sequencer is bound to a generation.
func (s *Sequencer) Bound() bool { return s.generation.ID != "" }

// Generation returns the generation that the sequencer is bound to; zero if it is not bound.
func (s *Sequencer) Generation() Generation { return s.generation }
