package memory

import "time"

// Hold is what one request holds of an account. It returns each byte once, in whatever order its
// parts end: Release returns at most what is held, and ReleaseAll the rest.
type Hold struct {
	account *Account
	held    [PurposeCount]int64
}

// NewHold returns a hold of nothing.
func (a *Account) NewHold() Hold { return Hold{account: a} }

// Reserve reserves n bytes and reports whether they are available.
func (h *Hold) Reserve(p Purpose, n int64) bool {
	if !h.account.Reserve(p, n) {
		return false
	}
	h.held[p] += n
	return true
}

// Charge records n bytes that are in use already.
func (h *Hold) Charge(p Purpose, n int64) {
	h.account.Charge(p, n)
	h.held[p] += n
}

// Release returns n bytes, or what is held if that is less.
func (h *Hold) Release(now time.Time, p Purpose, n int64) {
	n = min(n, h.held[p])
	if n <= 0 {
		return
	}
	h.held[p] -= n
	h.account.Release(now, p, n)
}

// ReleaseAll returns everything that is held.
func (h *Hold) ReleaseAll(now time.Time) {
	for p, n := range h.held {
		h.Release(now, Purpose(p), n)
	}
}
