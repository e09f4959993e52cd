package trial

import (
	"mulberrylug.example/mulberrylug/internal/core/placement"
)

// centralQueue is a policy with one first-come-first-served queue for all engines and a
// record of the attempts in flight. It does not know output lengths in advance.
type centralQueue struct {
	run   *Run
	views []engineView
	// inFlight holds, for each engine, the attempts that were sent and have not ended, by
	// attempt id.
	inFlight []map[string]*Request
	queue    []*Request
	// fits reports whether an engine has room for a request. The request goes to the engine
	// with the lowest cost among those with room.
	fits func(c *centralQueue, engine int, q *Request) bool
	cost func(c *centralQueue, engine int) float64
}

func centralMaker(name string, fits func(*centralQueue, int, *Request) bool, cost func(*centralQueue, int) float64) Maker {
	return Maker{Name: name, Make: func(r *Run) Policy {
		c := &centralQueue{run: r, views: make([]engineView, len(r.engines)), fits: fits, cost: cost}
		for range r.engines {
			c.inFlight = append(c.inFlight, map[string]*Request{})
		}
		return c
	}}
}

// Arrive implements Policy.
func (c *centralQueue) Arrive(q *Request) {
	c.queue = append(c.queue, q)
	c.dispatchQueued()
}

// Report implements Policy.
func (c *centralQueue) Report(engine int, r placement.Report) {
	c.views[engine].update(c.run.now, r, c.run.work.ReportLag)
	c.dispatchQueued()
}

// Ended implements Policy.
func (c *centralQueue) Ended(_ *Request, id string, engine, _ int, _ bool) {
	delete(c.inFlight[engine], id)
	c.dispatchQueued()
}

// Tick implements Policy.
func (c *centralQueue) Tick() { c.dispatchQueued() }

// dispatchQueued sends requests from the head of the queue until one fits nowhere.
func (c *centralQueue) dispatchQueued() {
	for len(c.queue) > 0 {
		i := c.choose(c.queue[0])
		if i < 0 {
			return
		}
		q := c.queue[0]
		c.queue = c.queue[1:]
		id := q.nextAttempt()
		c.inFlight[i][id] = q
		c.views[i].add(c.run.now, q.Prompt)
		c.run.dispatch(q, id, i, 0)
	}
}

// choose returns the engine with the lowest cost that has room for a request, or -1.
func (c *centralQueue) choose(q *Request) int {
	best := -1
	for i := range c.views {
		if !c.views[i].takesWork(c.run.now) || !c.fits(c, i, q) {
			continue
		}
		if best < 0 || c.cost(c, i) < c.cost(c, best) {
			best = i
		}
	}
	return best
}

// watermark is the fraction of an engine's memory above which Watermark sends it no
// requests.
const watermark = 0.85

// Watermark queues requests, first come first served, while the memory of every engine is
// above a fixed watermark. It has one queue and counts the prompts sent since the last
// report; otherwise the requests between two reports would all go to one engine (herding).
func Watermark() Maker {
	fits := func(c *centralQueue, i int, q *Request) bool {
		return memoryCost(&c.views[i])+float64(q.Prompt)/float64(c.views[i].report.Capacity) <= watermark
	}
	return centralMaker("watermark", fits, func(c *centralQueue, i int) float64 { return memoryCost(&c.views[i]) })
}

// Thin is the first version of the home's policy: first come first served, on the
// engine with the fewest attempts in flight among those whose memory has room for the prompt
// and half of the maximum output of every attempt.
func Thin() Maker {
	fits := func(c *centralQueue, i int, q *Request) bool {
		used := q.Prompt + q.MaxOutput/2
		for _, o := range c.inFlight[i] {
			used += o.Prompt + o.MaxOutput/2
		}
		r := c.views[i].report
		return len(c.inFlight[i]) < r.MaxBatch && (len(c.inFlight[i]) == 0 || used <= r.Capacity)
	}
	return centralMaker("thin", fits, func(c *centralQueue, i int) float64 { return float64(len(c.inFlight[i])) })
}
