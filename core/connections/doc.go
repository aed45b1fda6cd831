// Package connections decides on which connection to a server a statement runs, and in which order statements wait.
//
// It is designed for 72 to 81 customers, a few of them large, in front of servers that accept 46 or 58 connections, of
// which a proxy is granted 7 to 9. A connection serves one customer only, and a new one costs 12 ms of a slot. A large
// customer that sends six times its usual load must neither close the connections of the others all the time nor make
// them wait until its own queue is worked off.
//
// A statement gets the first of these that is possible: an idle connection of its customer, a new connection within the
// granted number, a new one in place of an idle connection of another customer (also while the server refuses further
// ones), or a place in the queue. Waiting
// statements are ordered by the priority of their pool. Within one priority, customers that use at least their share of
// the connections come last; then customers are ordered by their priority and by the time for which they have used
// connections in relation to their weight. Shares that nobody asks for are lent.
//
// Without customers, statements wait by priority and latest start only, and no connection is closed for another one.
//
// A Pool does no I/O and reads no clock. What the server admits is asked of a Room. The caller opens, closes and hands
// out connections as the decisions say, and reports what became of them.
//
// # Usage
//
//	pool := connections.New[*conn, chan decision](limit)
//	decided := pool.Take(now, connections.Request{Customer: "ada", Weight: 360, LatestStart: deadline}, room, rank)
//	switch decided.Kind {
//	case connections.Use: // Run the statement on decided.Conn, then call pool.Put.
//	case connections.Open, connections.Replace: // Close decided.Conn, open one, then call pool.Opened or OpenFailed.
//	case connections.Wait: // Wait for a decision of pool.Next with the same Waiter, or call pool.Cancel.
//	case connections.Refuse, connections.Full: // Refuse the statement.
//	}
package connections
