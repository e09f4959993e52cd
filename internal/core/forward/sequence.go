package forward

import (
	"strconv"
	"time"
)

// EventOrder is how an event of a stream follows the last one that the caller has.
type EventOrder string

// Orders of events.
const (
	// InOrder: the event is the next one, or nothing is known of the last one.
	InOrder EventOrder = "in_order"
	// Repeated: the caller has the event, or a later one.
	Repeated EventOrder = "repeated"
	// Gap: the number of the event is not the next one.
	Gap EventOrder = "gap"
	// Unnumbered: the event or the last one has no number as its id, so that nothing tells what follows it.
	Unnumbered EventOrder = "unnumbered"
)

// firstNumber is the highest number that the first event of a stream has.
const firstNumber = 1

// OrderOf returns how an event with an id follows the last event that the caller has, also from earlier tries.
func (c *Call) OrderOf(id string) EventOrder {
	before, err := strconv.ParseInt(c.lastReceived(), 10, 64)
	number, numberErr := strconv.ParseInt(id, 10, 64)
	switch {
	case err != nil && c.Events == 0:
		// A copy may hold events that were made before and did not arrive.
		if c.current != nil && c.current.CopyAt != "" && number > firstNumber {
			return Gap
		}
		return InOrder
	case err != nil || numberErr != nil:
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

// positionKnown reports whether it is known after which event a stream goes on.
func (c *Call) positionKnown() bool {
	_, err := strconv.ParseInt(c.LastEvent, 10, 64)
	return c.Events == 0 || err == nil
}

// MayFollow reports whether an event in an order may be passed on to the caller. The first event of an attempt must be
// the next one: another run, an older copy or a late response would repeat events or leave some out. Within an attempt
// the connection keeps the order, and an upstream may number its events as it likes, as long as the numbers rise.
func (c *Call) MayFollow(o EventOrder) bool {
	begins := c.current != nil && c.current.events == 0
	switch o {
	case Repeated:
		return false
	case Gap:
		return !begins || c.sparse
	case Unnumbered:
		return !begins
	}
	return true
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
