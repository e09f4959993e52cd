package placement

import (
	"math"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// tuning holds the parameters derived from the deployment's weights.
type tuning struct {
	// idleZ is the memory headroom in standard deviations while the queue is empty. busyZ is the
	// headroom while the queued work takes busyBacklog or longer to drain.
	idleZ, busyZ float64
	busyBacklog  time.Duration
	// reserve is the fraction of the memory that is kept free in addition.
	reserve float64
	// maxTokenTime is the time per token in seconds above which a busy upstream gets no new
	// work.
	maxTokenTime float64
	// slack is the cost by which one organisation may be served ahead of another waiting one.
	slack float64
	// delayPerCost is the delay in the queue's order, in nanoseconds, for each unit of cost.
	delayPerCost float64
}

const (
	// equalBusyZ is the value of busyZ if stalls and steady output have equal weights. busyZ
	// increases by zPerOctave with each doubling of the weight of steady output and is at least
	// minZ. equalIdleZ is the value of idleZ, unless busyZ is higher.
	equalBusyZ = 1.0
	zPerOctave = 0.175
	minZ       = 0.4
	equalIdleZ = 1.4
	// equalBusyBacklog is busyBacklog in seconds with equal weights.
	equalBusyBacklog = 2.0
	// memoryReserve is the fraction of memory kept free. It covers the tokens that engines have
	// produced but the ledger does not yet include.
	memoryReserve = 0.03
	// steadyTokenTime is the maximum time between tokens, in seconds, for 95 of 100 tokens.
	steadyTokenTime = 0.038
	// fairSlack is the permitted lead of an organisation, in cost: about two seconds of work of
	// a pool of twelve small engines.
	fairSlack = 20e6
	// maxCost bounds the cost that delays a request in the queue's order; maxAhead is the delay
	// at maxCost.
	maxCost  = 2e6
	maxAhead = 300 * time.Second
)

// tune derives the parameters from the weights. Only the ratio of the weight of steady output,
// the mean of preemptions and tail, to that of stalls matters.
func tune(w config.Weights) tuning {
	stall := max(w.Stall, 0.01)
	steady := max((w.Preemptions+w.Tail)/2, 0.01)
	octaves := math.Log2(steady / stall)
	busy := max(equalBusyZ+zPerOctave*octaves, minZ)
	return tuning{
		idleZ:        max(equalIdleZ, busy),
		busyZ:        busy,
		busyBacklog:  time.Duration(equalBusyBacklog * math.Exp2(octaves) * float64(time.Second)),
		maxTokenTime: steadyTokenTime,
		slack:        fairSlack,
		reserve:      memoryReserve,
		delayPerCost: float64(maxAhead) / maxCost,
	}
}

// disable neutralises the parameters of disabled mechanisms.
func (t *tuning) disable(without mechanism.Set) {
	if without.Has(mechanism.Headroom) {
		t.idleZ, t.busyZ = 0, 0
	}
	if without.Has(mechanism.Fairness) {
		t.slack = math.Inf(1)
	}
}

// headroom returns the memory headroom, in standard deviations, for a queue whose drain time is
// backlog. The longer the queue, the less memory is kept free.
func (t *tuning) headroom(backlog time.Duration) float64 {
	fraction := min(backlog.Seconds()/t.busyBacklog.Seconds(), 1)
	return t.idleZ + fraction*(t.busyZ-t.idleZ)
}
