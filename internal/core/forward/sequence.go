package forward

import (
	"strconv"
	"time"
)

// EventOrder is how an event of a stream follows the last one that the caller has.
type EventOrder string

// Orders of events.
const (
	// InOrder: the event is the next one, or the first that the caller gets.
	InOrder EventOrder = "in_order"
	// Repeated: the caller has the event, or a later one.
	Repeated EventOrder = "repeated"
	// Gap: events before it are missing.
	Gap EventOrder = "gap"
	// Unnumbered: the event or the last one has no number as its id, so that nothing tells what follows it.
	Unnumbered EventOrder = "unnumbered"
)

// OrderOf returns how an event with an id follows the last event that the caller has, also from earlier tries.
func (c *Call) OrderOf(id string) EventOrder {
	last := c.lastReceived()
	if last == "" && c.Events == 0 {
		return InOrder
	}
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return Unnumbered
	}
	number, err := strconv.ParseInt(id, 10, 64)
	switch {
	case err != nil:
		return Unnumbered
	case number <= before:
		return Repeated
	case number > before+1:
		return Gap
	}
	return InOrder
}

// lastReceived returns the id of the last event that the caller has, also from earlier tries; "" if there is none, or
// it has no id.
func (c *Call) lastReceived() string {
	if c.Events == 0 {
		return c.AfterEvent
	}
	return c.LastEvent
}

// HasEnded reports whether the generation of an attempt whose connection has ended is complete, by a report that the
// upstream gave after that: it is still the process that ran the generation, and has made no event that did not arrive. The
// report may be older than the end, and still list the generation.
func (c *Call) HasEnded(a *Attempt, r RunReport) bool {
	if r.Born != 0 && a.Entry.Born != 0 && r.Born != a.Entry.Born {
		return false
	}
	received, known := c.received()
	return !r.Listed || !known || r.Events <= received
}

// PastTimeLimit reports whether the time limit has passed that the upstream of an attempt was given, in whole milliseconds. It
// stops work then, whether its response is complete or not.
func (a *Attempt) PastTimeLimit(now time.Time) bool {
	return now.Sub(a.Sent) >= a.TimeLimit.Truncate(time.Millisecond)
}
