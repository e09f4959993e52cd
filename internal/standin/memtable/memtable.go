// Package memtable is a transactional table in memory. The stand-in for the platform
// and the simulations of tests use it, and add calls, faults and locks themselves.
package memtable

import (
	"slices"
	"strings"

	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Table holds rows. It is not safe for concurrent use.
type Table struct {
	// Rows holds the existing rows by key.
	Rows map[string]table.Row
	// version is the newest version of any row. Since all rows share it, a key
	// that is written again after its deletion never repeats an earlier version.
	version int64
}

// New returns an empty table.
func New() *Table { return &Table{Rows: map[string]table.Row{}} }

// Row returns the row of a key. The row of an absent key has version 0.
func (t *Table) Row(key string) table.Row {
	row := t.Rows[key]
	row.Key = key
	return row
}

// Write applies writes without conditions.
func (t *Table) Write(writes ...table.Write) {
	for _, w := range writes {
		if w.Delete {
			delete(t.Rows, w.Key)
			continue
		}
		t.version++
		t.Rows[w.Key] = table.Row{Key: w.Key, Version: t.version, Value: w.Value}
	}
}

// Apply executes a transaction: it applies all writes if all conditions hold, else none.
// The result holds the rows of the conditions as they are afterwards.
func (t *Table) Apply(tx table.Tx) table.Result {
	res := table.Result{Status: table.Committed}
	for _, c := range tx.Conds {
		if t.Rows[c.Key].Version != c.Version {
			res.Status = table.Conflict
		}
	}
	if res.Status == table.Committed {
		t.Write(tx.Writes...)
	}
	for _, c := range tx.Conds {
		res.Rows = append(res.Rows, t.Row(c.Key))
	}
	return res
}

// Scan returns the rows whose key has a prefix, in the order of their keys.
func (t *Table) Scan(prefix string) []table.Row {
	var rows []table.Row
	for key, row := range t.Rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}
