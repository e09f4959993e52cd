package placement

import (
	"math"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// tuning holds the parameters derived from the deployment's weights.
type tuning struct {
	// calmZ is the headroom in standard deviations while nothing waits, busyZ that with
	// patience's worth of work or more in the queue.
	calmZ, busyZ float64
	patience     time.Duration
	// reserve is the fraction of the capacity that stays free in addition.
	reserve float64
	// gap is the longest predicted time between tokens for new work, in seconds.
	gap float64
	// slack is the cost by which an organisation may lead another that waits.
	slack float64
	// perCost is the delay in the queue's order for each unit of cost.
	perCost float64
}

const (
	// evenBusyZ is busyZ with equal weights of stalls and steady output, zPerOctave its growth
	// with each doubling of the latter, minZ its minimum. evenCalmZ is calmZ, which is never
	// below busyZ.
	evenBusyZ  = 1.0
	zPerOctave = 0.175
	minZ       = 0.4
	evenCalmZ  = 1.4
	// evenPatience is the patience in seconds with equal weights.
	evenPatience = 2.0
	// memoryReserve is the fraction of memory kept free, about the lag of the ledger behind
	// the engine.
	memoryReserve = 0.03
	// steadyGap is the time between tokens in seconds that 95 in 100 must keep.
	steadyGap = 0.038
	// fairSlack is the lead of an organisation in cost: about two seconds of a pool of twelve
	// small engines.
	fairSlack = 20e6
	// maxCost bounds the cost that counts in the queue's order; maxAhead is the delay at
	// maxCost.
	maxCost  = 2e6
	maxAhead = 300 * time.Second
)

// tune derives the parameters from the weights. Only the ratio of steady output to stalls
// matters.
func tune(w config.Weights) tuning {
	stall := max(w.Stall, 0.01)
	steady := max((w.Preemptions+w.Tail)/2, 0.01)
	octaves := math.Log2(steady / stall)
	busy := max(evenBusyZ+zPerOctave*octaves, minZ)
	return tuning{
		calmZ:    max(evenCalmZ, busy),
		busyZ:    busy,
		patience: time.Duration(evenPatience * math.Exp2(octaves) * float64(time.Second)),
		gap:      steadyGap,
		slack:    fairSlack,
		reserve:  memoryReserve,
		perCost:  float64(maxAhead) / maxCost,
	}
}

// leaveOut disables the parameters of mechanisms that are left out.
func (t *tuning) leaveOut(without mechanism.Set) {
	if without.Has(mechanism.Headroom) {
		t.calmZ, t.busyZ = 0, 0
	}
	if without.Has(mechanism.Fairness) {
		t.slack = math.Inf(1)
	}
}

// headroom returns z for a queue: the more waits, the less memory is kept free.
func (t *tuning) headroom(backlog time.Duration) float64 {
	part := min(backlog.Seconds()/t.patience.Seconds(), 1)
	return t.calmZ + part*(t.busyZ-t.calmZ)
}
