// Package capacity estimates how many statements a backend server sustains well, from the time that its answers take.
//
// It is built for servers that announce more slots than they sustain: one that is slower than the others of its group,
// one that turns slow for a while, and one whose service time grows with the statements in flight long before all slots
// are full. A limit that follows from announced slots alone keeps such a server in the state in which it does the least
// work, and the statements that wait there can no longer be ordered by priority.
//
// A Group compares the servers of one group. For each kind of statement it keeps a reference, the time that an answer
// takes while a server is not crowded. The time of each answer divided by its reference is the server's relative time,
// in which the cost of the statements has no part. A Server is judged after a number of answers:
//
//   - If the relative time is longer than its announced slots explain, the limit is cut. The number of answers that this
//     takes depends on the deviation, because the cost of statements of one kind varies by a factor of ten.
//   - If a cut to fewer statements than slots does not shorten the answers, the server is slow whatever its load. The
//     limit then returns to a value at which all slots are in use.
//   - A busy answer cuts the limit as well, and delays the next statement.
//   - Otherwise a limit that is in use grows step by step, slowly near the value at which it was cut last, up to the
//     share that follows from the announced slots.
//
// Several holders judge the same server, each for itself. All of them see the same times, so they cut and grow together.
// Each takes the others to use their shares as it uses its own. A new holder begins with the announced slots divided by
// the number of holders.
//
// The types have no clock and are not safe for concurrent use.
//
// # Usage
//
//	group := capacity.NewGroup()
//	server := group.NewServer()
//	server.SetShare(4, 6, 6) // four statements for this proxy; six slots, six holders
//	if server.InFlight() < server.Limit(now) && !now.Before(server.BusyUntil()) {
//		server.Start(now)
//		answer := run()
//		server.End(now.Add(answer.latency), capacity.Kind{Pool: "orders", Operation: capacity.Read}, capacity.Done, answer.latency)
//	}
package capacity
