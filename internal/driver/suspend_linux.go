package driver

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns for how long the machine has been suspended since it started, 0 if
// that is unknown.
func suspendedTime() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
