// Package managedproxy is the proxy of a managed deployment, apart from its wire format: it serves callers whose
// statements name items of a database, over connections to backend servers that it shares among sessions; package proxy
// is the counterpart that speaks the PostgreSQL protocol.
//
// It knows no wire format. A Caller delivers Statements and takes Replies; a Backend runs Commands and returns Answers.
// The packages of a platform implement both.
//
// # What a session gets
//
// Reads outside a transaction, and transactions that only read, run on a replica if the pool accepts data of an age;
// the replica checks the floor itself. Everything else runs on the primary. A read of the latest data needs a lease of
// the leader of control, because a former primary does not refuse reads.
//
// A transaction holds a connection from its first statement to its end. Before a statement runs on a connection, the
// connection gets the values and prepared statements of the session. Each distinct prepared statement has one name on
// the backend servers, so that sessions share it.
//
// A statement runs again on another server only if it is certain that it did not run, or if it only reads. A write
// whose answer is lost is answered with result.ConnectionLost.
//
// # Proxies without connections
//
// Where the servers of a group accept fewer connections than there are proxies, a view names the proxies that hold them.
// The others forward each statement to a holder, with all that the holder has to know of the session; see Forwarded. The
// holder chooses the server, waits for room and keeps open transactions, as it does for its own callers.
//
// # Usage
//
//	served := managedproxy.New(managedproxy.Options{Dial: dial, Centre: "north", Logger: logger, Metrics: counts, Timer: clock})
//	served.Apply(configuration, view)
//	served.Extend(sent.Add(reply.Lease))
//	go served.Serve(caller)
package managedproxy
