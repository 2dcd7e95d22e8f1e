package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspension returns the total time for which the machine was suspended since it
// booted: the difference between CLOCK_BOOTTIME and CLOCK_MONOTONIC. It reads
// CLOCK_BOOTTIME first, so that a pause between the two readings makes the result
// too low and never too high. It returns 0 if the clocks cannot be read.
func suspension() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
