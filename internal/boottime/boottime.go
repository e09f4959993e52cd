// Package boottime reads a clock that never jumps and that includes the time during which the
// host was suspended.
//
// Go's monotonic clock stops while the host is suspended: a lease or a confirmation that expired
// in the meantime would still look valid after the host resumes. The wall clock includes
// suspension but jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start, as a time.Time. Such values may only be compared
// with and subtracted from each other, on the same host.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it the age of a confirmation
		// is unknown, and continuing to serve would break the limit on revocation time.
		panic("boottime: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
