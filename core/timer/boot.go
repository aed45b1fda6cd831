package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTimeNow returns the present time of a clock that counts the time for which the VM is suspended and never jumps. Its
// values are comparable only with one another, within one start of the VM.
//
// The monotonic clock of time.Now stands still during a suspension, so a lease on it would outlive its grantor's view.
func BootTimeNow() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // Linux has had the clock since version 2.6.39.
	}

	return time.Unix(now.Unix())
}
