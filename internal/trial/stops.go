package trial

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// Stops describes planned stops of all instances, which overlap, under a load of bookings.
type Stops struct {
	Instances int
	// Every is the interval between two stops.
	Every time.Duration
	// Grace is the time from a stop to the last answers of the process, Restart the time from then until the
	// instance is ready again.
	Grace   time.Duration
	Restart time.Duration
	// For is the length of the run.
	For time.Duration
	// PerSecond is the load of all instances together in requests per second. A booking takes up to Work at its
	// upstream, one in eight up to LongWork.
	PerSecond      float64
	Work, LongWork time.Duration
	// Timeout is the time limit of the route.
	Timeout time.Duration
	// AdmitAll admits all requests until the process ends, and shows what the rule of the drain is worth.
	AdmitAll bool
	Seed     uint64
}

// StopsResult holds the numbers of requests by their end.
type StopsResult struct {
	// Served requests got the response of their upstream, TimedOut ones had none within the time limit of the route.
	Served, TimedOut int
	// Refused requests were not run, also at their second attempt.
	Refused int
	// Lost requests were passed on, and the process ended before their upstream responded.
	Lost int
}

const (
	stopsService = "service"
	// stopsSlots is the number of bookings that the upstream runs at once, more than there are.
	stopsSlots = 1000
	// stopsEntryTTL is how long a caller uses the address that the directory gave it.
	stopsEntryTTL = time.Second
	// stopsWarmUp is the time before the first stop, in which instances measure how long a booking takes.
	stopsWarmUp = 5 * time.Second
	// stopsReconnect is when a caller returns whose connection was refused.
	stopsReconnect = time.Second
)

// stopsProcess is a process of an instance.
type stopsProcess struct {
	gate *forward.Gate
	// end is when the process ends, 0 while no stop has begun.
	end time.Duration
}

// stopsCaller is a caller with the instance that it uses.
type stopsCaller struct {
	instance int
	until    time.Duration
}

type stopsRun struct {
	Stops
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	seq       int
	table     *route.Table
	processes []*stopsProcess // of each instance the newest one
	// open is the number of bookings that are at the upstream.
	open   int
	result StopsResult
}

// PlayStops simulates the stops in virtual time.
func PlayStops(s Stops) StopsResult {
	r := &stopsRun{Stops: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed))}
	r.table = route.NewTable(route.Config{
		Version:  1,
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Once, Timeout: s.Timeout, MaxAttempts: 1, Targets: []route.Target{{Service: stopsService, Weight: 1}}}},
		Services: []route.Service{{Name: stopsService}},
	})
	for k := range s.Instances {
		r.processes = append(r.processes, &stopsProcess{gate: r.newGate()})
		r.after(stopsWarmUp+time.Duration(k)*s.Every, func() { r.stop(k) })
	}
	for range 4 * s.Instances {
		c := &stopsCaller{instance: r.rng.IntN(s.Instances), until: time.Duration(r.rng.Float64() * float64(stopsEntryTTL))}
		r.after(r.pause(), func() { r.request(c) })
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result
}

func (r *stopsRun) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now + d, seq: r.seq, do: do})
}

func (r *stopsRun) time() time.Time { return time.Unix(1000, 0).Add(r.now) }

// pause returns the time until a caller's next request.
func (r *stopsRun) pause() time.Duration {
	return time.Duration(r.rng.ExpFloat64() * float64(4*r.Instances) / r.PerSecond * float64(time.Second))
}

// work returns the time that a booking takes at its upstream.
func (r *stopsRun) work() time.Duration {
	longest := r.Work
	if r.rng.IntN(8) == 0 {
		longest = r.LongWork
	}
	return time.Duration((0.2 + 0.8*r.rng.Float64()) * float64(longest))
}

func (r *stopsRun) newGate() *forward.Gate {
	g := forward.New(forward.Options{Name: "instance", RetryWindow: 10 * time.Second, Seed: r.rng.Uint64()})
	g.Adopt(r.table)
	g.SetCordons(r.time(), cordon.NewSet(1, nil))
	e := roster.Entry{ID: "upstream", Service: stopsService, Address: "a", Slots: stopsSlots}
	g.Roster().Update(r.time(), []roster.Change{{ID: e.ID, Version: 1, Valid: true, Entry: e}}, 1)
	return g
}

// stop begins the drain of an instance, and schedules its next process.
func (r *stopsRun) stop(instance int) {
	p := r.processes[instance]
	p.end = r.now + r.Grace
	if !r.AdmitAll {
		p.gate.Drain(r.time().Add(r.Grace))
	}
	r.after(r.Grace+r.Restart, func() { r.processes[instance] = &stopsProcess{gate: r.newGate()} })
}

// ready returns the instances that do not drain.
func (r *stopsRun) ready() (list []int) {
	for k, p := range r.processes {
		if p.end == 0 {
			list = append(list, k)
		}
	}
	return list
}

// renew makes a caller ask the directory, which names a ready instance. While none is ready, callers keep theirs.
func (r *stopsRun) renew(c *stopsCaller) {
	c.until = r.now + stopsEntryTTL
	if ready := r.ready(); len(ready) > 0 {
		c.instance = ready[r.rng.IntN(len(ready))]
	}
}

// request sends a booking, once more if it was refused, and schedules the caller's next one.
func (r *stopsRun) request(c *stopsCaller) {
	if r.now < r.For {
		r.after(r.pause(), func() { r.request(c) })
	}
	if r.now >= c.until {
		r.renew(c)
	}
	wait, refused := r.send(c)
	if !refused {
		return
	}
	r.after(wait, func() {
		r.renew(c)
		if _, refused := r.send(c); refused {
			r.result.Refused++
		}
	})
}

// send sends a booking and schedules its end. It reports whether the booking was refused, or reached no process, and
// when the caller may return.
func (r *stopsRun) send(c *stopsCaller) (retryAfter time.Duration, refused bool) {
	p := r.processes[c.instance]
	if p.end > 0 && r.now >= p.end {
		return stopsReconnect, true
	}
	p.gate.SetAlone(len(r.ready()) == 0)
	call, refusal := p.gate.Admit(r.time(), forward.Request{ID: fmt.Sprint(r.seq), Host: "h", Path: "/", Timeout: r.Timeout})
	if refusal != nil {
		panic("gate refused a request before placement: " + string(refusal.Reason)) // the configuration is wrong
	}
	s := p.gate.Start(r.time(), call)
	if s.Send == nil {
		return s.Refuse.RetryAfter, true
	}
	work := r.work()
	r.open++
	r.after(min(work, r.Timeout), func() {
		r.open--
		p.gate.Observe(r.time(), s.Send.Upstream, forward.Report{Running: r.open, Slots: stopsSlots})
		switch {
		case p.end > 0 && r.now > p.end:
			r.result.Lost++
		case work > r.Timeout:
			r.result.TimedOut++
		default:
			r.result.Served++
			p.gate.Ended(r.time(), call, forward.Done, false)
		}
	})
	return 0, false
}
