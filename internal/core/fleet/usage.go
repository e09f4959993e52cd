package fleet

import (
	"math"
	"time"
)

// usageWindow is the time constant of the moving averages of a resource's use. Within a few seconds a
// collection of garbage or a burst of responses is averaged out, but a wave of a period of 17 s is not.
const usageWindow = 2 * time.Second

// Resource is a resource of an instance's machine.
type Resource int

// The resources.
const (
	Processor Resource = iota
	Sending
	Receiving
	Memory
	Connections
	Calls
	// ResourceCount is the number of resources.
	ResourceCount
)

// String returns the name of the resource in logs and metrics.
func (r Resource) String() string {
	return [ResourceCount]string{"processor", "sending", "receiving", "memory", "connections", "calls"}[r]
}

// Counters is a reading of an instance's use of resources.
type Counters struct {
	// Processor is the processor time since the start. Sent and Received count bytes since the start.
	Processor      time.Duration
	Sent, Received int64
	// Memory, Connections and Calls are the shares in use at this moment, from 0 to 1.
	Memory, Connections, Calls float64
}

// Usage measures the share of its resources that an instance uses, as moving averages.
type Usage struct {
	machine Machine
	at      time.Time
	last    Counters
	shares  [ResourceCount]float64
}

// NewUsage returns the usage of an instance on a machine. Resources of unknown size do not count.
func NewUsage(m Machine) *Usage { return &Usage{machine: m} }

// Observe processes a reading. The first one only sets the base of the rates.
func (u *Usage) Observe(now time.Time, c Counters) {
	elapsed := now.Sub(u.at).Seconds()
	if u.at.IsZero() || elapsed <= 0 {
		if u.at.IsZero() {
			u.at, u.last = now, c
		}
		return
	}
	part := 1 - math.Exp(-elapsed/usageWindow.Seconds())
	bytesPerSecond := u.machine.LinkMbps * 1e6 / 8
	for r, share := range [ResourceCount]float64{
		Processor:   ratio((c.Processor-u.last.Processor).Seconds()/elapsed, u.machine.Cores),
		Sending:     ratio(float64(c.Sent-u.last.Sent)/elapsed, bytesPerSecond),
		Receiving:   ratio(float64(c.Received-u.last.Received)/elapsed, bytesPerSecond),
		Memory:      c.Memory,
		Connections: c.Connections,
		Calls:       c.Calls,
	} {
		u.shares[r] += (share - u.shares[r]) * part
	}
	u.at, u.last = now, c
}

// Share returns the share of a resource that is in use.
func (u *Usage) Share(r Resource) float64 { return u.shares[r] }

// Load returns the share of the most used resource, in percent up to 100, and that resource.
func (u *Usage) Load() (percent int, most Resource) {
	for r, share := range u.shares {
		if share > u.shares[most] {
			most = Resource(r)
		}
	}
	return int(100 * min(u.shares[most], 1)), most
}

// ratio returns the share of a limit; 0 if the limit is unknown.
func ratio(used, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return used / limit
}
