// Package timer provides the timer service that the parts of a process subscribe to.
//
// A part never reads the clock itself: it asks a Service for the present time and subscribes functions to it.
// All times are monotonic, so that a jump of the VM's clock changes nothing. Tests use a Manual service, whose
// time moves only when the test moves it.
//
// # Usage
//
//	service := timer.New()
//	defer service.Close()
//	stop := service.Every(time.Second, func(now time.Time) { renew(now) })
//	defer stop()
package timer
