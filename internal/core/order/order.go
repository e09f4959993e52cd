// Package order decides when an upstream is ordered to load another model version. An order is
// first written to the upstream's row in the table, by compare-and-set, which raises the fencing
// number and names the sender. Some upstreams refuse an order with an old number. Others ignore
// the number; for them orders are separated by time: no order is written until the previous one
// is confirmed, or can neither be sent nor be in transit any more.
package order

import (
	"encoding/json"
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// Lease is how long an order may be sent after its write was started, measured on the
	// sender's monotonic clock.
	Lease = 3 * time.Second
	// MessageTimeout bounds the time in transit of an order: after it, the call is cancelled and
	// its connection closed.
	MessageTimeout = 2 * time.Second
	// QuietPeriod is how long a home waits after it first saw another home's row. No clocks are
	// compared: the row was written before it was seen, so that by the end of QuietPeriod the
	// lease has expired and every call that carried the order has returned or was cancelled.
	QuietPeriod = Lease + MessageTimeout + clockMargin
	// clockMargin covers clocks that run at different speeds.
	clockMargin = 500 * time.Millisecond
	// DrainTimeout is how long an upstream may take to finish its running generations before it is
	// ordered to load another version regardless.
	DrainTimeout = 60 * time.Second
	// retryDelay is the delay after a step that failed.
	retryDelay = time.Second
)

// Row is the stored state of an upstream's orders.
type Row struct {
	// Fence is the fencing number of the latest order.
	Fence int64 `json:"fence"`
	// ID is unique to one order, so that the outcome of a write without a response can be
	// determined.
	ID string `json:"id"`
	// Value is the ordered model version.
	Value string `json:"value"`
	// Confirmed is set once the upstream was seen to run the version.
	Confirmed bool `json:"confirmed"`
}

// RowKey returns the table key of an upstream's order row.
func RowKey(upstream string) string { return "order/" + upstream }

// Action is an action that the machine requests: exactly one field is set.
type Action struct {
	// Commit is a transaction; its result is passed to Machine.Committed.
	Commit *table.Tx
	// Read requests the row, which is passed to Machine.OnRow.
	Read bool
	// Turn requests a turn to load from the weight store; the response is passed to
	// Machine.OnTurn.
	Turn bool
	// Send is an order that is to be sent to the upstream.
	Send *Send
}

// Send is an order to an upstream.
type Send struct {
	Fence int64
	Value string
	// Before is the latest time to send the order. It must be checked again right before the
	// first byte is written.
	Before time.Time
}

func decode(row table.Row) (Row, error) {
	var r Row
	if row.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fmt.Errorf("decode order row %s: %w", row.Key, err)
	}
	return r, nil
}

func encode(r Row) []byte {
	b, err := json.Marshal(r)
	if err != nil { // a struct of numbers and strings always encodes
		panic(err)
	}
	return b
}
