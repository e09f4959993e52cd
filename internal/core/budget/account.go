package budget

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// account is the state that a home keeps of one organisation.
type account struct {
	org    string
	limits config.Limits
	// configVersion is the newest configuration version seen; limits is taken from it.
	configVersion int64
	period        int64
	// epoch is incremented when earlier reservations may no longer be refunded into available:
	// at a new period and when the limit is lowered.
	epoch int
	// available is the part of the debited chunks that is not reserved.
	available config.Money
	// excess is the debited amount that must not be spent and is to be returned to the row.
	excess config.Money
	// version and row are the stored row as last read, at readAt.
	version       int64
	row           Row
	readAt        time.Time
	pending       *transfer
	waiting       []Request
	reserved      reservations
	requestBucket bucket
	tokenBucket   bucket
	lastUsed      time.Time
}

// debited returns the amount debited in the account's current period.
func (a *account) debited() config.Money {
	if a.row.Period < a.period {
		return 0
	}
	return a.row.Debited
}

// configure applies the limits of the newest configuration seen. Requests from entries that
// still use an older configuration do not restore its limits.
func (a *account) configure(now time.Time, req Request) {
	if req.Version >= a.configVersion {
		a.setLimits(req.Limits)
		a.configVersion = req.Version
	}
	a.startPeriod(PeriodOf(now, a.limits))
}

// setLimits applies limits. A chunk that was debited under a higher limit must not be spent
// under a lower one: it is returned to the row.
func (a *account) setLimits(l config.Limits) {
	old := a.limits
	a.limits = l
	if old.Period != l.Period {
		a.version, a.row, a.period, a.pending = 0, Row{}, 0, nil
		a.available = 0
		a.excess = 0
		a.epoch++
	} else if l.Spend < old.Spend {
		a.excess += a.available
		a.available = 0
		a.epoch++
	}
}

// startPeriod starts a period. The rest of a chunk of an older period cannot be spent.
func (a *account) startPeriod(period int64) {
	if period <= a.period {
		return
	}
	a.period = period
	a.available, a.excess = 0, 0
	a.epoch++
	if a.pending != nil && a.pending.unresolved {
		a.pending = nil
	}
}

// updateRow replaces the cached row by the stored one. A row of a later period means that this
// instance's clock is behind.
func (a *account) updateRow(now time.Time, row table.Row) {
	a.version, a.row, a.readAt = row.Version, decodeRow(row.Value), now
	a.startPeriod(a.row.Period)
}

func (a *account) refund(r reservation, used config.Money) {
	if r.epoch == a.epoch {
		a.available += r.amount - min(used, r.amount)
	}
}

func (a *account) isWaiting(request string) bool {
	return slices.ContainsFunc(a.waiting, func(w Request) bool { return w.RequestID == request })
}

// reservedAmount returns the sum of the reservations that may still be refunded.
func (a *account) reservedAmount() config.Money {
	var sum config.Money
	for _, r := range a.reserved {
		if r.epoch == a.epoch {
			sum += r.amount
		}
	}
	return sum
}

// idle reports whether the account has no reservation, no waiting request and no transfer. It
// may still have an available amount.
func (a *account) idle() bool {
	return len(a.reserved) == 0 && len(a.waiting) == 0 && a.pending == nil
}

// popWaiting removes the first waiting request, and frees the queue's memory with the last one.
func (a *account) popWaiting() {
	a.waiting = a.waiting[1:]
	if len(a.waiting) == 0 {
		a.waiting = nil
	}
}
