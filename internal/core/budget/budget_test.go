package budget_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Three homes act for one organisation at the same time. Debits and returns lose their requests
// or their responses or are applied late, homes crash and are replaced, entries restart, periods
// end, settlements are lost or repeated. The cost of the granted work must not exceed the limit
// in any period.
func TestBudgetPropertyNeverOverspent(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("spend stays within the limit", prop.ForAll(func(steps []int) string {
		l := newLedger(3)
		for _, v := range steps {
			l.step(v)
			for period, sum := range l.spent {
				if sum > spend {
					return fmt.Sprintf("spent in period %d = %d, want at most %d", period, sum, spend)
				}
			}
		}
		return ""
	}, gen.SliceOfN(80, gen.IntRange(0, 1<<20))))
	p.TestingRun(t)
}

func (l *ledger) debited() string {
	for _, row := range l.table.Rows {
		return string(row.Value)
	}
	return ""
}

func (l *ledger) mustDebit(t *testing.T, want string) {
	t.Helper()
	if got := l.debited(); !strings.Contains(got, `"debited":`+want+`,`) {
		t.Errorf("row = %s, want debited %s", got, want)
	}
}

// A debit is committed, but its response is lost. The home must send the same transaction again
// and find its id in the row: the limit is debited once, nothing is forfeited, and the request
// is granted.
func TestBudgetLostDebitAnswerIsOneDebit(t *testing.T) {
	l := newLedger(1)
	id := l.reserve(0, 100, "b")
	l.process(0, responseLost)
	l.processAll()
	if !l.responses[id].Granted {
		t.Errorf("response = %+v, want granted", l.responses[id])
	}
	l.mustDebit(t, "100")
}

// The table becomes unavailable while a debit is in flight. The request must be refused with a
// RetryAfter, and the next request must retry the same debit instead of starting another one.
func TestBudgetUnresolvedDebitIsRetried(t *testing.T) {
	l := newLedger(1)
	id := l.reserve(0, 100, "b")
	l.process(0, responseLost)
	l.process(0, requestLost)
	if a := l.responses[id]; a.Granted || a.Reason != budget.ReasonStore || a.RetryAfter == 0 {
		t.Errorf("response = %+v, want a refusal with reason store_unavailable and a RetryAfter", a)
	}
	l.now = l.now.Add(time.Minute)
	id = l.reserve(0, 100, "b")
	l.processAll()
	if !l.responses[id].Granted {
		t.Errorf("response = %+v, want granted", l.responses[id])
	}
	l.mustDebit(t, "100")
}

// A home has 600 available of a chunk debited under a limit of 1,000. The limit is lowered to
// 500 while another home has only read the row. Neither home may grant from the old chunk: the
// first returns it, then both share the new limit.
func TestBudgetLoweredLimit(t *testing.T) {
	l := newLedger(2)
	l.reserve(0, 700, "b")
	l.processAll()
	l.finish(0, 100, 1)
	l.configVersion, l.limits.Spend = 1, 500
	first := l.reserve(0, 450, "b")
	second := l.reserve(1, 300, "b")
	l.processAll()
	if l.responses[first].Granted || !l.responses[second].Granted {
		t.Errorf("responses to the requests of 450 and of 300 = %+v and %+v, want the first refused and the second granted", l.responses[first], l.responses[second])
	}
	l.configVersion, l.limits.Spend = 0, 1000
	old := l.reserve(0, 300, "b") // from an entry that still has the old configuration
	l.processAll()
	if l.responses[old].Granted {
		t.Error("a request with the old configuration was granted under the old limit, want it refused")
	}
	if sum := l.spent[budget.PeriodOf(l.now, l.limits)]; sum > 500 {
		t.Errorf("spent = %d, want at most 500", sum)
	}
}

// A home has read that another home debited most of the limit. The other home has since returned
// the part that it did not need. The first must read the row again before it refuses a request
// because of the limit.
func TestBudgetReturnedChunkIsFoundByOthers(t *testing.T) {
	l := newLedger(2)
	l.reserve(0, 900, "b")
	l.processAll()
	refused := l.reserve(1, 500, "b")
	l.processAll()
	l.finish(0, 0, 1)
	l.handle(l.homes[0], l.homes[0].Tick(l.now, func(string) bool { return true }, func(string) bool { return false }))
	l.processAll()
	l.now = l.now.Add(2 * time.Second)
	id := l.reserve(1, 500, "b")
	l.processAll()
	if l.responses[refused].Granted || !l.responses[id].Granted {
		t.Errorf("responses = %+v and %+v, want a refusal and then a grant", l.responses[refused], l.responses[id])
	}
}

// An entry crashes with a reservation. The reservation must stop counting as a concurrent request
// once the entry's next process sends a request, or once the entry is no longer listed. Its maximum
// cost stays debited, even if a settlement arrives late.
func TestBudgetDeadEntryLeaksNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		boot  string
		alive bool
	}{{"no longer listed", "b", false}, {"restarted", "b2", true}} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(1)
			l.limits.Concurrent = 1
			l.reserve(0, 100, "b")
			l.processAll()
			refused := l.reserve(0, 100, c.boot)
			if a := l.responses[refused]; a.Reason != budget.ReasonConcurrent || a.RetryAfter == 0 {
				t.Errorf("response = %+v, want a refusal with reason concurrent_limit and a RetryAfter", a)
			}
			yes := func(string) bool { return true }
			l.handle(l.homes[0], l.homes[0].Tick(l.now, func(string) bool { return c.alive }, yes))
			l.handle(l.homes[0], l.homes[0].Settle(l.now, "depot", "r1", 0, 0))
			id := l.reserve(0, 100, c.boot)
			l.processAll()
			if !l.responses[id].Granted {
				t.Errorf("response = %+v, want granted", l.responses[id])
			}
			l.mustDebit(t, "200")
		})
	}
}

// A request that would exceed a limit must be refused before it runs, with a RetryAfter after
// which a retry may succeed.
func TestBudgetRefusalsSetRetryAfter(t *testing.T) {
	for _, c := range []struct {
		name          string
		limits        config.Limits
		amount        config.Money
		reason        string
		maxRetryAfter time.Duration
	}{
		{"spend, a running request may return a part of the limit", config.Limits{Spend: 150}, 100, budget.ReasonSpend, 5 * time.Second},
		{"spend, no running request can return a part of the limit", config.Limits{Spend: 50}, 100, budget.ReasonSpend, time.Hour},
		{"rate", config.Limits{Spend: spend, RequestsPerSecond: 0.5}, 1, budget.ReasonRate, 2 * time.Second},
		{"concurrency", config.Limits{Spend: spend, Concurrent: 1}, 1, budget.ReasonConcurrent, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(1)
			l.limits = c.limits
			l.limits.Period, l.limits.TokensPerSecond = "hour", 100
			if l.limits.RequestsPerSecond == 0 {
				l.limits.RequestsPerSecond = 100
			}
			if l.limits.Concurrent == 0 {
				l.limits.Concurrent = 10
			}
			l.reserve(0, c.amount, "b")
			l.processAll()
			id := l.reserve(0, c.amount, "b")
			l.processAll()
			if a := l.responses[id]; a.Granted || a.Reason != c.reason || a.RetryAfter <= 0 || a.RetryAfter > c.maxRetryAfter {
				t.Errorf("response = %+v, want a refusal with reason %s and a RetryAfter of at most %s", a, c.reason, c.maxRetryAfter)
			}
		})
	}
}

// An instance that is no longer the organisation's home must return the available amount and
// drop the account. A home that crashes instead forfeits that amount, which is less than one
// fiftieth of the limit.
func TestBudgetForfeitedRemainder(t *testing.T) {
	l := newLedger(1)
	yes, no := func(string) bool { return true }, func(string) bool { return false }
	l.reserve(0, 3, "b")
	l.processAll()
	l.finish(0, 3, 1)
	l.mustDebit(t, "20")
	l.handle(l.homes[0], l.homes[0].Tick(l.now, yes, no))
	l.processAll()
	l.mustDebit(t, "3")
	const crashes = 10
	for range crashes {
		l.replaceHome(0)
		l.reserve(0, 3, "b")
		l.processAll()
		l.finish(len(l.grants)-1, 3, 1)
	}
	l.mustDebit(t, fmt.Sprint(3+crashes*int(spend)/50))
	t.Logf("forfeited=%d of %d for each home that crashes, with 3 spent", spend/50-3, spend)
}

// A chunk was debited shortly before the end of a period. Work granted from it in the next
// period would not count there, so the home must debit a new chunk for the new period.
func TestBudgetChunkBelongsToOnePeriod(t *testing.T) {
	l := newLedger(1)
	l.reserve(0, 500, "b")
	l.processAll()
	l.finish(0, 0, 1)
	l.now = l.now.Add(time.Hour)
	for range 3 {
		l.reserve(0, 400, "b")
		l.processAll()
	}
	if sum := l.spent[budget.PeriodOf(l.now, l.limits)]; sum != 800 {
		t.Errorf("spent = %d, want 800 of a limit of %d", sum, spend)
	}
}

// An unused account must be dropped after ten minutes. Until then it should use little memory,
// as there are 31,000 organisations.
func TestBudgetIdleAccountsAreForgotten(t *testing.T) {
	const orgs = 31_000
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	limits := config.Limits{Spend: spend, Period: "hour", RequestsPerSecond: 1, TokensPerSecond: 1, Concurrent: 1}
	h := budget.NewHome("h")
	before := heap()
	for n := range orgs {
		h.Reserve(now, budget.Request{RequestID: "r", Org: fmt.Sprint("org-", n), Entry: "e", Boot: "b", Limits: limits, Amount: spend + 1})
	}
	t.Logf("bytes=%d for each account", (int64(heap())-int64(before))/orgs)
	yes := func(string) bool { return true }
	h.Tick(now.Add(9*time.Minute), yes, yes)
	if got := h.Accounts(); got != orgs {
		t.Errorf("accounts after 9 minutes = %d, want %d", got, orgs)
	}
	h.Tick(now.Add(11*time.Minute), yes, yes)
	if got := h.Accounts(); got != 0 {
		t.Errorf("accounts after 11 minutes = %d, want 0", got)
	}
}

// heap returns the bytes of live heap objects.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Measures the number of writes to the table for a thousand generations, ten at a time, each
// with a reservation of five times its final cost.
func TestBudgetCostOfAThousandGenerations(t *testing.T) {
	for _, c := range []struct {
		spend     config.Money
		maxWrites int
	}{{100_000, 60}, {10_000_000, 1}} {
		l := newLedger(1)
		l.limits.Spend = c.spend
		for n := range 1000 {
			l.reserve(0, 100, "b")
			l.processAll()
			if n >= 10 {
				l.finish(n-10, 20, 1)
			}
		}
		t.Logf("limit=%d spent=20000 writes=%d", c.spend, l.commits)
		if l.commits > c.maxWrites {
			t.Errorf("writes = %d, want at most %d", l.commits, c.maxWrites)
		}
	}
}
