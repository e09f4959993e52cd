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

// ledger is a test harness: it runs homes of one organisation against a table and records the
// cost of the granted work, which counts at its maximum while the work may still run.
type ledger struct {
	now           time.Time
	limits        config.Limits
	configVersion int64
	homes         []*budget.Home
	homesCreated  int
	requestCount  int
	table         *memtable.Table
	// queue holds the actions that the homes requested and that are not performed yet.
	queue []queuedAction
	// lateTxs holds transactions without a response that the table may still commit.
	lateTxs []table.Tx

	grants  []grant
	amounts map[string]config.Money
	// spent is the cost of the granted work by period.
	spent     map[int64]config.Money
	responses map[string]budget.Response
	// commits counts the transactions sent, including those that were not committed.
	commits int
}

type queuedAction struct {
	home   *budget.Home
	action budget.Action
}

type grant struct {
	home     *budget.Home
	request  string
	amount   config.Money
	period   int64
	finished bool
}

func newLedger(homes int) *ledger {
	l := &ledger{
		now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), table: memtable.New(),
		limits:  config.Limits{Spend: spend, Period: "hour", RequestsPerSecond: 1e6, TokensPerSecond: 1e6, Concurrent: 1000},
		amounts: map[string]config.Money{}, spent: map[int64]config.Money{}, responses: map[string]budget.Response{},
	}
	for n := range homes {
		l.homes = append(l.homes, nil)
		l.replaceHome(n)
	}
	return l
}

// replaceHome replaces a home by a new one without its state.
func (l *ledger) replaceHome(n int) {
	l.homesCreated++
	l.homes[n] = budget.NewHome(fmt.Sprint("home-", l.homesCreated))
}

// reserve requests a reservation from home n and returns the id of the request.
func (l *ledger) reserve(n int, amount config.Money, boot string) string {
	l.requestCount++
	id := fmt.Sprint("r", l.requestCount)
	l.amounts[id] = amount
	l.handle(l.homes[n], l.homes[n].Reserve(l.now, budget.Request{
		RequestID: id, Org: "depot", Entry: "entry", Boot: boot, Version: l.configVersion, Limits: l.limits,
		Amount: amount, Hold: 10 * time.Minute,
	}))
	return id
}

// handle records the responses among a home's actions and queues its other actions.
func (l *ledger) handle(h *budget.Home, actions []budget.Action) {
	for _, o := range actions {
		if o.Response == nil {
			l.queue = append(l.queue, queuedAction{home: h, action: o})
			continue
		}
		l.responses[o.Response.RequestID] = *o.Response
		if o.Response.Granted {
			g := grant{home: h, request: o.Response.RequestID, amount: l.amounts[o.Response.RequestID], period: budget.PeriodOf(l.now, l.limits)}
			l.grants = append(l.grants, g)
			l.spent[g.period] += g.amount
		}
	}
}

// finish ends the granted request at an index, whose final cost is used, and sends the given
// number of settlements.
func (l *ledger) finish(at int, used config.Money, settlements int) {
	g := &l.grants[at]
	if !g.finished {
		g.finished = true
		l.spent[g.period] -= g.amount - used
		g.amount = used
	}
	for range settlements {
		l.handle(g.home, g.home.Settle(l.now, "depot", g.request, g.amount, 0))
	}
}

// Faults of a call to the table: its response or request is lost, or the transaction is
// committed later.
const (
	noFault = iota
	responseLost
	requestLost
	appliedLate
	numFaults
)

// process performs the queued action at an index with a fault.
func (l *ledger) process(at, fault int) {
	q := l.queue[at]
	l.queue = append(l.queue[:at:at], l.queue[at+1:]...)
	if r := q.action.Reread; r != nil {
		l.handle(q.home, q.home.Reread(l.now, r.Org, r.ID, l.table.Row(r.Key), fault == noFault))
		return
	}
	d := q.action.Debit
	l.commits++
	res := table.Result{Status: table.Unknown}
	switch fault {
	case noFault:
		res = l.table.Apply(d.Tx)
	case responseLost:
		l.table.Apply(d.Tx)
	case appliedLate:
		l.lateTxs = append(l.lateTxs, d.Tx)
	}
	l.handle(q.home, q.home.Debited(l.now, d.Org, d.ID, res))
}

func (l *ledger) processAll() {
	for len(l.queue) > 0 {
		l.process(0, noFault)
	}
}

// step performs one step of a random run, which v selects.
func (l *ledger) step(v int) {
	const numSteps = 16
	arg := v / numSteps
	n := arg % len(l.homes)
	always := func(string) bool { return true }
	switch v % numSteps {
	case 0, 1, 2, 3:
		l.reserve(n, config.Money(arg/3%300+1), fmt.Sprint("boot", arg/1000%20/19))
	case 4, 5, 6:
		if len(l.grants) > 0 {
			at := arg % len(l.grants)
			l.finish(at, config.Money(arg/7%int(l.grants[at].amount+1)), arg/5%3)
		}
	case 7:
		if arg%4 == 0 {
			l.replaceHome(n)
		}
	case 8:
		l.now = l.now.Add(time.Duration(arg%1200) * time.Second)
	case 9:
		l.handle(l.homes[n], l.homes[n].Tick(l.now, always, func(string) bool { return arg%2 == 0 }))
	case 10:
		if len(l.lateTxs) > 0 {
			l.table.Apply(l.lateTxs[0])
			l.lateTxs = l.lateTxs[1:]
		}
	default:
		if len(l.queue) > 0 {
			l.process(arg%len(l.queue), max(arg/11%(2*numFaults)-numFaults, noFault))
		}
	}
}
