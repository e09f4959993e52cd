package core

import (
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// budgetCheckInterval is the interval between checks of the accounts for reservations of dead
// entries and for chunks to return.
const budgetCheckInterval = 5 * time.Second

func (i *Instance) onReserveRequest(now time.Time, from string, m msg.ReserveRequest) {
	m.Request.Entry = from
	i.orgs.SetStoreDown(i.tableHealth.down())
	i.emitBudget(i.orgs.Reserve(now, m.Request))
}

func (i *Instance) onSettle(now time.Time, m msg.Settle) {
	i.orgs.SetStoreDown(i.tableHealth.down())
	i.emitBudget(i.orgs.Settle(now, m.Org, m.Request, config.Money(m.Used), m.Tokens))
}

// onDebited handles the result of a debit. The id has the form "ORGANISATION/TRANSFER".
func (i *Instance) onDebited(now time.Time, id string, res table.Result) {
	org, transfer := splitTransferID(id)
	i.orgs.SetStoreDown(i.tableHealth.down())
	i.emitBudget(i.orgs.Debited(now, org, transfer, res))
}

func (i *Instance) onBudgetRow(now time.Time, id string, e ReadResult) {
	org, transfer := splitTransferID(id)
	i.orgs.SetStoreDown(i.tableHealth.down())
	var row table.Row
	if len(e.Rows) > 0 {
		row = e.Rows[0]
	}
	i.emitBudget(i.orgs.Reread(now, org, transfer, row, e.OK))
}

// splitTransferID splits an operation id at its last slash, as names of instances contain none.
func splitTransferID(id string) (org, transfer string) {
	slash := strings.LastIndex(id, "/")
	return id[:slash], id[slash+1:]
}

// tickBudgets checks the accounts. A draining instance is no longer the home of any organisation
// and returns its chunks.
func (i *Instance) tickBudgets(now time.Time) {
	if now.Sub(i.budgetsChecked) < budgetCheckInterval {
		return
	}
	i.budgetsChecked = now
	i.orgs.SetStoreDown(i.tableHealth.down())
	alive := func(entry string) bool {
		_, ok := i.view.Member(entry)
		return ok
	}
	isHome := func(org string) bool {
		homes := i.orgHomes(now, org)
		return len(homes) > 0 && homes[0] == i.self
	}
	i.emitBudget(i.orgs.Tick(now, alive, isHome))
}

func (i *Instance) emitBudget(outs []budget.Action) {
	for _, o := range outs {
		switch {
		case o.Debit != nil:
			i.emit(Commit{Op: opDebit + o.Debit.Org + "/" + o.Debit.ID, Tx: o.Debit.Tx})
		case o.Reread != nil:
			i.emit(Read{Op: opBudget + o.Reread.Org + "/" + o.Reread.ID, Keys: []string{o.Reread.Key}})
		case o.Response != nil:
			i.send(o.Response.Entry, msg.ReserveResponse{Response: *o.Response})
		}
	}
}
