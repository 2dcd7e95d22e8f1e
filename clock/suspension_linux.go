package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspension returns for how long the machine was suspended since it booted:
// what CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC. The clock that is ahead is
// read first, so a pause between the two readings makes the result too low and
// never too high; it is 0 where the clocks cannot be read.
func suspension() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
