package core

import (
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Prefixes of operation ids. The rest of an id identifies the request, write, transfer, query or
// upstream that the operation belongs to.
const (
	opClaim     = "claim:"
	opFence     = "fence:"
	opRecord    = "record:"
	opLookUp    = "lookup:"
	opAwait     = "await:"
	opWriteBack = "back:"
	opSweep     = "sweep:"
	opDebit     = "debit:"
	opBudget    = "budget:"
	opConfig    = "config:"
	opOrder     = "order:"
)

func (i *Instance) onCommit(now time.Time, e CommitResult) {
	i.tableHealth.observe(e.Result.Status != table.Unknown)
	kind, id, _ := strings.Cut(e.Op, ":")
	switch kind + ":" {
	case opClaim:
		i.onClaim(now, id, e.Result)
	case opFence:
		i.onFence(now, id, e.Result)
	case opRecord:
		i.onRecorded(now, id, e.Result)
	case opWriteBack:
		i.onWriteBackResult(now, id, e.Result)
	case opDebit:
		i.onDebited(now, id, e.Result)
	case opOrder:
		i.onOrderCommitted(now, id, e.Result)
	}
}

func (i *Instance) onRead(now time.Time, e ReadResult) {
	i.tableHealth.observe(e.OK)
	kind, id, _ := strings.Cut(e.Op, ":")
	switch kind + ":" {
	case opLookUp:
		i.onLookUp(now, id, e)
	case opAwait:
		i.onAwait(now, id, e)
	case opBudget:
		i.onBudgetRow(now, id, e)
	case opConfig:
		i.onConfigRow(now, e)
	case opOrder:
		i.onOrderRow(now, id, e)
	}
}
