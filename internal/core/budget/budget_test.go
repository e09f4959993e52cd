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

// Three homes believe to be the organisation's at once. Debits and returns lose
// their answers or themselves or land late, homes die and are replaced, entries
// are reborn, periods end, settlements get lost or come twice. What the granted
// work cost never passes the limit in any period.
func TestBudgetPropertyNeverOverspent(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	p.Property("spend stays within the limit", prop.ForAll(func(steps []int) string {
		l := newLedger(3)
		for _, v := range steps {
			l.step(v)
			for period, sum := range l.spent {
				if sum > spend {
					return fmt.Sprintf("period %d spent %d of %d", period, sum, spend)
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

// The home's debit takes effect, its answer is lost. The home sends the same
// transaction again and finds its id in the row: one debit, nothing forfeited,
// and the caller's request is granted.
func TestBudgetLostDebitAnswerIsOneDebit(t *testing.T) {
	l := newLedger(1)
	id := l.ask(0, 100, "b")
	l.decide(0, lostAnswer)
	l.settleAll()
	if !l.answers[id].Granted {
		t.Errorf("answer = %+v, want granted", l.answers[id])
	}
	l.mustDebit(t, "100")
}

// The table goes down while a debit is in flight. The request is refused with
// a time to come back. The next ask settles the same debit instead of making
// another one.
func TestBudgetStuckDebitIsTakenUpAgain(t *testing.T) {
	l := newLedger(1)
	id := l.ask(0, 100, "b")
	l.decide(0, lostAnswer)
	l.decide(0, lostCall)
	if a := l.answers[id]; a.Granted || a.Reason != budget.ReasonStore || a.RetryAfter == 0 {
		t.Errorf("answer = %+v, want a refusal for the store with a time", a)
	}
	l.now = l.now.Add(time.Minute)
	id = l.ask(0, 100, "b")
	l.settleAll()
	if !l.answers[id].Granted {
		t.Errorf("answer = %+v, want granted", l.answers[id])
	}
	l.mustDebit(t, "100")
}

// A home holds a free chunk of 600 debited under a limit of 1,000. The limit is
// lowered to 500 while another home knows only the row. Neither may grant from
// the old chunk: the first gives it back, then both share the new limit.
func TestBudgetLoweredLimit(t *testing.T) {
	l := newLedger(2)
	l.ask(0, 700, "b")
	l.settleAll()
	l.end(0, 100, 1)
	l.cfg, l.limits.Spend = 1, 500
	first := l.ask(0, 450, "b")
	second := l.ask(1, 300, "b")
	l.settleAll()
	if l.answers[first].Granted || !l.answers[second].Granted {
		t.Errorf("answers = %+v and %+v, want 450 refused and 300 granted", l.answers[first], l.answers[second])
	}
	l.cfg, l.limits.Spend = 0, 1000
	old := l.ask(0, 300, "b") // from an entry that does not know of the change yet
	l.settleAll()
	if l.answers[old].Granted {
		t.Error("an ask under the old configuration brought the old limit back")
	}
	if sum := l.spent[budget.PeriodOf(l.now, l.limits)]; sum > 500 {
		t.Errorf("spent %d, want at most 500", sum)
	}
}

// A home saw the limit used up by chunks of another, which has returned what it
// did not need. The home reads the row again before it refuses for the limit.
func TestBudgetReturnedChunkIsFoundByOthers(t *testing.T) {
	l := newLedger(2)
	l.ask(0, 900, "b")
	l.settleAll()
	refused := l.ask(1, 500, "b")
	l.settleAll()
	l.end(0, 0, 1)
	l.do(l.homes[0], l.homes[0].Tick(l.now, func(string) bool { return true }, func(string) bool { return false }))
	l.settleAll()
	l.now = l.now.Add(2 * time.Second)
	id := l.ask(1, 500, "b")
	l.settleAll()
	if l.answers[refused].Granted || !l.answers[id].Granted {
		t.Errorf("answers = %+v and %+v, want a refusal and then a grant", l.answers[refused], l.answers[id])
	}
}

// An entry dies with a reservation. The concurrency that it took is free again
// once its next run is heard of, or once the list has dropped it; its cost
// stays counted at the maximum, also when a settlement arrives late.
func TestBudgetDeadEntryLeaksNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		boot  string
		alive bool
	}{{"listed no more", "b", false}, {"came back", "b2", true}} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(1)
			l.limits.Concurrent = 1
			l.ask(0, 100, "b")
			l.settleAll()
			refused := l.ask(0, 100, c.boot)
			if a := l.answers[refused]; a.Reason != budget.ReasonConcurrent || a.RetryAfter == 0 {
				t.Errorf("answer = %+v, want concurrent_limit with a time", a)
			}
			yes := func(string) bool { return true }
			l.do(l.homes[0], l.homes[0].Tick(l.now, func(string) bool { return c.alive }, yes))
			l.do(l.homes[0], l.homes[0].Settle(l.now, "depot", "r1", 0, 0))
			id := l.ask(0, 100, c.boot)
			l.settleAll()
			if !l.answers[id].Granted {
				t.Errorf("answer = %+v, want granted", l.answers[id])
			}
			l.mustDebit(t, "200")
		})
	}
}

// Requests near a limit are refused before they run, each with the time after
// which it helps to come back.
func TestBudgetRefusalsNameATime(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits config.Limits
		amount config.Money
		reason string
		most   time.Duration
	}{
		{"spend, running work may return some", config.Limits{Spend: 150}, 100, budget.ReasonSpend, 5 * time.Second},
		{"spend, nothing can return", config.Limits{Spend: 50}, 100, budget.ReasonSpend, time.Hour},
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
			l.ask(0, c.amount, "b")
			l.settleAll()
			id := l.ask(0, c.amount, "b")
			l.settleAll()
			if a := l.answers[id]; a.Granted || a.Reason != c.reason || a.RetryAfter <= 0 || a.RetryAfter > c.most {
				t.Errorf("answer = %+v, want %s within %s", a, c.reason, c.most)
			}
		})
	}
}

// A home that is no longer the organisation's returns its free chunk and
// forgets the account; one that dies instead forfeits it, which is less than
// the fiftieth part of the limit.
func TestBudgetForfeitedRemainder(t *testing.T) {
	l := newLedger(1)
	yes, no := func(string) bool { return true }, func(string) bool { return false }
	l.ask(0, 3, "b")
	l.settleAll()
	l.end(0, 3, 1)
	l.mustDebit(t, "20")
	l.do(l.homes[0], l.homes[0].Tick(l.now, yes, no))
	l.settleAll()
	l.mustDebit(t, "3")
	const deaths = 10
	for range deaths {
		l.rebirth(0)
		l.ask(0, 3, "b")
		l.settleAll()
		l.end(len(l.open)-1, 3, 1)
	}
	l.mustDebit(t, fmt.Sprint(3+deaths*int(spend)/50))
	t.Logf("forfeited=%d of %d for each death of a home, with 3 spent", spend/50-3, spend)
}

// A chunk was debited in the last minutes of a period. Work granted from it in
// the next would not count there: the new period debits its own.
func TestBudgetChunkBelongsToOnePeriod(t *testing.T) {
	l := newLedger(1)
	l.ask(0, 500, "b")
	l.settleAll()
	l.end(0, 0, 1)
	l.now = l.now.Add(time.Hour)
	for range 3 {
		l.ask(0, 400, "b")
		l.settleAll()
	}
	if sum := l.spent[budget.PeriodOf(l.now, l.limits)]; sum != 800 {
		t.Errorf("spent %d, want 800 of %d", sum, spend)
	}
}

// An account that nobody asks about is forgotten after ten minutes, and what it
// held costs little memory until then: there are 31,000 organisations.
func TestBudgetIdleAccountsAreForgotten(t *testing.T) {
	const orgs = 31_000
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	limits := config.Limits{Spend: spend, Period: "hour", RequestsPerSecond: 1, TokensPerSecond: 1, Concurrent: 1}
	h := budget.NewHome("h")
	before := heap()
	for n := range orgs {
		h.Ask(now, budget.Ask{Request: "r", Org: fmt.Sprint("org-", n), Entry: "e", Boot: "b", Limits: limits, Amount: spend + 1})
	}
	t.Logf("bytes=%d for each account", (int64(heap())-int64(before))/orgs)
	yes := func(string) bool { return true }
	h.Tick(now.Add(9*time.Minute), yes, yes)
	if got := h.Accounts(); got != orgs {
		t.Errorf("%d accounts within ten minutes, want %d", got, orgs)
	}
	h.Tick(now.Add(11*time.Minute), yes, yes)
	if got := h.Accounts(); got != 0 {
		t.Errorf("%d accounts are left", got)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// What budgets cost in writes to the table: a thousand generations, each
// reserved at five times of what it then costs, ten at a time.
func TestBudgetCostOfAThousandGenerations(t *testing.T) {
	for _, c := range []struct {
		spend config.Money
		most  int
	}{{100_000, 60}, {10_000_000, 1}} {
		l := newLedger(1)
		l.limits.Spend = c.spend
		for n := range 1000 {
			l.ask(0, 100, "b")
			l.settleAll()
			if n >= 10 {
				l.end(n-10, 20, 1)
			}
		}
		t.Logf("limit=%d spent=20000 writes=%d", c.spend, l.commits)
		if l.commits > c.most {
			t.Errorf("%d writes, want at most %d", l.commits, c.most)
		}
	}
}
