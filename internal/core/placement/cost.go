package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// What a choice costs is counted in worth times seconds in flight: whatever takes an
// upstream, an instance or all of them takes what is in flight then. An answer's worth
// is its size in prompt tokens.
const (
	// outputWorth is the worth of an output token in prompt tokens: engines spend about ten
	// times as long on it.
	outputWorth = 10
	// readShare is the fraction of a prefill by which the answers beside it are delayed: steps
	// with a prefill take twice as long.
	readShare = 0.5
	// longLeft is the number of remaining tokens from which an answer is delayed by the whole
	// of a prefill beside it.
	longLeft = 48
	// lateSeconds is the cost of a late first token, in seconds in flight.
	lateSeconds = 20.0
	// lateFrom is the fraction of the target from which a predicted first token may turn out
	// late.
	lateFrom = 0.5
	// lateMax bounds that risk, in multiples of lateSeconds.
	lateMax = 2.0
	// memorySeconds is the cost of full memory, in seconds in flight.
	memorySeconds = 0.5
	// farSeconds is the cost of a stream that crosses data centres, where a lost packet is a
	// pause for its reader. A much higher value crowds answers together, which are then moved
	// too late when their upstream leaves.
	farSeconds = 0.2
)

// prospect is the predicted course of an answer.
type prospect struct {
	// worth and prompt are in prompt tokens, output is the expected number of tokens.
	worth  float64
	prompt float64
	output float64
	// target is the time to first token in seconds; 0 if there is none.
	target float64
	// dataCentre is the entry's location; "" if it does not matter.
	dataCentre string
}

// prospect predicts a new answer from learned lengths: estimates of callers are often far off.
func (h *Home) prospect(ask *Ask) prospect {
	output := h.lengths.curve(h.settings.Service, ask).remaining(0, ask.MaxOutput)
	return prospect{
		worth: float64(ask.Prompt) + outputWorth*output, prompt: float64(ask.Prompt), output: output,
		target: ask.FirstTarget.Seconds(), dataCentre: ask.DataCentre,
	}
}

// rest predicts the remainder of a running answer.
func (h *Home) rest(now time.Time, g *grant) prospect {
	tokens := g.tokensAt(now)
	left := h.left(g, tokens)
	return prospect{
		worth: float64(g.ask.Prompt) + outputWorth*(float64(tokens)+left), output: left, dataCentre: g.ask.DataCentre,
	}
}

// delayed is the worth of a running answer that is delayed by prompts read beside it.
func (h *Home) delayed(now time.Time, g *grant) float64 {
	if !h.settings.Predict || h.settings.Without.Has(mechanism.Delays) {
		return 0
	}
	p := h.rest(now, g)
	return p.worth * min(p.output/longLeft, 1)
}

// cost returns the cost of running an answer on an upstream, in worth times seconds: its own
// time in flight and the delay of others by its prompt.
func (s *summary) cost(at int64, p *prospect) float64 {
	first := (s.unreadAt(at) + p.prompt) / s.rate
	seconds := first + p.output*s.pace + memorySeconds*(1-s.free) + s.penalty
	if p.dataCentre != "" && p.dataCentre != s.dataCentre {
		seconds += farSeconds
	}
	if from := lateFrom * p.target; first > from && p.target > 0 {
		seconds += lateSeconds * min((first-from)/(p.target-from), lateMax)
	}
	return p.worth*seconds + s.running*readShare*p.prompt/s.rate
}
