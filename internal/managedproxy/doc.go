// Package managedproxy is the proxy of a managed deployment, apart from its wire format. It serves callers whose
// statements name items of a database, over connections to backend servers that sessions share. Package proxy is the
// counterpart that speaks the PostgreSQL protocol.
//
// It knows no wire format. A Caller delivers Statements and takes Replies; a Backend runs Commands and returns
// Answers. The packages of a platform implement both.
//
// # Guarantees to a session
//
// Reads outside a transaction and read-only transactions run on a replica if the pool permits data of a certain age;
// the replica itself checks that its log has reached the required position. Everything else runs on the primary. A
// read of the latest data needs a lease from the leader of control, because a former primary does not refuse reads.
//
// A transaction keeps one connection from its first statement to its end. Before a statement runs on a connection, the
// connection gets the variables and prepared statements of the session. Each distinct prepared statement has one name
// on the backend servers, so that sessions share it.
//
// A statement is retried on another server only if it certainly did not run, or if it only reads. A write whose answer
// is lost fails with result.ConnectionLost. Where commits wait for replicas, one that the next primary may lack fails with
// result.PrimaryReplaced or result.NotConfirmed, although the server has answered it with success.
//
// # Proxies without connections
//
// Where the servers of a group accept fewer connections than there are proxies, the view names the proxies that hold
// the connections. The others forward each statement to a holder, with the session state that the holder needs; see
// ForwardRequest. The holder chooses the server, queues the statement and keeps open transactions, as it does for its
// own callers.
//
// # Planned stops
//
// Drain and ContinueDrain end the work of the callers in the phases of package drain. Every statement that a caller has sent gets
// an answer: its result, a refusal that is true because the statement has not run, or an unknown outcome. Before the connection
// of a caller is closed, Caller.EndSession tells it why, which also answers a statement that is on its way.
//
// # Usage
//
//	gateway := managedproxy.New(managedproxy.Options{Dial: dial, Centre: "north", Logger: logger, Metrics: counts, Timer: clock})
//	gateway.Apply(configuration, view)
//	gateway.ExtendLease(sent.Add(reply.Held + reply.Lease))
//	go gateway.Serve(caller)
package managedproxy
