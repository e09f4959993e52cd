package order

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/table"
)

// step is a stage in the processing of an order.
type step int

const (
	// idle: the upstream runs the wanted version, as far as known.
	idle step = iota
	// requestingTurn: the weight store was asked for a turn to load.
	requestingTurn
	// draining: the upstream gets no new work and finishes its running generations.
	draining
	// reading: the row was requested.
	reading
	// awaitingQuietPeriod: another home's order may still be sent or be in transit.
	awaitingQuietPeriod
	// writing: the order is being written to the row.
	writing
	// confirming: the order was sent; a report will show that it took effect.
	confirming
	// recording: the order took effect, and this is being written to the row.
	recording
)

// Machine orders one upstream to load versions on behalf of one home. Several homes may have a
// machine for the same upstream if their views differ; the row and QuietPeriod keep their
// orders apart.
type Machine struct {
	upstream string
	sender   string
	// checksFencing is set if the upstream refuses old fencing numbers.
	checksFencing bool

	step          step
	wantedVersion string
	actualVersion string
	// running is the number of running generations that the upstream reported.
	running int
	// stepStart is when the current step started. resumeAt is the earliest time of the next action.
	stepStart time.Time
	resumeAt  time.Time

	// row is the table row as last read or written; stored is its decoded value. seenVersion is the
	// row's version, which this machine first saw at seenAt.
	row         table.Row
	stored      Row
	seenVersion int64
	seenAt      time.Time
	// pending is the latest order of this machine, which may be sent before sendBefore.
	pending    Row
	sendBefore time.Time
	// responded is set once the upstream has responded to the pending order.
	responded bool
	// orderCount is the number of orders written, used for their ids.
	orderCount int
}

// NewMachine returns a machine for an upstream. sender must be unique to this process run of
// the instance, because the ids of orders are derived from it.
func NewMachine(upstream, sender string, checksFencing bool) *Machine {
	return &Machine{upstream: upstream, sender: sender, checksFencing: checksFencing}
}

// Want sets the version that the configuration requires; "" requires none.
func (m *Machine) Want(version string) { m.wantedVersion = version }

// Busy reports whether the upstream must get no new work because it is about to load another
// version.
func (m *Machine) Busy() bool { return m.step > requestingTurn && m.step != recording }

// Report processes an upstream's report: the version that it runs and the number of its running
// generations.
func (m *Machine) Report(now time.Time, version string, running int) []Action {
	m.actualVersion, m.running = version, running
	if m.step == confirming && m.tookEffect() {
		return m.recordConfirmed(now)
	}
	return m.Tick(now)
}

// Tick performs the actions that are due.
func (m *Machine) Tick(now time.Time) []Action {
	if now.Before(m.resumeAt) {
		return nil
	}
	switch m.step {
	case idle:
		if m.wantedVersion == "" || m.actualVersion == m.wantedVersion {
			return nil
		}
		m.setStep(now, requestingTurn)
		return []Action{{Turn: true}}
	case draining:
		if m.running > 0 && now.Sub(m.stepStart) < DrainTimeout {
			return nil
		}
		return m.readRow(now)
	case awaitingQuietPeriod:
		return m.writeOrder(now)
	case requestingTurn, reading, writing, recording:
		// An overdue response is assumed to be lost: start again.
		if now.Sub(m.stepStart) > QuietPeriod {
			m.setStep(now, idle)
		}
	case confirming:
		// An order that did not take effect in time is repeated, starting with the row.
		if now.Sub(m.stepStart) > QuietPeriod {
			return m.readRow(now)
		}
	}
	return nil
}

// tookEffect reports whether the pending order is complete. If the upstream ignores fencing
// numbers, it is not enough that it runs the ordered version: it may have loaded the version
// because of another home's order while this order is still in transit, and this order would then
// undo the next one. An order to which the upstream has responded is no longer in transit.
func (m *Machine) tookEffect() bool {
	return m.actualVersion == m.pending.Value && (m.checksFencing || m.responded)
}

func (m *Machine) setStep(now time.Time, s step) {
	m.step, m.stepStart, m.resumeAt = s, now, time.Time{}
}

func (m *Machine) backOff(now time.Time) { m.resumeAt = now.Add(retryDelay) }

func (m *Machine) readRow(now time.Time) []Action {
	m.setStep(now, reading)
	return []Action{{Read: true}}
}

// OnTurn processes the weight store's response: the time to wait for a turn to load, 0 if the turn
// is granted. ok is false if there was no response.
func (m *Machine) OnTurn(now time.Time, wait time.Duration, ok bool) []Action {
	if m.step != requestingTurn {
		return nil
	}
	if ok && wait == 0 {
		m.setStep(now, draining)
		return m.Tick(now)
	}
	m.setStep(now, idle)
	m.resumeAt = now.Add(max(wait, retryDelay))
	return nil
}

// OnRow processes the row that was read; ok is false if the table did not respond.
func (m *Machine) OnRow(now time.Time, row table.Row, ok bool) []Action {
	if m.step != reading {
		return nil
	}
	stored, err := decode(row)
	if !ok || err != nil {
		m.setStep(now, draining)
		m.backOff(now)
		return nil
	}
	m.recordRow(now, row, stored)
	if m.pending.ID != "" && stored.ID == m.pending.ID && !stored.Confirmed && now.Before(m.sendBefore) {
		return m.sendOrder(now) // the write whose response was lost took effect
	}
	if m.wantedVersion == "" || m.actualVersion == m.wantedVersion {
		m.setStep(now, idle)
		return nil
	}
	m.setStep(now, awaitingQuietPeriod)
	m.resumeAt = m.earliestWrite(now)
	return m.Tick(now)
}

// recordRow stores the row, and the current time if the row's version is new here.
func (m *Machine) recordRow(now time.Time, row table.Row, stored Row) {
	m.row, m.stored = row, stored
	if row.Version != m.seenVersion {
		m.seenVersion, m.seenAt = row.Version, now
	}
}

// earliestWrite returns the earliest time at which the next order may be written. An upstream
// that ignores fencing numbers would execute a paused sender's old order after a newer one. Once
// QuietPeriod has passed since the row was first seen, the lease of the old order has expired, and
// every call that carried that order has returned or was cancelled.
func (m *Machine) earliestWrite(now time.Time) time.Time {
	if m.checksFencing || m.row.Version == 0 || m.stored.Confirmed {
		return now
	}
	return m.seenAt.Add(QuietPeriod)
}

// writeOrder writes a new order to the row and raises the fencing number.
func (m *Machine) writeOrder(now time.Time) []Action {
	if m.wantedVersion == "" || m.actualVersion == m.wantedVersion {
		m.setStep(now, idle)
		return nil
	}
	m.setStep(now, writing)
	m.orderCount++
	m.pending = Row{
		Fence: m.stored.Fence + 1, ID: fmt.Sprintf("%s/%d", m.sender, m.orderCount), Value: m.wantedVersion,
	}
	m.sendBefore = now.Add(Lease)
	m.responded = false
	return []Action{{Commit: m.updateTx(m.pending)}}
}

func (m *Machine) updateTx(r Row) *table.Tx {
	key := RowKey(m.upstream)
	return &table.Tx{
		Conds:  []table.Cond{{Key: key, Version: m.row.Version}},
		Writes: []table.Write{{Key: key, Value: encode(r)}},
	}
}

// Committed processes the result of a transaction.
func (m *Machine) Committed(now time.Time, res table.Result) []Action {
	switch m.step {
	case writing:
		if res.Status != table.Committed {
			return m.readRow(now)
		}
		m.recordRow(now, res.Find(RowKey(m.upstream)), m.pending)
		return m.sendOrder(now)
	case recording:
		m.setStep(now, idle)
	case idle, requestingTurn, draining, reading, awaitingQuietPeriod, confirming:
		// The result belongs to a step that was abandoned.
	}
	return nil
}

// sendOrder sends the order unless its lease has expired: a sender that was paused between write
// and send must not send an order that a successor has since replaced.
func (m *Machine) sendOrder(now time.Time) []Action {
	if !now.Before(m.sendBefore) {
		m.setStep(now, draining)
		return m.Tick(now)
	}
	m.setStep(now, confirming)
	return []Action{{Send: &Send{Fence: m.pending.Fence, Value: m.pending.Value, Before: m.sendBefore}}}
}

// OnResponse processes the upstream's response to the order with a fencing number. If the upstream
// refused the number, another home has sent a newer order.
func (m *Machine) OnResponse(now time.Time, fence int64, refused bool) {
	if fence != m.pending.Fence {
		return // response to an earlier order
	}
	m.responded = true
	if m.step == confirming && refused {
		m.setStep(now, idle)
		m.backOff(now)
	}
}

// recordConfirmed writes to the row that the order took effect, so that the next order need not
// wait.
func (m *Machine) recordConfirmed(now time.Time) []Action {
	done := m.pending
	done.Confirmed = true
	m.setStep(now, recording)
	return []Action{{Commit: m.updateTx(done)}}
}
