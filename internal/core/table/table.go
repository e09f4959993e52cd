// Package table defines the platform's transactional table as the core uses it: transactions of
// conditions and writes, and the three outcomes of a transaction.
package table

// Row is a stored row. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Cond requires that a row has a version when the transaction commits; 0 requires that it is
// absent.
type Cond struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write stores a value or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete"`
}

// Tx is a transaction: all writes take effect if all conditions hold, otherwise none.
type Tx struct {
	Conds  []Cond  `json:"conds"`
	Writes []Write `json:"writes"`
}

// Status is the outcome of a transaction.
type Status int

// Outcomes of a transaction.
const (
	// Committed: all writes took effect.
	Committed Status = iota + 1
	// Conflict: a condition did not hold and nothing took effect.
	Conflict
	// Unknown: no response arrived. The writes may have taken effect, may never do so, or may
	// still do so later.
	Unknown
)

// Result is the result of a transaction. After Committed and Conflict, Rows holds the current
// state of each row named in Conds, including absent ones.
type Result struct {
	Status Status `json:"status"`
	Rows   []Row  `json:"rows"`
}

// Find returns the row of a key, or an absent row if the result does not contain the key.
func (r Result) Find(key string) Row {
	for _, row := range r.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
