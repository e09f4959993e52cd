package core

import (
	"container/heap"
	"time"
)

// timers is a min-heap of the requests' wake-up times. Rescheduling a request adds an entry and
// leaves the old one in the heap. When an entry fires, request.wake shows whether it is still valid.
type timers struct{ h timerHeap }

type timer struct {
	at time.Time
	id string
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h timerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (t *timers) add(at time.Time, id string) { heap.Push(&t.h, timer{at: at, id: id}) }

// fire removes the entries that are due and calls f with the request id of each.
func (t *timers) fire(now time.Time, f func(id string)) {
	for len(t.h) > 0 && !t.h[0].at.After(now) {
		f(heap.Pop(&t.h).(timer).id)
	}
}
