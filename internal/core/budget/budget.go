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

// Request is a request for a reservation.
type Request struct {
	RequestID string
	Org       string
	// Entry is the requesting instance. Boot identifies its current process run.
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

// Action is an action that the home requests: exactly one field is set.
type Action struct {
	Response *Response
	Debit    *Debit
	Reread   *Reread
}

// Response grants or refuses a reservation.
type Response struct {
	Org       string
	Entry     string
	RequestID string
	Granted   bool
	// Waiting is set if the decision needs a debit; it follows in another Response.
	Waiting    bool
	Reason     string
	RetryAfter time.Duration
}

// Home manages the accounts of the organisations whose home is this instance.
type Home struct {
	name     string
	accounts map[string]*account
	// boots maps each entry to the Boot value of its current process run.
	boots     map[string]string
	transfers int
	storeDown bool
}

// NewHome returns a home without accounts. name must be unique to this process run of the
// instance, because the ids of transfers are derived from it.
func NewHome(name string) *Home {
	return &Home{name: name, accounts: map[string]*account{}, boots: map[string]string{}}
}

// SetStoreDown sets whether the table is known to be unavailable. While it is, requests that the
// available amount does not cover are refused immediately.
func (h *Home) SetStoreDown(down bool) { h.storeDown = down }

// Accounts returns the number of accounts in memory.
func (h *Home) Accounts() int { return len(h.accounts) }

// TransferInFlight reports whether a transfer is in flight, i.e. a chunk is being debited or
// returned.
func (h *Home) TransferInFlight() bool {
	for _, a := range h.accounts {
		if a.pending != nil && !a.pending.unresolved {
			return true
		}
	}
	return false
}

// Reserve processes a request for a reservation. The decision comes immediately or after a debit. It is
// idempotent by request.
func (h *Home) Reserve(now time.Time, req Request) []Action {
	a := h.accounts[req.Org]
	if a == nil {
		a = &account{org: req.Org, limits: req.Limits}
		h.accounts[req.Org] = a
	}
	a.lastUsed = now
	h.boots[req.Entry] = req.Boot
	a.configure(now, req)
	actions := append(h.admit(now, a, req), h.serveWaiting(now, a)...)
	if a.isWaiting(req.RequestID) {
		actions = append(actions, Action{Response: &Response{Org: req.Org, Entry: req.Entry, RequestID: req.RequestID, Waiting: true}})
	}
	return actions
}

func (h *Home) admit(now time.Time, a *account, req Request) []Action {
	if a.reserved.find(req.RequestID) >= 0 {
		return []Action{granted(req)}
	}
	if a.isWaiting(req.RequestID) {
		return nil
	}
	if len(a.reserved)+len(a.waiting) >= a.limits.Concurrent {
		return []Action{refused(req, ReasonConcurrent, retryConcurrent)}
	}
	if wait := a.tokenBucket.check(now, a.limits.TokensPerSecond); wait > 0 {
		return []Action{refused(req, ReasonTokens, wait)}
	}
	if wait := a.requestBucket.take(now, 1, a.limits.RequestsPerSecond); wait > 0 {
		return []Action{refused(req, ReasonRate, wait)}
	}
	a.waiting = append(a.waiting, req)
	return nil
}

// serveWaiting grants waiting requests from the available amount. If that is too low, it debits
// another chunk.
func (h *Home) serveWaiting(now time.Time, a *account) []Action {
	var actions []Action
	for len(a.waiting) > 0 && a.waiting[0].Amount <= a.available {
		actions = append(actions, a.grantHead(now))
	}
	switch {
	case a.pending != nil && !a.pending.unresolved:
		return actions
	case a.pending == nil && a.excess > 0 && !h.storeDown:
		return append(actions, h.returnExcess(a))
	case len(a.waiting) == 0:
		return actions
	case h.storeDown:
		return append(actions, h.refuseAll(a, ReasonStore, retryStore)...)
	case a.pending != nil:
		return append(actions, a.retryPending())
	default:
		return append(actions, h.debitChunk(now, a)...)
	}
}

func (a *account) grantHead(now time.Time) Action {
	req := a.waiting[0]
	a.popWaiting()
	a.available -= req.Amount
	a.reserved = append(a.reserved, reservation{
		request: req.RequestID, amount: req.Amount, epoch: a.epoch,
		entry: req.Entry, boot: req.Boot, expires: now.Add(req.Hold),
	})
	return granted(req)
}

// Settle ends a reservation, charges the amount used and the output tokens, and returns the rest
// to the chunk. It is idempotent by request.
func (h *Home) Settle(now time.Time, org, request string, used config.Money, tokens int) []Action {
	a := h.accounts[org]
	if a == nil {
		return nil
	}
	a.lastUsed = now
	a.waiting = slices.DeleteFunc(a.waiting, func(w Request) bool { return w.RequestID == request })
	r, ok := a.reserved.take(request)
	if !ok {
		return nil
	}
	a.startPeriod(PeriodOf(now, a.limits))
	a.tokenBucket.overdraw(now, float64(tokens), a.limits.TokensPerSecond)
	a.refund(r, used)
	return h.serveWaiting(now, a)
}

// Tick ends the reservations of dead entries and charges them in full, returns amounts that this
// home no longer needs and drops idle accounts. alive reports whether an entry is still listed.
// isHome reports whether this instance is the home of an organisation.
func (h *Home) Tick(now time.Time, alive, isHome func(name string) bool) []Action {
	var actions []Action
	for entry := range h.boots {
		if !alive(entry) {
			delete(h.boots, entry)
		}
	}
	for _, org := range h.sortedOrgs() {
		a := h.accounts[org]
		a.expireReservations(now, h.boots)
		actions = append(actions, h.cleanUp(now, a, isHome)...)
	}
	return actions
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

func (h *Home) cleanUp(now time.Time, a *account, isHome func(org string) bool) []Action {
	if a.pending != nil && a.pending.unresolved && !h.storeDown {
		return []Action{a.retryPending()}
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

func (h *Home) refuseHead(a *account, reason string, retryAfter time.Duration) []Action {
	req := a.waiting[0]
	a.popWaiting()
	return []Action{refused(req, reason, retryAfter)}
}

func (h *Home) refuseAll(a *account, reason string, retryAfter time.Duration) []Action {
	var actions []Action
	for len(a.waiting) > 0 {
		actions = append(actions, h.refuseHead(a, reason, retryAfter)...)
	}
	return actions
}

func granted(req Request) Action {
	return Action{Response: &Response{Org: req.Org, Entry: req.Entry, RequestID: req.RequestID, Granted: true}}
}

func refused(req Request, reason string, retryAfter time.Duration) Action {
	return Action{Response: &Response{Org: req.Org, Entry: req.Entry, RequestID: req.RequestID, Reason: reason, RetryAfter: retryAfter}}
}
