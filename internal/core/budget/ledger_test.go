package budget_test

import (
	"fmt"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/memtable"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

const spend = config.Money(1000)

// ledger drives homes of one organisation against a table and keeps account of
// what really was spent, at its maximum for as long as the work may run.
type ledger struct {
	now    time.Time
	limits config.Limits
	cfg    int64
	homes  []*budget.Home
	born   int
	asks   int
	table  *memtable.Table
	held   []heldOut
	late   []table.Tx

	open    []grant
	amounts map[string]config.Money
	spent   map[int64]config.Money
	answers map[string]budget.Answer
	commits int
}

type heldOut struct {
	home *budget.Home
	out  budget.Out
}

type grant struct {
	home    *budget.Home
	request string
	amount  config.Money
	period  int64
	done    bool
}

func newLedger(homes int) *ledger {
	l := &ledger{
		now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), table: memtable.New(),
		limits:  config.Limits{Spend: spend, Period: "hour", RequestsPerSecond: 1e6, TokensPerSecond: 1e6, Concurrent: 1000},
		amounts: map[string]config.Money{}, spent: map[int64]config.Money{}, answers: map[string]budget.Answer{},
	}
	for n := range homes {
		l.homes = append(l.homes, nil)
		l.rebirth(n)
	}
	return l
}

// rebirth replaces a home by a new one: the old one's memory is gone.
func (l *ledger) rebirth(n int) {
	l.born++
	l.homes[n] = budget.NewHome(fmt.Sprint("home-", l.born))
}

func (l *ledger) ask(n int, amount config.Money, boot string) string {
	l.asks++
	id := fmt.Sprint("r", l.asks)
	l.amounts[id] = amount
	l.do(l.homes[n], l.homes[n].Ask(l.now, budget.Ask{
		Request: id, Org: "depot", Entry: "entry", Boot: boot, Version: l.cfg, Limits: l.limits,
		Amount: amount, Hold: 10 * time.Minute,
	}))
	return id
}

func (l *ledger) do(h *budget.Home, outs []budget.Out) {
	for _, o := range outs {
		if o.Answer == nil {
			l.held = append(l.held, heldOut{home: h, out: o})
			continue
		}
		l.answers[o.Answer.Request] = *o.Answer
		if o.Answer.Granted {
			g := grant{home: h, request: o.Answer.Request, amount: l.amounts[o.Answer.Request], period: budget.PeriodOf(l.now, l.limits)}
			l.open = append(l.open, g)
			l.spent[g.period] += g.amount
		}
	}
}

// end finishes a granted request that cost used, and settles it, perhaps twice.
func (l *ledger) end(at int, used config.Money, settle int) {
	g := &l.open[at]
	if !g.done {
		g.done = true
		l.spent[g.period] -= g.amount - used
		g.amount = used
	}
	for range settle {
		l.do(g.home, g.home.Settle(l.now, "depot", g.request, g.amount, 0))
	}
}

const (
	good = iota
	lostAnswer
	lostCall
	landsLate
	ways
)

func (l *ledger) decide(at, way int) {
	h := l.held[at]
	l.held = append(l.held[:at:at], l.held[at+1:]...)
	if r := h.out.Reread; r != nil {
		l.do(h.home, h.home.Reread(l.now, r.Org, r.ID, l.table.Row(r.Key), way == good))
		return
	}
	d := h.out.Debit
	l.commits++
	res := table.Result{Status: table.Unknown}
	switch way {
	case good:
		res = l.table.Apply(d.Tx)
	case lostAnswer:
		l.table.Apply(d.Tx)
	case landsLate:
		l.late = append(l.late, d.Tx)
	}
	l.do(h.home, h.home.Debited(l.now, d.Org, d.ID, res))
}

func (l *ledger) settleAll() {
	for len(l.held) > 0 {
		l.decide(0, good)
	}
}

func (l *ledger) step(v int) {
	const kinds = 16
	arg := v / kinds
	n := arg % len(l.homes)
	always := func(string) bool { return true }
	switch v % kinds {
	case 0, 1, 2, 3:
		l.ask(n, config.Money(arg/3%300+1), fmt.Sprint("boot", arg/1000%20/19))
	case 4, 5, 6:
		if len(l.open) > 0 {
			at := arg % len(l.open)
			l.end(at, config.Money(arg/7%int(l.open[at].amount+1)), arg/5%3)
		}
	case 7:
		if arg%4 == 0 {
			l.rebirth(n)
		}
	case 8:
		l.now = l.now.Add(time.Duration(arg%1200) * time.Second)
	case 9:
		l.do(l.homes[n], l.homes[n].Tick(l.now, always, func(string) bool { return arg%2 == 0 }))
	case 10:
		if len(l.late) > 0 {
			l.table.Apply(l.late[0])
			l.late = l.late[1:]
		}
	default:
		if len(l.held) > 0 {
			l.decide(arg%len(l.held), max(arg/11%(2*ways)-ways, good))
		}
	}
}
