package msg

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
)

// UpstreamLeaving announces that an upstream has stated that it leaves. The store may be silent, and
// the homes of pools move running generations away.
type UpstreamLeaving struct {
	Upstream string
	// Boot identifies the process run of the upstream.
	Boot string
}

// Kind implements Message.
func (UpstreamLeaving) Kind() Kind { return KindUpstreamLeaving }

// RateStatement reports the rate limit that an upstream stated in a response. The instance that
// received the response sends it to the home of the upstream's limit when the limit has changed, and
// to all instances when a limit begins or ends.
type RateStatement struct {
	Upstream string
	// Boot identifies the process run of the upstream.
	Boot string
	// Stated is set if the upstream stated a limit; PerSecond is then the limit in requests per
	// second from all instances together.
	Stated    bool
	PerSecond float64
	// Age is the time since the response with the limit arrived. If no limit was stated, it is
	// the time since the request was sent to which the response was: the upstream responded later.
	Age time.Duration
	// Sent is the number of requests that the sender sent to the upstream in the
	// ratelimit.LookBack before it learned of the limit. It is set in the first message of an
	// instance to the home of a limit.
	Sent int
}

// PermitRequest requests the permission to send one request to an upstream that states a rate
// limit. It is idempotent by ID and repeated while the entry waits.
type PermitRequest struct {
	ID string
	// Limit is the upstream's limit as the sender knows it: the receiver may be a new home.
	Limit RateStatement
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// MaxWait is the time for which the request may wait and still be served in time. MaxLateWait
	// is the time for which it may wait at all. Both are 0 if it can be sent to another upstream.
	MaxWait, MaxLateWait time.Duration
	// Spare is set for a probe, which uses only the rate that nothing else uses.
	Spare bool
}

// PermitResponse is the response to a PermitRequest. It is sent immediately, and again when a queued
// request is decided.
type PermitResponse struct {
	ID      string
	Outcome ratelimit.Outcome
	// Wait is the expected wait if the request is queued, and the Retry-After if it is refused.
	Wait time.Duration
	// TTL is how long the permit may be used, counted from when the home sent it.
	TTL time.Duration
	// Limit is the limit that the home enforces.
	Limit RateStatement
}

// PermitCancel withdraws a PermitRequest whose caller has left.
type PermitCancel struct {
	ID       string
	Upstream string
	Boot     string
}

// Kind implements Message.
func (RateStatement) Kind() Kind { return KindRateStatement }

// Kind implements Message.
func (PermitRequest) Kind() Kind { return KindPermitRequest }

// Kind implements Message.
func (PermitResponse) Kind() Kind { return KindPermitResponse }

// Kind implements Message.
func (PermitCancel) Kind() Kind { return KindPermitCancel }
