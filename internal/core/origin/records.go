// Package origin keeps which software began the streams that callers may still take up again. An instance
// keeps the records of the streams that began there, and those that other instances have given to it. The
// package does no I/O.
package origin

import (
	"container/list"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// MaxRecords is the maximum number of records; the oldest is dropped for a further one. A record takes some
// 300 bytes, all of them 5 MB.
const MaxRecords = 16 << 10

// Key identifies a stream by the id of the request that brought its first event. Ids are the callers': with the
// organisation, no caller learns of another one's streams or replaces their records.
type Key struct {
	// Organisation is "" on public routes.
	Organisation string
	Request      string
}

// Record states where a stream began.
type Record struct {
	Key    Key
	Origin roster.Origin
	// At is when the stream began, ExpiresAt when its caller no longer takes it up.
	At        time.Time
	ExpiresAt time.Time
	// Own is set if the stream began at this instance. Shared is set once other instances have the record. Until
	// then they rely on all streams of the service that began within Window having the same origin.
	Own, Shared bool
	Window      time.Duration
}

// Records holds records by key. It is not safe for concurrent use.
type Records struct {
	byKey map[Key]*list.Element
	// byAge holds the records, the oldest first.
	byAge *list.List
	// unshared holds the keys of own records that are not shared.
	unshared map[Key]bool
	max      int
}

// NewRecords returns an empty set of at most a number of records.
func NewRecords(most int) *Records {
	return &Records{byKey: map[Key]*list.Element{}, byAge: list.New(), unshared: map[Key]bool{}, max: most}
}

// Add adds a record. One that contradicts an earlier record of the same stream makes its origin unknown: two
// streams then have the same id, and no software may go on with either.
func (r *Records) Add(now time.Time, rec Record) {
	if e := r.byKey[rec.Key]; e != nil && now.Before(record(e).ExpiresAt) {
		old := record(e)
		if !sameSoftware(old.Origin, rec.Origin) {
			old.Origin = roster.Origin{}
		}
		old.Own, old.Shared = old.Own || rec.Own, old.Shared || rec.Shared
		if rec.ExpiresAt.After(old.ExpiresAt) {
			old.ExpiresAt = rec.ExpiresAt
		}
		return
	}
	r.drop(r.byKey[rec.Key])
	if len(r.byKey) >= r.max {
		r.drop(r.byAge.Front())
	}
	r.byKey[rec.Key] = r.byAge.PushBack(&rec)
	if rec.Own && !rec.Shared {
		r.unshared[rec.Key] = true
	}
}

// sameSoftware reports whether two origins name the same software of the same service.
func sameSoftware(a, b roster.Origin) bool {
	return a.Service == b.Service && a.Software == b.Software && (a.Software != "" || a.Run == b.Run)
}

func record(e *list.Element) *Record { return e.Value.(*Record) }

func (r *Records) drop(e *list.Element) {
	if e != nil {
		delete(r.byKey, record(e).Key)
		delete(r.unshared, record(e).Key)
		r.byAge.Remove(e)
	}
}

// Find returns the record of a stream that its caller may still take up.
func (r *Records) Find(now time.Time, key Key) (rec Record, ok bool) {
	if e := r.byKey[key]; e != nil && now.Before(record(e).ExpiresAt) {
		return *record(e), true
	}
	return rec, false
}

// All returns the records that have not expired, the oldest first.
func (r *Records) All(now time.Time) (out []Record) {
	for e := r.byAge.Front(); e != nil; e = e.Next() {
		if now.Before(record(e).ExpiresAt) {
			out = append(out, *record(e))
		}
	}
	return out
}

// Unshared returns the own records that have not expired and that other instances do not have.
func (r *Records) Unshared(now time.Time) (out []Record) {
	for key := range r.unshared {
		if rec, ok := r.Find(now, key); ok {
			out = append(out, rec)
		}
	}
	return out
}

// Expire drops the oldest records that have expired.
func (r *Records) Expire(now time.Time) {
	for e := r.byAge.Front(); e != nil && !now.Before(record(e).ExpiresAt); e = r.byAge.Front() {
		r.drop(e)
	}
}

// MarkShared records that other instances have the record of a stream.
func (r *Records) MarkShared(key Key) {
	delete(r.unshared, key)
	if e := r.byKey[key]; e != nil {
		record(e).Shared = true
	}
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byKey) }
