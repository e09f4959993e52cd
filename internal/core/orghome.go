package core

import (
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// tidyInterval is the interval between checks of accounts for reservations of dead entries and
// chunks to return.
const tidyInterval = 5 * time.Second

func (i *Instance) onReserveAsk(now time.Time, from string, m msg.ReserveAsk) {
	m.Ask.Entry = from
	i.orgs.SetStoreDown(i.store.down())
	i.doBudget(i.orgs.Ask(now, m.Ask))
}

func (i *Instance) onSettle(now time.Time, m msg.Settle) {
	i.orgs.SetStoreDown(i.store.down())
	i.doBudget(i.orgs.Settle(now, m.Org, m.Request, config.Money(m.Used), m.Tokens))
}

// onDebited handles the result of a debit; id is "ORGANISATION/MOVE".
func (i *Instance) onDebited(now time.Time, id string, res table.Result) {
	org, move := cutMove(id)
	i.orgs.SetStoreDown(i.store.down())
	i.doBudget(i.orgs.Debited(now, org, move, res))
}

func (i *Instance) onBudgetRow(now time.Time, id string, e ReadResult) {
	org, move := cutMove(id)
	i.orgs.SetStoreDown(i.store.down())
	var row table.Row
	if len(e.Rows) > 0 {
		row = e.Rows[0]
	}
	i.doBudget(i.orgs.Reread(now, org, move, row, e.OK))
}

// cutMove splits at the last slash: names of instances hold none.
func cutMove(id string) (org, move string) {
	at := strings.LastIndex(id, "/")
	return id[:at], id[at+1:]
}

// tickBudgets checks the accounts. A draining instance is no home any more and returns its
// chunks.
func (i *Instance) tickBudgets(now time.Time) {
	if now.Sub(i.tidied) < tidyInterval {
		return
	}
	i.tidied = now
	i.orgs.SetStoreDown(i.store.down())
	alive := func(entry string) bool {
		_, ok := i.view.Member(entry)
		return ok
	}
	mine := func(org string) bool {
		homes := i.orgHomes(now, org)
		return len(homes) > 0 && homes[0] == i.self
	}
	i.doBudget(i.orgs.Tick(now, alive, mine))
}

func (i *Instance) doBudget(outs []budget.Out) {
	for _, o := range outs {
		switch {
		case o.Debit != nil:
			i.emit(Commit{Op: opDebit + o.Debit.Org + "/" + o.Debit.ID, Tx: o.Debit.Tx})
		case o.Reread != nil:
			i.emit(Read{Op: opBudget + o.Reread.Org + "/" + o.Reread.ID, Keys: []string{o.Reread.Key}})
		case o.Answer != nil:
			i.send(o.Answer.Entry, msg.ReserveAnswer{Answer: *o.Answer})
		}
	}
}
