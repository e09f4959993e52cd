package budget

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// maxRecent is the number of transfer ids stored in a row. A home whose response was lost finds
// its transfer there, unless that many others were committed in between: it then forfeits the
// chunk.
const maxRecent = 8

// Row is the stored state of an organisation's spending limit. There is one row for each
// organisation and kind of period; a later period reuses it, so that rows do not accumulate.
type Row struct {
	// Period is the number of the period that Debited belongs to; see PeriodOf.
	Period  int64        `json:"period"`
	Debited config.Money `json:"debited"`
	// Recent lists the ids of the latest transfers, newest first.
	Recent []string `json:"recent,omitempty"`
}

// transfer is a change of the debited amount that may be in flight: a debited chunk or, if
// negative, a returned amount.
type transfer struct {
	id     string
	amount config.Money
	period int64
	// epoch is the account's epoch when the transfer started.
	epoch int
	// tx is the same for each try: the id in the row shows whether an earlier try took effect,
	// so that no chunk is debited twice.
	tx    table.Tx
	tries int
	// unresolved is set while no try is in flight and the outcome is unknown.
	unresolved bool
	// readOnly marks a read of the row without a change.
	readOnly bool
}

func rowKey(org, period string) string { return fmt.Sprintf("budget/%q/%s", org, period) }

// PeriodOf returns the number of the accounting period that contains now.
func PeriodOf(now time.Time, l config.Limits) int64 {
	return now.UnixNano() / int64(l.PeriodLength())
}

func untilNextPeriod(now time.Time, l config.Limits) time.Duration {
	length := l.PeriodLength()
	return length - time.Duration(now.UnixNano()%int64(length))
}

// transferTx returns the transaction that adds amount to the debited amount.
func (a *account) transferTx(id string, amount config.Money) table.Tx {
	next := Row{Period: a.period, Debited: a.debited() + amount}
	next.Recent = append([]string{id}, a.row.Recent...)
	if len(next.Recent) > maxRecent {
		next.Recent = next.Recent[:maxRecent]
	}
	key := rowKey(a.org, a.limits.Period)
	return table.Tx{
		Conds:  []table.Cond{{Key: key, Version: a.version}},
		Writes: []table.Write{{Key: key, Value: encodeRow(next)}},
	}
}

func (r Row) has(id string) bool { return slices.Contains(r.Recent, id) }

func encodeRow(r Row) []byte {
	b, err := json.Marshal(r)
	if err != nil { // a struct of numbers and strings always encodes
		panic(err)
	}
	return b
}

func decodeRow(b []byte) Row {
	var r Row
	if len(b) > 0 && json.Unmarshal(b, &r) != nil {
		// An unreadable row must not be taken for an unused limit.
		return Row{Period: 1 << 62, Debited: 1 << 62}
	}
	return r
}
