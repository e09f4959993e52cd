package placement

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// The cost of a placement is measured in value times seconds in flight, as the failure of an
// upstream or an instance destroys the generations in flight at that moment. The value of a
// generation is its size in prompt tokens.
const (
	// outputValue is the value of an output token in prompt tokens: engines take about ten times
	// as long to decode it as to prefill a prompt token.
	outputValue = 10
	// prefillDelayShare is the fraction of a prefill's duration by which the generations on the
	// same upstream are delayed: engine steps that include prefill take twice as long.
	prefillDelayShare = 0.5
	// longRemaining is the number of remaining tokens from which a generation is delayed by the
	// whole of a concurrent prefill.
	longRemaining = 48
	// lateCostSeconds is the cost of a first token after its target, in seconds in flight.
	lateCostSeconds = 20.0
	// lateRiskStart is the predicted time to first token, as a fraction of the target, from which
	// the first token is at risk of being late.
	lateRiskStart = 0.5
	// maxLateRisk bounds the cost of that risk, in multiples of lateCostSeconds.
	maxLateRisk = 2.0
	// fullMemorySeconds is the cost of full memory, in seconds in flight.
	fullMemorySeconds = 0.5
	// remoteSeconds is the cost of a stream that crosses data centres, where a lost packet delays
	// tokens, in seconds in flight. A much higher value concentrates generations on fewer
	// upstreams, and some are then moved too late when their upstream leaves.
	remoteSeconds = 0.2
)

// prediction is the predicted course of a generation.
type prediction struct {
	// value and prompt are in prompt tokens, output is the expected number of output tokens.
	value  float64
	prompt float64
	output float64
	// target is the target of the time to first token in seconds; 0 means none.
	target float64
	// dataCentre is the entry's location; "" if it is not considered.
	dataCentre string
}

// predictNew predicts a new generation. It uses learned lengths, as the estimates of callers are
// often far off.
func (h *Home) predictNew(req *Request) prediction {
	output := h.lengths.curve(h.settings.Service, req).remaining(0, req.MaxOutput)
	return prediction{
		value: float64(req.Prompt) + outputValue*output, prompt: float64(req.Prompt), output: output,
		target: req.FirstTarget.Seconds(), dataCentre: req.DataCentre,
	}
}

// predictRest predicts the remainder of a running generation.
func (h *Home) predictRest(now time.Time, g *grant) prediction {
	tokens := g.tokensAt(now)
	left := h.remainingTokens(g, tokens)
	return prediction{
		value: float64(g.req.Prompt) + outputValue*(float64(tokens)+left), output: left, dataCentre: g.req.DataCentre,
	}
}

// delayedValue returns the value of a running generation that a concurrent prefill delays. It is
// reduced for generations of fewer than longRemaining further tokens.
func (h *Home) delayedValue(now time.Time, g *grant) float64 {
	if !h.settings.Predict || h.settings.Without.Has(mechanism.Delays) {
		return 0
	}
	p := h.predictRest(now, g)
	return p.value * min(p.output/longRemaining, 1)
}

// cost returns the cost of running a generation on an upstream, in value times seconds: its own
// time in flight plus the delay of others by its prefill.
func (s *summary) cost(at int64, p *prediction) float64 {
	factor := s.slowdown.At(at)
	usual := (s.prefillTokensAt(at) + p.prompt) / s.rate
	first, total := usual, usual+p.output*s.pace
	if s.slowdown.Stated() {
		first, total = s.slowdown.SecondsFrom(factor, first), s.slowdown.SecondsFrom(factor, total)
	}
	seconds := total + fullMemorySeconds*(1-s.free) + s.penalty
	if p.dataCentre != "" && p.dataCentre != s.dataCentre {
		seconds += remoteSeconds
	}
	if from := lateRiskStart * p.target; first > from && p.target > 0 {
		seconds += lateCostSeconds * min((first-from)/(p.target-from), maxLateRisk)
	}
	return p.value*seconds + s.runningValue*prefillDelayShare*p.prompt/s.rate*factor
}
