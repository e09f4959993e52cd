package placement

import (
	"math"
	"time"
)

const (
	// flowTimeConstant is the time constant with which the measurements of flowMeter decay. An
	// overload lasts some ten seconds, and engines come and go every few seconds.
	flowTimeConstant = 5 * time.Second
	// flowGuessWeight is the weight of the guessed rate, in seconds of measurement. Until the first
	// prompts of a burst are computed nothing is granted; with 0.3 s the rate then seems far too low.
	flowGuessWeight = 1.0
)

// work is an amount of work: cost as of Home.cost, and prompt tokens. Memory limits the first, prefill
// the second.
type work struct{ cost, prompts float64 }

func workOf(req *Request, cost float64) work { return work{cost: cost, prompts: float64(req.Prompt)} }

// add adds another amount, multiplied by a factor.
func (w *work) add(o work, factor float64) {
	w.cost += o.cost * factor
	w.prompts += o.prompts * factor
}

// time returns how long the work takes at a rate per second.
func (w work) time(rate work) time.Duration {
	return seconds(max(w.cost/max(rate.cost, 1), w.prompts/max(rate.prompts, 1)))
}

// flowMeter measures for each rank the work of this rank and of more urgent ones that is granted while
// such work waits, and the work that arrives. All measurements decay.
type flowMeter struct {
	updatedAt time.Time
	// granted is the work of a rank and of more urgent ones, granted while such work waited. supplied
	// is the prefill throughput that the pool had meanwhile, times the time in seconds.
	granted  [rankCount]work
	supplied [rankCount]float64
	// arrived is the work of a rank that arrived during arrivalSeconds.
	arrived        [rankCount]work
	arrivalSeconds float64
}

// advance decays the measurements for the time since the last call. waiting is the most urgent rank
// that waited meanwhile, rankCount if none did. supply is the prefill throughput of the pool.
func (m *flowMeter) advance(now time.Time, waiting int, supply float64) {
	since := now.Sub(m.updatedAt).Seconds()
	if m.updatedAt.IsZero() {
		since = 0
	}
	m.updatedAt = now
	if since <= 0 {
		return
	}
	keep := math.Exp(-since / flowTimeConstant.Seconds())
	for r := range rankCount {
		m.granted[r].add(m.granted[r], keep-1)
		m.arrived[r].add(m.arrived[r], keep-1)
		m.supplied[r] *= keep
		if r >= waiting {
			m.supplied[r] += since * supply
		}
	}
	m.arrivalSeconds = m.arrivalSeconds*keep + since
}

// recordArrival records the arrival of a request.
func (m *flowMeter) recordArrival(rank int, w work) { m.arrived[rank].add(w, 1) }

// recordGrant records the grant of a queued request.
func (m *flowMeter) recordGrant(rank int, w work) {
	for r := rank; r < rankCount; r++ {
		m.granted[r].add(w, 1)
	}
}

// rate returns the work per second that a rank and more urgent ones get at the present supply, in which
// upstreams that are leaving do not count. It is close to the guess until enough is measured.
func (m *flowMeter) rate(rank int, supply float64, guess work) work {
	measured := m.supplied[rank] / max(supply, 1)
	var out work
	out.add(m.granted[rank], 1/(measured+flowGuessWeight))
	out.add(guess, flowGuessWeight/(measured+flowGuessWeight))
	return out
}

// arrivals returns the work per second of a rank that arrives.
func (m *flowMeter) arrivals(rank int) (out work) {
	out.add(m.arrived[rank], 1/(m.arrivalSeconds+flowGuessWeight))
	return out
}

// minus returns what is left of a rate without another one, between the given fractions of the rate.
func (w work) minus(o work, from, to float64) work {
	return work{
		cost:    min(max(w.cost-o.cost, from*w.cost), to*w.cost),
		prompts: min(max(w.prompts-o.prompts, from*w.prompts), to*w.prompts),
	}
}
