package demo

import (
	"context"
	"sync"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/platform"
)

// fault is one fault that a run injects.
type fault struct {
	// at is the time of the fault as a fraction of the run's expected duration, from 0
	// to 1.
	at          float64
	description string
	inject      func()
}

// faults lists the faults of a run, in order of time.
func (f *Fleet) faults() []fault {
	const downFor, frozenFor = 500 * time.Millisecond, 1500 * time.Millisecond
	store := f.Platform.SetFaults
	engines, instances := f.Engines, f.Instances
	return []fault{
		{0.08, "engine-1 crashes and comes back", func() { engines[0].Crash(downFor) }},
		{0.20, "engine-2 freezes", func() { engines[1].Freeze(frozenFor) }},
		{0.28, "callers' connections to entry-2 are cut", func() { instances[1].Link.Cut() }},
		{0.35, "the store goes down", func() { store(platform.Faults{Down: true}) }},
		{0.50, "the store is back and loses answers to bookings", func() {
			store(platform.Faults{LoseAnswers: 3, LoseMatching: "booking/"})
		}},
		{0.55, "connections to engine-1 go silent for good", func() { engines[0].Link.Silence() }},
		{0.60, "engine-3 is to be reclaimed", func() { engines[2].SetLeaving(true) }},
		{0.65, "connections to engine-2 are cut", func() { engines[1].Link.Cut() }},
		{0.70, "entry-1 is killed", func() { instances[0].Kill() }},
		{0.75, "callers' connections to entry-3 go silent for good", func() { instances[2].Link.Silence() }},
		{0.80, "entry-2 freezes", func() { instances[1].Freeze(frozenFor) }},
		{0.90, "the store loses answers to debits", func() {
			store(platform.Faults{LoseAnswers: 2, LoseMatching: "budget/"})
		}},
		{1.00, "engine-3 is reclaimed", func() { engines[2].Server.Close() }},
	}
}

// startFaults injects the faults while requests run. It returns a function that waits until
// all faults are injected or the context ends, and then returns the descriptions of the
// injected faults.
func startFaults(ctx context.Context, f *Fleet, o Options) func() []string {
	span := time.Duration(o.Requests) * meanArrivalInterval
	var injected []string
	var wg sync.WaitGroup
	wg.Go(func() {
		start := time.Now()
		for _, s := range f.faults() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(time.Duration(s.at * float64(span))))):
				s.inject()
				injected = append(injected, s.description)
			}
		}
	})
	return func() []string {
		wg.Wait()
		return injected
	}
}
