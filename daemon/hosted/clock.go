package hosted

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted, including time during
// which it was suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have CLOCK_BOOTTIME.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
