// Package hosted runs an instance on a hosting platform. It serves opaque requests, follows
// configuration and upstreams in the platform's store and tells callers which instances to
// use. Decisions are made by the packages under core; this package holds sockets and timers.
// The platform's wire is behind the interfaces in ports.go.
package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// Settings are the parameters of a process.
type Settings struct {
	// Name is unique among the instances.
	Name       string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	IP      string
	// CallerAddress serves requests, ReadyAddress the platform's checks, DirectoryAddress
	// directory requests.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	// PeerPort is the port for other instances, SeedAddress an additional listener named as a
	// seed ("" for none), Seeds some instances that a starting one asks for members.
	PeerPort     int
	SeedAddress  string
	Seeds        []string
	StoreAddress string
	// MetricsPort serves metrics; 0 disables it.
	MetricsPort int
	MemoryBytes int64
	// Class is the number of times that the machine's link in Mbit/s can be halved; 0 if
	// unknown.
	Class uint8
	// MaxDescriptors is the limit on open descriptors.
	MaxDescriptors int
	// DrainWithin bounds the time until a leaving upstream gets no more work.
	DrainWithin time.Duration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// ApplyWithin bounds the time until a configuration is in force.
	ApplyWithin time.Duration
	// StrictRevocation demands that a revoked key works nowhere after RevokeWithin, including
	// on isolated instances.
	StrictRevocation bool
	RevokeWithin     time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all instances together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Without lists disabled mechanisms.
	Without mechanism.Set
	// Ways selects between alternative ways of deciding.
	Ways mechanism.Ways
	// MaxEntries is the maximum number of addresses in a directory answer.
	MaxEntries int
	// MaxEntryTTL is the maximum lifetime of a directory answer.
	MaxEntryTTL time.Duration
}
