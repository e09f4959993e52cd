// Package hosted runs an instance on a hosting platform. It serves opaque requests, keeps the
// configuration and the list of upstreams from the platform's store current, and directs callers
// to instances. The packages under core make the decisions; this package holds the sockets and
// timers. The interfaces in ports.go hide the platform's protocol.
package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// Machine returns the resources that the instance may use.
func (s Settings) Machine() fleet.Machine {
	return fleet.Machine{LinkMbps: s.LinkMbps, Cores: s.CPUShare, MemoryMB: float64(s.MemoryBytes) / 1e6, Descriptors: s.MaxDescriptors}
}

// Settings are the parameters of a process.
type Settings struct {
	// Name is unique among the instances.
	Name       string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	IP      string
	// CallerAddress is the address for callers' requests, ReadyAddress that for the platform's
	// readiness checks and DirectoryAddress that for directory requests.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	// PeerPort is the port for other instances. Seeds are addresses of instances that a starting
	// one asks for members. SeedAddress is an additional listener for those that use this
	// instance as a seed; "" for none.
	PeerPort     int
	SeedAddress  string
	Seeds        []string
	StoreAddress string
	// MetricsPort serves metrics; 0 disables it.
	MetricsPort int
	MemoryBytes int64
	// LinkMbps is the bandwidth of the machine's link in Mbit/s, in each direction. CPUShare is the
	// processor time that the process may use, in cores. 0 means unknown.
	LinkMbps float64
	CPUShare float64
	// MaxDescriptors is the limit on open descriptors.
	MaxDescriptors int
	// DrainWithin is the maximum time until a leaving upstream gets no more work.
	DrainWithin time.Duration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// ApplyWithin is the maximum time until a new configuration is in force.
	ApplyWithin time.Duration
	// StrictRevocation demands that a revoked key works nowhere after RevokeWithin, including
	// on isolated instances.
	StrictRevocation bool
	RevokeWithin     time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of all instances together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Without lists disabled mechanisms.
	Without mechanism.Set
	// Ways selects among alternative implementations of mechanisms.
	Ways mechanism.Ways
	// MaxEntries is the maximum number of addresses in a directory response.
	MaxEntries int
	// MaxEntryTTL is the maximum lifetime of a directory response.
	MaxEntryTTL time.Duration
}
