package trial

import (
	"runtime"
	"slices"
	"sync"
	"time"
)

// maxDrainTime is the maximum time from the end of the arrivals until the last first token
// for the queues to count as emptied. It equals the configuration's default for the longest
// time that a request may queue.
const maxDrainTime = 20 * time.Second

// Emptied reports whether the queues became empty, that is, whether the policy sustained the
// arrival rate.
func (r Result) Emptied() bool {
	return r.Unanswered == 0 && r.Drained <= maxDrainTime
}

// Parallel calls f for 0 to n-1, with at most GOMAXPROCS calls at a time.
func Parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range min(n, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}

// Seeds runs a workload once for each seed, in parallel.
func Seeds(w Workload, m Maker, seeds []uint64) []Result {
	out := make([]Result, len(seeds))
	Parallel(len(seeds), func(i int) { out[i] = Play(w, m, seeds[i]) })
	return out
}

// DrainingRate searches the range from low to high for the highest rate, in requests per
// second and to within a 64th of the range, at which the policy empties its queues for more
// than half of the seeds.
func DrainingRate(w Workload, m Maker, seeds []uint64, low, high float64) float64 {
	for range 6 {
		w.Rate = (low + high) / 2
		emptied := 0
		for _, r := range Seeds(w, m, seeds) {
			if r.Emptied() {
				emptied++
			}
		}
		if 2*emptied > len(seeds) {
			low = w.Rate
		} else {
			high = w.Rate
		}
	}
	return low
}

// Median returns the first result with the fields that are set below replaced by their medians
// over all given results.
func Median(list []Result) Result {
	m := list[0]
	m.Stall = median(list, func(r Result) time.Duration { return r.Stall })
	m.GapStall = median(list, func(r Result) time.Duration { return r.GapStall })
	m.Preemptions = median(list, func(r Result) int64 { return r.Preemptions })
	m.P95 = median(list, func(r Result) time.Duration { return r.P95 })
	m.P99 = median(list, func(r Result) time.Duration { return r.P99 })
	m.P999 = median(list, func(r Result) time.Duration { return r.P999 })
	m.LongestP99 = median(list, func(r Result) time.Duration { return r.LongestP99 })
	m.FirstP95 = median(list, func(r Result) time.Duration { return r.FirstP95 })
	m.Drained = median(list, func(r Result) time.Duration { return r.Drained })
	m.Done = median(list, func(r Result) int { return r.Done })
	m.Refused = median(list, func(r Result) int { return r.Refused })
	m.InTime = median(list, func(r Result) int { return r.InTime })
	m.Moved = median(list, func(r Result) int { return r.Moved })
	m.Late = median(list, func(r Result) int { return r.Late })
	m.Returned = median(list, func(r Result) int { return r.Returned })
	m.Served = median(list, func(r Result) int { return r.Served })
	m.Partial = median(list, func(r Result) int { return r.Partial })
	m.Unanswered = median(list, func(r Result) int { return r.Unanswered })
	m.Goodput = median(list, func(r Result) float64 { return r.Goodput })
	return m
}

func median[T int | int64 | float64 | time.Duration](list []Result, f func(Result) T) T {
	var values []T
	for _, r := range list {
		values = append(values, f(r))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
