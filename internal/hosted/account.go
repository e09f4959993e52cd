package hosted

import (
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/memory"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// memoryAccount is the memory account of the process, which many requests use at once.
type memoryAccount struct {
	log     hclog.Logger
	metrics *metrics.Metrics
	// paused is the number of responses whose reading is paused.
	paused atomic.Int64

	mu      sync.Mutex
	account *memory.Account
}

// newMemoryAccount returns the account of a machine with the given memory in bytes; 0 means unknown.
func newMemoryAccount(machine int64, m *metrics.Metrics, log hclog.Logger) *memoryAccount {
	a := &memoryAccount{account: memory.New(memory.LimitsFor(machine)), metrics: m, log: log}
	m.Set("memory_account_bytes", expvar.Func(func() any { return a.inUse() }))
	m.Set("streams_paused", expvar.Func(func() any { return a.paused.Load() }))
	return a
}

// inUseShare returns the share of the account that is in use. It can exceed 1.
func (m *memoryAccount) inUseShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.InUseShare()
}

// with runs a function on the account while holding the lock, and logs if the account has become
// nearly full or free again. It counts and logs after the lock is released: the metrics take the
// lock while they are read.
func (m *memoryAccount) with(f func(now time.Time, a *memory.Account)) {
	m.mu.Lock()
	f(boottime.Now(), m.account)
	nearlyFull, changed := m.account.Level()
	m.mu.Unlock()
	switch {
	case changed && nearlyFull:
		m.metrics.Count("memory_nearly_full_total", "entered")
		m.logLevel("memory_nearly_full")
	case changed:
		m.logLevel("memory_free_again")
	}
}

// logLevel logs what is in use by purpose.
func (m *memoryAccount) logLevel(event string) {
	pairs := []any{"streams_paused", m.paused.Load()}
	inUse := m.inUse()
	for _, name := range slices.Sorted(maps.Keys(inUse)) {
		pairs = append(pairs, name, inUse[name])
	}
	m.log.Info(event, pairs...)
}

// inUse returns the bytes in use by purpose, and the limit.
func (m *memoryAccount) inUse() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{"limit": m.account.Limit()}
	for p := range memory.PurposeCount {
		out[p.String()] = m.account.InUse(p)
	}
	return out
}

// refused records that n bytes were refused and returns the Retry-After.
func (m *memoryAccount) refused(p memory.Purpose, n int64) (retryAfter time.Duration) {
	m.with(func(now time.Time, a *memory.Account) { retryAfter = a.Refused(now, p, n) })
	return retryAfter
}

// hold is what one request holds of the account.
type hold struct {
	of   *memoryAccount
	held memory.Hold
}

// newHold returns a hold of nothing.
func (m *memoryAccount) newHold() *hold { return &hold{of: m, held: m.account.NewHold()} }

// reserve reserves n bytes and reports whether they are available.
func (h *hold) reserve(p memory.Purpose, n int64) (ok bool) {
	h.of.with(func(time.Time, *memory.Account) { ok = h.held.Reserve(p, n) })
	return ok
}

// charge records n bytes that are in use already.
func (h *hold) charge(p memory.Purpose, n int64) {
	h.of.with(func(time.Time, *memory.Account) { h.held.Charge(p, n) })
}

// release returns n bytes.
func (h *hold) release(p memory.Purpose, n int64) {
	h.of.with(func(now time.Time, _ *memory.Account) { h.held.Release(now, p, n) })
}

// releaseAll returns everything that is held.
func (h *hold) releaseAll() {
	h.of.with(func(now time.Time, _ *memory.Account) { h.held.ReleaseAll(now) })
}

// purposeMemory accounts for memory of one purpose that belongs to no request.
type purposeMemory struct {
	*memoryAccount
	purpose memory.Purpose
}

// Reserve implements peer.Memory and conn.Memory.
func (m purposeMemory) Reserve(n int) (ok bool) {
	m.with(func(_ time.Time, a *memory.Account) { ok = a.Reserve(m.purpose, int64(n)) })
	return ok
}

// Release implements peer.Memory and conn.Memory.
func (m purposeMemory) Release(n int) {
	m.with(func(now time.Time, a *memory.Account) { a.Release(now, m.purpose, int64(n)) })
}
