// Package budget implements the home of an organisation's limits. It debits chunks of the
// spending limit from the table before it grants reservations out of them, so that no pause,
// crash or outage can bring the spend above the limit.
package budget

import (
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
)

// Refusal reasons.
const (
	ReasonSpend      = "spend_limit"
	ReasonRate       = "request_rate"
	ReasonTokens     = "token_rate"
	ReasonConcurrent = "concurrent_limit"
	ReasonStore      = "store_unavailable"
)

const (
	// burstSeconds is the capacity of a bucket in seconds of its rate.
	burstSeconds = 2
	// retryStore is the RetryAfter while the table is unavailable.
	retryStore = 2 * time.Second
	// retryConcurrent is the RetryAfter at the limit on concurrent requests.
	retryConcurrent = time.Second
	// retryReserved is the RetryAfter while running requests hold the rest of the spending
	// limit.
	retryReserved = 5 * time.Second
	// accountTTL is how long an unused account is kept.
	accountTTL = 10 * time.Minute
)

// Ask is a request for a reservation.
type Ask struct {
	Request string
	Org     string
	// Entry is the requesting instance, Boot identifies its current run.
	Entry string
	Boot  string
	// Version is the configuration version that Limits is taken from.
	Version int64
	Limits  config.Limits
	// Amount is the maximum cost of the request, for one attempt.
	Amount config.Money
	// Tokens is the maximum number of output tokens of the request.
	Tokens int
	// Hold is the maximum duration of the attempt.
	Hold time.Duration
}

// Out is an action that the home requests: exactly one field is set.
type Out struct {
	Answer *Answer
	Debit  *Debit
	Reread *Reread
}

// Answer grants or refuses a reservation.
type Answer struct {
	Org     string
	Entry   string
	Request string
	Granted bool
	// Waiting is set if the decision needs a debit; it follows in another Answer.
	Waiting    bool
	Reason     string
	RetryAfter time.Duration
}

// Home manages the accounts of the organisations whose home is this instance.
type Home struct {
	name     string
	accounts map[string]*account
	// boots maps each entry to its current run.
	boots     map[string]string
	transfers int
	storeDown bool
}

// NewHome returns a home without accounts. name must be unique to this run of the instance,
// because the ids of transfers are derived from it.
func NewHome(name string) *Home {
	return &Home{name: name, accounts: map[string]*account{}, boots: map[string]string{}}
}

// SetStoreDown sets whether the table is known to be unavailable. While it is, requests that the
// available amount does not cover are refused at once.
func (h *Home) SetStoreDown(down bool) { h.storeDown = down }

// Accounts returns the number of accounts in memory.
func (h *Home) Accounts() int { return len(h.accounts) }

// Moving reports whether a transfer is in flight, i.e. a chunk is being debited or returned.
func (h *Home) Moving() bool {
	for _, a := range h.accounts {
		if a.pending != nil && !a.pending.unresolved {
			return true
		}
	}
	return false
}

// Ask processes a request for a reservation. The decision comes at once or after a debit. Ask is
// idempotent by request.
func (h *Home) Ask(now time.Time, ask Ask) []Out {
	a := h.accounts[ask.Org]
	if a == nil {
		a = &account{org: ask.Org, limits: ask.Limits}
		h.accounts[ask.Org] = a
	}
	a.lastUsed = now
	h.boots[ask.Entry] = ask.Boot
	a.configure(now, ask)
	outs := append(h.admit(now, a, ask), h.serveWaiting(now, a)...)
	if a.isWaiting(ask.Request) {
		outs = append(outs, Out{Answer: &Answer{Org: ask.Org, Entry: ask.Entry, Request: ask.Request, Waiting: true}})
	}
	return outs
}

func (h *Home) admit(now time.Time, a *account, ask Ask) []Out {
	if a.reserved.find(ask.Request) >= 0 {
		return []Out{granted(ask)}
	}
	if a.isWaiting(ask.Request) {
		return nil
	}
	if len(a.reserved)+len(a.waiting) >= a.limits.Concurrent {
		return []Out{refused(ask, ReasonConcurrent, retryConcurrent)}
	}
	if wait := a.tokenBucket.check(now, a.limits.TokensPerSecond); wait > 0 {
		return []Out{refused(ask, ReasonTokens, wait)}
	}
	if wait := a.requestBucket.take(now, 1, a.limits.RequestsPerSecond); wait > 0 {
		return []Out{refused(ask, ReasonRate, wait)}
	}
	a.waiting = append(a.waiting, ask)
	return nil
}

// serveWaiting grants waiting requests from the available amount. If that is too low, it debits
// another chunk.
func (h *Home) serveWaiting(now time.Time, a *account) []Out {
	var outs []Out
	for len(a.waiting) > 0 && a.waiting[0].Amount <= a.available {
		outs = append(outs, a.grantHead(now))
	}
	switch {
	case a.pending != nil && !a.pending.unresolved:
		return outs
	case a.pending == nil && a.excess > 0 && !h.storeDown:
		return append(outs, h.returnExcess(a))
	case len(a.waiting) == 0:
		return outs
	case h.storeDown:
		return append(outs, h.refuseAll(a, ReasonStore, retryStore)...)
	case a.pending != nil:
		return append(outs, a.retryPending())
	default:
		return append(outs, h.debitChunk(now, a)...)
	}
}

func (a *account) grantHead(now time.Time) Out {
	ask := a.waiting[0]
	a.popWaiting()
	a.available -= ask.Amount
	a.reserved = append(a.reserved, reservation{
		request: ask.Request, amount: ask.Amount, epoch: a.epoch,
		entry: ask.Entry, boot: ask.Boot, expires: now.Add(ask.Hold),
	})
	return granted(ask)
}

// Settle ends a reservation, charges the amount used and the output tokens, and returns the rest
// to the chunk. It is idempotent by request.
func (h *Home) Settle(now time.Time, org, request string, used config.Money, tokens int) []Out {
	a := h.accounts[org]
	if a == nil {
		return nil
	}
	a.lastUsed = now
	a.waiting = slices.DeleteFunc(a.waiting, func(w Ask) bool { return w.Request == request })
	r, ok := a.reserved.take(request)
	if !ok {
		return nil
	}
	a.startPeriod(PeriodOf(now, a.limits))
	a.tokenBucket.overdraw(now, float64(tokens), a.limits.TokensPerSecond)
	a.refund(r, used)
	return h.serveWaiting(now, a)
}

// Tick ends the reservations of dead entries at their maximum, returns amounts that this home no
// longer needs and drops idle accounts. alive reports whether an entry is still listed, isHome
// whether this instance is the home of an organisation.
func (h *Home) Tick(now time.Time, alive, isHome func(name string) bool) []Out {
	var outs []Out
	for entry := range h.boots {
		if !alive(entry) {
			delete(h.boots, entry)
		}
	}
	for _, org := range h.sortedOrgs() {
		a := h.accounts[org]
		a.expireReservations(now, h.boots)
		outs = append(outs, h.cleanUp(now, a, isHome)...)
	}
	return outs
}

// sortedOrgs returns the organisations with an account in a fixed order.
func (h *Home) sortedOrgs() []string {
	list := make([]string, 0, len(h.accounts))
	for org := range h.accounts {
		list = append(list, org)
	}
	slices.SortFunc(list, strings.Compare)
	return list
}

// expireReservations ends reservations that will not be settled: those of entries that died, and
// those whose settlement was lost. They would otherwise occupy the limit on concurrent requests
// for ever. Their cost is unknown, so that nothing is returned to the chunk; a later settlement
// finds no reservation.
func (a *account) expireReservations(now time.Time, boots map[string]string) {
	a.reserved = slices.DeleteFunc(a.reserved, func(r reservation) bool {
		return now.After(r.expires) || boots[r.entry] != r.boot
	})
}

func (h *Home) cleanUp(now time.Time, a *account, isHome func(org string) bool) []Out {
	if a.pending != nil && a.pending.unresolved && !h.storeDown {
		return []Out{a.retryPending()}
	}
	if !a.idle() || isHome(a.org) && now.Sub(a.lastUsed) < accountTTL {
		return nil
	}
	a.startPeriod(PeriodOf(now, a.limits))
	a.excess += a.available
	a.available = 0
	if a.excess > 0 {
		return h.serveWaiting(now, a)
	}
	delete(h.accounts, a.org)
	return nil
}

func (h *Home) refuseHead(a *account, reason string, after time.Duration) []Out {
	ask := a.waiting[0]
	a.popWaiting()
	return []Out{refused(ask, reason, after)}
}

func (h *Home) refuseAll(a *account, reason string, after time.Duration) []Out {
	var outs []Out
	for len(a.waiting) > 0 {
		outs = append(outs, h.refuseHead(a, reason, after)...)
	}
	return outs
}

func granted(ask Ask) Out {
	return Out{Answer: &Answer{Org: ask.Org, Entry: ask.Entry, Request: ask.Request, Granted: true}}
}

func refused(ask Ask, reason string, after time.Duration) Out {
	return Out{Answer: &Answer{Org: ask.Org, Entry: ask.Entry, Request: ask.Request, Reason: reason, RetryAfter: after}}
}
