// Package boottime reads a clock that never jumps and also counts the time for
// which the machine was suspended.
//
// The ordinary steady clock stands still while a machine is suspended: a lease
// or a confirmation that lapsed meanwhile would still look fresh after it wakes.
// The time of day counts suspension but jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a moment. Only differences
// and comparisons of such moments mean anything, and only within one machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; without it freshness can't
		// be told, and serving on would break the bound on revocation.
		panic("boottime: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
