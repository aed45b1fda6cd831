// Package drain decides what a process that has been told to stop does with its callers, and when.
//
// A planned stop must answer every statement that the process has accepted. That needs an end of what it accepts: a process
// that takes new callers until its last moment always has a statement in progress, and cuts it off. So a stop goes through
// phases, each of which accepts less than the one before:
//
//   - Serving: the load balancer may not have noticed the stop yet, so everything is accepted.
//   - Closing: callers that come all the same are accepted, but a session ends after its next operation. Few callers have a
//     statement on its way at that moment.
//   - Refusing: new callers are refused, idle sessions end, and open transactions are rolled back.
//   - Answering: the process answers the statements that still run, as their outcome will not be known in time.
//   - Ended: the process ends.
//
// The phases depend only on the time since the stop began and on the work that is left, so that a test needs neither a
// clock nor a socket.
//
// # Usage
//
//	schedule := drain.NewSchedule(6*time.Second, 2300*time.Millisecond)
//	for phase := drain.Serving; phase != drain.Ended; {
//		phase = schedule.Phase(time.Since(began), workLeft())
//		// Act on the phase.
//	}
package drain
