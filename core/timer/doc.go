// Package timer provides the timer service of a process.
//
// Other packages don't read the clock themselves: they ask a Service for the current time and subscribe callbacks to it.
// All times are monotonic, so that a jump of the VM's clock has no effect. Tests use Manual, whose time advances only
// when the test advances it.
//
// # Usage
//
//	service := timer.New()
//	defer service.Close()
//	stop := service.Every(time.Second, func(now time.Time) { renew(now) })
//	defer stop()
package timer
