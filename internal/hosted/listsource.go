package hosted

import "mulberrylug.example/mulberrylug/internal/core/watch"

// listSource is the instance whose list this instance has in whole. A drop without a version is sent only to those
// that query an instance all the time, so that the first query of another one must request the whole list.
type listSource struct {
	// name is "" if the list was read from the store. requested is the number of the last query for the whole list.
	name      string
	requested int64
}

// mustRequestAll reports whether a query must request the whole list. A query of a further source need not: the
// preferred source is still queried.
func (l *listSource) mustRequestAll(q watch.Query) bool {
	if q.Further || q.Source == l.name {
		return false
	}
	l.requested = q.Number
	return true
}

// onResponse records a response with the list.
func (l *listSource) onResponse(from string, number int64) {
	if number == l.requested {
		l.name = from
	}
}

// onStoreRead records that the store was read.
func (l *listSource) onStoreRead() { l.name = "" }
