// Package retry bounds the number of retries, so that retries do not amplify a partial outage:
// each success earns a fraction of a retry.
//
// In any period an instance makes at most
//
//	MaxRetries + RetriesPerSuccess x successes
//
// retries, so that n requests cause at most n + MaxRetries + RetriesPerSuccess x n attempts.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// RetriesPerSuccess is the fraction of a retry that one success earns.
	RetriesPerSuccess = 0.1
	// MaxRetries is the maximum and the initial number of retries in a budget. It covers the crash
	// of an engine with a full batch of 64: if these requests come from a dozen entries, each entry
	// has five or six of them to retry.
	MaxRetries = 20
	// baseBackoff and maxBackoff bound the delay before a retry.
	baseBackoff = 25 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// maxOrgs bounds the number of organisations whose budget is stored; full budgets are not
	// stored. At the bound, the first retry of another organisation is refused until a stored
	// budget is full or idle.
	maxOrgs = 4096
	// idleTTL is the time since the last retry after which an organisation's budget is removed
	// and thus full again.
	idleTTL = 10 * time.Minute
	// sweepInterval is the minimum interval between removals of idle budgets.
	sweepInterval = time.Minute
)

// Verdict states whether a retry is allowed, or else which budget is used up.
type Verdict string

// Verdicts.
const (
	Allowed Verdict = "allowed"
	// SpentOrg and SpentInstance name the budget that is used up.
	SpentOrg      Verdict = "organisation"
	SpentInstance Verdict = "instance"
)

// Budgets holds the retry budgets of the instance and of the organisations.
type Budgets struct {
	instance float64
	orgs     map[string]*orgBudget
	rng      *rand.Rand
	// lastSweep is when idle budgets were last removed.
	lastSweep time.Time
}

// orgBudget is an organisation's budget that is not full.
type orgBudget struct {
	remaining float64
	lastUsed  time.Time
}

// NewBudgets returns full budgets; seed is the seed of the jitter.
func NewBudgets(seed uint64) *Budgets {
	return &Budgets{instance: MaxRetries, orgs: map[string]*orgBudget{}, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Success adds RetriesPerSuccess to the budgets of the instance and the organisation.
func (b *Budgets) Success(org string) {
	b.instance = min(MaxRetries, b.instance+RetriesPerSuccess)
	a := b.orgs[org]
	if a == nil {
		return
	}
	a.remaining += RetriesPerSuccess
	if a.remaining >= MaxRetries {
		delete(b.orgs, org)
	}
}

// Take spends one retry of the organisation and of the instance, or nothing if either budget is
// used up.
func (b *Budgets) Take(now time.Time, org string) Verdict {
	if b.instance < 1 {
		return SpentInstance
	}
	a := b.orgBudget(now, org)
	if a == nil || a.remaining < 1 {
		return SpentOrg
	}
	a.remaining--
	a.lastUsed = now
	b.instance--
	return Allowed
}

// orgBudget returns an organisation's budget, or nil if maxOrgs budgets are stored and none is
// idle.
func (b *Budgets) orgBudget(now time.Time, org string) *orgBudget {
	if a := b.orgs[org]; a != nil {
		return a
	}
	if len(b.orgs) >= maxOrgs {
		b.removeIdle(now)
	}
	if len(b.orgs) >= maxOrgs {
		return nil
	}
	a := &orgBudget{remaining: MaxRetries, lastUsed: now}
	b.orgs[org] = a
	return a
}

func (b *Budgets) removeIdle(now time.Time) {
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	for org, a := range b.orgs {
		if now.Sub(a.lastUsed) > idleTTL {
			delete(b.orgs, org)
		}
	}
}

// Len returns the number of stored budgets.
func (b *Budgets) Len() int { return len(b.orgs) }

// Backoff returns a random delay before the n-th retry, with full jitter.
func (b *Budgets) Backoff(n int) time.Duration {
	limit := min(baseBackoff<<min(n, 10), maxBackoff)
	return time.Duration(b.rng.Int64N(int64(limit)) + 1)
}
