package msg

import (
	"time"
)

// RankedGrantRequest is a GrantRequest that also states what decides when there is not enough room for
// all. It is sent to homes that understand it.
type RankedGrantRequest struct {
	Grant GrantRequest
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// TimeLeft is the time until the deadline of the request; 0 if unknown.
	TimeLeft time.Duration
}

// UpstreamSpeed reports to a pool's home how fast an upstream works, as it stated in a response.
type UpstreamSpeed struct {
	Pool     string
	Upstream string
	// Boot identifies the process run of the upstream.
	Boot string
	// Percent is how long work takes at the upstream; 100 is as usual.
	Percent int
	// Age is the time since the upstream stated it.
	Age time.Duration
}

// InstanceLoad announces how much of its own room an instance uses, once that is elevated, and once
// when it no longer is.
type InstanceLoad struct {
	Name string
	// Boot identifies the process run of the instance.
	Boot string
	// Percent is the share of the instance's most used resource that is in use; 0 is no longer
	// elevated.
	Percent int
}

// Kind implements Message.
func (RankedGrantRequest) Kind() Kind { return KindRankedGrantRequest }

// Kind implements Message.
func (UpstreamSpeed) Kind() Kind { return KindUpstreamSpeed }

// Kind implements Message.
func (InstanceLoad) Kind() Kind { return KindInstanceLoad }
