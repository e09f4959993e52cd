// Package memory accounts for the memory that one process uses for requests, responses and
// messages. Every buffer whose size callers, upstreams or other instances determine is reserved
// before it is filled. The package does no I/O and reads no clock; the caller serialises all calls.
package memory

import "time"

// Purpose is what memory is used for.
type Purpose uint8

// The purposes.
const (
	// Bodies are the buffered bodies of requests.
	Bodies Purpose = iota
	// Responses are buffered responses, and the buffers that each request has for its connections.
	Responses
	// Streams are events and parts of responses that were read and not yet written to the caller,
	// and the socket buffers of connections that are read too slowly.
	Streams
	// Messages are the messages queued for other instances.
	Messages
	// Heads are the parts of the heads of requests and responses that exceed the buffers of their connections, as
	// they are stored once parsed, and the bodies of responses to calls other than requests.
	Heads
	// PurposeCount is the number of purposes.
	PurposeCount
)

var purposeNames = [PurposeCount]string{Bodies: "bodies", Responses: "responses", Streams: "streams", Messages: "messages", Heads: "heads"}

// String returns the name of the purpose in metrics and logs.
func (p Purpose) String() string { return purposeNames[p] }

const (
	// nearlyFullShare is the share in use from which the account is nearly full, and freeAgainShare
	// the share below which it is free again. The distance keeps the state from alternating with
	// each request.
	nearlyFullShare = 0.9
	freeAgainShare  = 0.75
)

// Limits are the limits of an account in bytes.
type Limits struct {
	// Total is the limit of all purposes together.
	Total int64
	// Guaranteed are the parts that other purposes cannot use. Their sum is at most Total.
	Guaranteed [PurposeCount]int64
	// Max are the largest amounts of single purposes; 0 means no limit besides Total.
	Max [PurposeCount]int64
}

// Account is the memory account of a process.
type Account struct {
	limits Limits
	inUse  [PurposeCount]int64
	drains [PurposeCount]drain
	// nearlyFull is the state that Level last returned.
	nearlyFull bool
}

// New returns an account of which nothing is in use.
func New(l Limits) *Account { return &Account{limits: l} }

// Reserve reserves n bytes and reports whether they are available: within the purpose's
// guaranteed part, or within what the guaranteed parts and the use of the others leave.
func (a *Account) Reserve(p Purpose, n int64) bool {
	if n > a.room(p) {
		return false
	}
	a.inUse[p] += n
	return true
}

// Charge records n bytes that are in use already and cannot be refused, as those of a socket
// buffer that is full. The total may then exceed the limit; the guaranteed parts of other purposes
// remain available.
func (a *Account) Charge(p Purpose, n int64) { a.inUse[p] += n }

// Release returns n bytes that were reserved or charged.
func (a *Account) Release(now time.Time, p Purpose, n int64) {
	before := a.committed()
	a.inUse[p] -= n
	freed := before - a.committed()
	for q := range PurposeCount {
		switch {
		case q == p:
			a.drains[q].add(now, n)
		case a.ownRoom(q) > a.sharedRoom(q):
			a.drains[q].add(now, freed)
		}
	}
}

// Refused records that n bytes were refused and returns the delay after which they are available,
// given how fast memory has been released and what was refused before: callers that are refused
// together do not return together.
func (a *Account) Refused(now time.Time, p Purpose, n int64) time.Duration {
	return a.drains[p].promise(now, n, max(n-a.room(p), 0))
}

// InUse returns the bytes in use for a purpose.
func (a *Account) InUse(p Purpose) int64 { return a.inUse[p] }

// Limit returns the limit of all purposes together in bytes.
func (a *Account) Limit() int64 { return a.limits.Total }

// InUseShare returns the share of the account that is in use. It can exceed 1 because of charges.
func (a *Account) InUseShare() float64 {
	total := int64(0)
	for _, n := range a.inUse {
		total += n
	}
	return float64(total) / float64(a.limits.Total)
}

// Level reports whether the account is nearly full, and whether that has changed since the last
// call. Memory that is kept for another purpose is not available and counts as in use.
func (a *Account) Level() (nearlyFull, changed bool) {
	shared := float64(a.limits.Total - a.guaranteed())
	lent := float64(a.committed() - a.guaranteed())
	was := a.nearlyFull
	switch {
	case lent >= nearlyFullShare*shared:
		a.nearlyFull = true
	case lent < freeAgainShare*shared:
		a.nearlyFull = false
	}
	return a.nearlyFull, a.nearlyFull != was
}

// room returns the bytes that are available for a purpose.
func (a *Account) room(p Purpose) int64 { return min(a.ownRoom(p), a.sharedRoom(p)) }

// ownRoom returns the bytes that a purpose may use beyond its present use, by its own maximum.
func (a *Account) ownRoom(p Purpose) int64 {
	limit := a.limits.Max[p]
	if limit == 0 {
		limit = a.limits.Total
	}
	return limit - a.inUse[p]
}

// sharedRoom returns the bytes that are available for a purpose, by its guaranteed part and what
// the other purposes leave.
func (a *Account) sharedRoom(p Purpose) int64 {
	return max(a.limits.Guaranteed[p]-a.inUse[p], 0) + max(a.limits.Total-a.committed(), 0)
}

// committed returns the bytes that are in use or guaranteed to a purpose.
func (a *Account) committed() (sum int64) {
	for p, n := range a.inUse {
		sum += max(n, a.limits.Guaranteed[p])
	}
	return sum
}

// guaranteed returns the sum of the guaranteed parts.
func (a *Account) guaranteed() (sum int64) {
	for _, n := range a.limits.Guaranteed {
		sum += n
	}
	return sum
}
