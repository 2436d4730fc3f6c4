package hosted

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, which goes on while it
// is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
