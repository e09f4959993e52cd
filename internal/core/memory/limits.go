package memory

const (
	// totalShare is the fraction of the machine's memory that the account covers. On a machine of
	// 120 MB that is 54 MB. A process in a fleet of 300 instances takes 24 MB for its state, and
	// the rest is for stacks, socket buffers and the garbage collector.
	totalShare = 0.45
	// bodyShare is the fraction of the machine's memory for buffered bodies, and minBodyMemory the
	// minimum in bytes, for machines whose memory size is unknown.
	bodyShare     = 0.15
	minBodyMemory = 4 << 20
	// headShare is the fraction of the machine's memory for heads that exceed the buffers of their connections.
	// Usual heads do not. On a machine of 120 MB it suffices for 26 heads of the maximum size at once.
	headShare = 0.1
	// assumedMemory is assumed in bytes if the size of the machine's memory is unknown: the size
	// of the smallest machines.
	assumedMemory = 120 << 20
)

// guaranteedShares are the guaranteed parts as fractions of the machine's memory. On a machine of
// 120 MB they suffice for 100 bodies of 64 KB, for 380 requests in progress without large
// responses, and for 9 MB of read-ahead.
var guaranteedShares = [PurposeCount]float64{Bodies: 0.05, Responses: 0.1, Streams: 0.08, Messages: 0.02}

// LimitsFor returns the limits for a machine with the given memory in bytes; 0 means unknown.
func LimitsFor(machine int64) Limits {
	l := Limits{}
	l.Max[Bodies] = max(int64(bodyShare*float64(machine)), minBodyMemory)
	if machine <= 0 {
		machine = assumedMemory
	}
	l.Total = int64(totalShare * float64(machine))
	l.Max[Heads] = int64(headShare * float64(machine))
	for p, share := range guaranteedShares {
		l.Guaranteed[p] = int64(share * float64(machine))
	}
	l.Guaranteed[Bodies] = min(l.Guaranteed[Bodies], l.Max[Bodies])
	return l
}
