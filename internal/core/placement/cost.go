package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// What a choice costs is counted in worth times seconds in flight: whatever takes an
// upstream, an instance or all of them takes what is in flight then. An answer's worth
// is its size in prompt tokens.
const (
	// outputWorth is how many prompt tokens an output token is worth: making it
	// takes an engine about ten times as long.
	outputWorth = 10
	// readShare is the part of the time in which an upstream reads a prompt that
	// the answers beside it wait: a step that reads takes twice as long as others.
	readShare = 0.5
	// longLeft is the rest of an answer in tokens from which on a prompt that is
	// read beside it delays it for all of that time.
	longLeft = 48
	// lateSeconds is what a first token that will be late costs, in seconds in
	// flight: to its caller it is worth little more than none.
	lateSeconds = 20.0
	// lateFrom is the part of the target from which on a predicted first token may
	// be late.
	lateFrom = 0.5
	// lateMost bounds the doubt, in multiples of what is likely late.
	lateMost = 2.0
	// memorySeconds is what full memory costs, in seconds in flight.
	memorySeconds = 0.5
	// farSeconds is what it costs that an answer crosses a link between data
	// centres, where a lost packet is a pause for its reader. With much more, answers
	// crowd together and are moved too late when their upstream leaves.
	farSeconds = 0.2
)

// prospect is what is expected of an answer.
type prospect struct {
	// worth and prompt are in prompt tokens, output in tokens yet to come.
	worth  float64
	prompt float64
	output float64
	// target is when the first token is due in seconds, 0 if nothing is.
	target float64
	// dataCentre is where the entry stands, "" if that does not matter.
	dataCentre string
}

// prospect predicts a new answer. What was learnt of lengths counts here: callers'
// estimates are often far off.
func (h *Home) prospect(ask *Ask) prospect {
	output := h.lengths.curve(h.settings.Service, ask).remaining(0, ask.MaxOutput)
	return prospect{
		worth: float64(ask.Prompt) + outputWorth*output, prompt: float64(ask.Prompt), output: output,
		target: ask.FirstTarget.Seconds(), dataCentre: ask.DataCentre,
	}
}

// rest predicts what is left of an answer that runs.
func (h *Home) rest(now time.Time, g *grant) prospect {
	tokens := g.tokensAt(now)
	left := h.left(g, tokens)
	return prospect{
		worth: float64(g.ask.Prompt) + outputWorth*(float64(tokens)+left), output: left, dataCentre: g.ask.DataCentre,
	}
}

// delayed is the worth of an answer that prompts read beside it delay.
func (h *Home) delayed(now time.Time, g *grant) float64 {
	if !h.settings.Predict || h.settings.Without.Has(mechanism.Delays) {
		return 0
	}
	p := h.rest(now, g)
	return p.worth * min(p.output/longLeft, 1)
}

// cost is what it costs to run an answer on an upstream, in worth times seconds: its
// own time there, and what its prompt delays.
func (s *summary) cost(at int64, p *prospect) float64 {
	first := (s.unreadAt(at) + p.prompt) / s.rate
	seconds := first + p.output*s.pace + memorySeconds*(1-s.free) + s.penalty
	if p.dataCentre != "" && p.dataCentre != s.dataCentre {
		seconds += farSeconds
	}
	if from := lateFrom * p.target; first > from && p.target > 0 {
		seconds += lateSeconds * min((first-from)/(p.target-from), lateMost)
	}
	if s.reader && !p.isShort() {
		seconds += longAtReader
	}
	return p.worth*seconds + s.running*readShare*p.prompt/s.rate
}
