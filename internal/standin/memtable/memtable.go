// Package memtable is a transactional table in memory, as the stand-in for the
// platform and the worlds of tests serve it: without calls, faults and locks,
// which are theirs.
package memtable

import (
	"slices"
	"strings"

	"mulberrylug.example/mulberrylug/internal/core/table"
)

// Table holds rows. It is not safe for concurrent use.
type Table struct {
	// Rows holds the present rows by key.
	Rows map[string]table.Row
	// version is the newest version of any row: a key that comes again after
	// a deletion never gets a version that it had before.
	version int64
}

// New returns an empty table.
func New() *Table { return &Table{Rows: map[string]table.Row{}} }

// Row returns the row of a key; an absent one has version 0.
func (t *Table) Row(key string) table.Row {
	row := t.Rows[key]
	row.Key = key
	return row
}

// Write makes writes without conditions.
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

// Apply runs a transaction: all its writes happen if all conditions hold.
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
