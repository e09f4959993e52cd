package budget

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const (
	// chunksPerLimit sets the size of a chunk: the limit divided by it, or more if a request
	// needs more. A home that dies forfeits at most the available part of one chunk in a period.
	chunksPerLimit = 50
	// maxTransferTries is the number of consecutive tries of a transfer without a response after
	// which the waiting requests are refused.
	maxTransferTries = 2
	// maxRowAge is the maximum age of a cached row that a refusal may be based on: since
	// the row was read, another home may have returned a chunk.
	maxRowAge = time.Second
)

// Debit requests a transaction; its result is passed to Home.Debited.
type Debit struct {
	Org string
	ID  string
	Tx  table.Tx
}

// Reread requests the organisation's row; the row is passed to Home.Reread.
type Reread struct {
	Org string
	ID  string
	Key string
}

// startTransfer starts a transfer of amount. An account has at most one transfer in flight.
func (h *Home) startTransfer(a *account, amount config.Money) Action {
	id := h.nextTransferID()
	a.pending = &transfer{id: id, amount: amount, period: a.period, epoch: a.epoch, tx: a.transferTx(id, amount)}
	return a.sendPending()
}

func (h *Home) nextTransferID() string {
	h.transfers++
	return fmt.Sprintf("%s-%d", h.name, h.transfers)
}

func (a *account) sendPending() Action {
	p := a.pending
	p.unresolved = false
	p.tries++
	return Action{Debit: &Debit{Org: a.org, ID: p.id, Tx: p.tx}}
}

// retryPending retries a transfer whose outcome is unknown, with a new count of tries.
func (a *account) retryPending() Action {
	a.pending.tries = 0
	return a.sendPending()
}

func (h *Home) startReread(a *account) Action {
	a.pending = &transfer{id: h.nextTransferID(), readOnly: true}
	return Action{Reread: &Reread{Org: a.org, ID: a.pending.id, Key: rowKey(a.org, a.limits.Period)}}
}

// debitChunk debits another chunk for the first waiting request, or refuses the request if the
// limit is used up. If the cached row is older than maxRowAge, it rereads the row instead of
// refusing.
func (h *Home) debitChunk(now time.Time, a *account) []Action {
	need := a.waiting[0].Amount - a.available
	left := a.limits.Spend - a.debited()
	if need <= left {
		chunk := min(max(need, a.limits.Spend/chunksPerLimit), left)
		return []Action{h.startTransfer(a, chunk)}
	}
	if now.Sub(a.readAt) >= maxRowAge && a.waiting[0].Amount <= a.limits.Spend {
		return []Action{h.startReread(a)}
	}
	retryAfter := untilNextPeriod(now, a.limits)
	if a.reservedAmount()+left >= need {
		retryAfter = retryReserved // settlements of running requests may return enough
	}
	return append(h.refuseHead(a, ReasonSpend, retryAfter), h.serveWaiting(now, a)...)
}

// Debited processes the result of a transfer. Without a response the same transaction is tried
// again: it requires the row's version and writes the transfer's id into the row, so that it
// takes effect at most once and the row shows whether it did.
func (h *Home) Debited(now time.Time, org, id string, res table.Result) []Action {
	a := h.accounts[org]
	if a == nil || a.pending == nil || a.pending.id != id {
		return nil
	}
	p := a.pending
	a.startPeriod(PeriodOf(now, a.limits))
	if res.Status == table.Unknown {
		return h.onNoResponse(now, a)
	}
	a.pending = nil
	a.updateRow(now, res.Find(p.tx.Conds[0].Key))
	if !a.row.has(p.id) {
		return h.serveWaiting(now, a)
	}
	return h.finishTransfer(now, a, p)
}

// finishTransfer makes a debited chunk available. A chunk of an older period or limit must not
// be spent; one of an older limit is returned.
func (h *Home) finishTransfer(now time.Time, a *account, p *transfer) []Action {
	switch {
	case p.amount < 0:
	case p.epoch == a.epoch:
		a.available += p.amount
	case p.period == a.period:
		a.excess += p.amount
	}
	return h.serveWaiting(now, a)
}

// onNoResponse retries a transfer without a response, or marks it as unresolved. Transfers of an
// older period are dropped.
func (h *Home) onNoResponse(now time.Time, a *account) []Action {
	p := a.pending
	if p.period != a.period && !p.readOnly {
		a.pending = nil
		return h.serveWaiting(now, a)
	}
	if p.tries < maxTransferTries && !h.storeDown {
		return []Action{a.sendPending()}
	}
	p.unresolved = true
	if p.amount < 0 {
		return h.serveWaiting(now, a)
	}
	return h.refuseAll(a, ReasonStore, retryStore)
}

// Reread processes the organisation's row; ok is false if the table did not respond.
func (h *Home) Reread(now time.Time, org, id string, row table.Row, ok bool) []Action {
	a := h.accounts[org]
	if a == nil || a.pending == nil || a.pending.id != id {
		return nil
	}
	a.pending = nil
	a.startPeriod(PeriodOf(now, a.limits))
	if !ok {
		return h.refuseAll(a, ReasonStore, retryStore)
	}
	a.updateRow(now, row)
	return h.serveWaiting(now, a)
}

// returnExcess returns the excess to the row. It is deducted here before the transaction is
// sent, so that a lost response cannot cause it to be spent twice.
func (h *Home) returnExcess(a *account) Action {
	amount := a.excess
	a.excess = 0
	return h.startTransfer(a, -amount)
}
