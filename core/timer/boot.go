package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTimeNow returns the time since the VM's boot, including the time for which the VM was suspended, as a time.Time. The
// clock never jumps. Its values are comparable only with each other and only until the VM reboots.
//
// The monotonic clock of time.Now stops while the VM is suspended, so that the holder of a lease measured with it would
// use the lease after its grantor considers it expired.
func BootTimeNow() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // Linux supports this clock since version 2.6.39.
	}

	return time.Unix(now.Unix())
}
