// Package lateness measures how late a process runs, so that the process does not take its own delay for the failure of
// others.
//
// A process that gets no processor time for a second finds, when it runs again, that all its timeouts have passed, while
// the answers that it waited for lie unread in its sockets. With 90 groups, probers that were short of time began 33 to
// 241 takeovers of healthy primaries before the first request was served.
//
// A Meter is told about each run of a periodic timer, and about work that began later than it was due. From that it
// knows the periods in which the process did not run. A missing answer counts as a miss only if the process has waited
// for the whole time limit without those periods (Missed). Time limits and election timeouts are extended by the measured
// delay (Extend, Worst), within bounds, so that a server that is really dead is still detected.
//
// Package failover draws conclusions from misses; this package says only which answers can be counted as missing.
//
// # Usage
//
//	meter := lateness.New(20 * time.Millisecond)
//	stop := service.Every(meter.Interval(), func(time.Time) { meter.Tick(service.Now()) })
//
//	sent := service.Now()
//	limit := meter.Extend(sent, 400*time.Millisecond, 2*time.Second)
//	// Wait up to limit for the answer.
//	if meter.Missed(sent, service.Now(), 400*time.Millisecond) {
//		// The server did not answer, although this process was running all the time.
//	}
package lateness
