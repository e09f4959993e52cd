package fleet

import (
	"math/bits"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// The units of a resource that correspond to 1 Mbit/s of bandwidth. On this scale a machine of
	// 10 Mbit/s, 0.125 of a core, 120 MB and 2,800 descriptors has the same class from each.
	unitsPerCore       = 80
	megabytesPerUnit   = 12
	descriptorsPerUnit = 280
	// maxClass is the maximum capacity class. Higher values of Heartbeat.Class state the release.
	maxClass = 31
	// maxCapacityWeight limits how often a large machine is listed relative to the smallest one. The
	// class is a coarse estimate, and a caller must find other machines if the large ones fail.
	maxCapacityWeight = 4
)

// Machine states the resources that an instance may use. A field is 0 if it is unknown.
type Machine struct {
	// LinkMbps is the bandwidth in Mbit/s, Cores the processor time in seconds a second, MemoryMB the
	// memory in MB, and Descriptors the number of file descriptors.
	LinkMbps    float64
	Cores       float64
	MemoryMB    float64
	Descriptors int
}

// Class returns the capacity class: the smallest class of the known resources, 0 if none is known. The
// class of a resource is the number of times that its amount, in units of 1 Mbit/s, can be halved until
// it is less than 1.
func (m Machine) Class() uint8 {
	class, known := uint8(maxClass), false
	amounts := []float64{m.LinkMbps, m.Cores * unitsPerCore, m.MemoryMB / megabytesPerUnit, float64(m.Descriptors) / descriptorsPerUnit}
	for _, units := range amounts {
		if units > 0 {
			class, known = min(class, classOf(units)), true
		}
	}
	if !known {
		return 0
	}
	return class
}

// classOf returns the class of an amount of a resource.
func classOf(units float64) uint8 {
	return uint8(bits.Len64(uint64(min(units, 1<<maxClass-1))))
}

// capacityWeights returns the weights of instances by the capacity of their machines. The smallest
// machine has weight 1, one class more is twice the capacity. An unknown class counts as the smallest.
func capacityWeights(list []msg.Heartbeat) []float64 {
	smallest := uint8(maxClass)
	for _, b := range list {
		if c := b.Capacity(); c > 0 {
			smallest = min(smallest, c)
		}
	}
	out := make([]float64, len(list))
	for k, b := range list {
		out[k] = 1
		if c := b.Capacity(); c > smallest {
			out[k] = min(float64(uint64(1)<<(c-smallest)), maxCapacityWeight)
		}
	}
	return out
}
