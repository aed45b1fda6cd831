// Package standin is a stand-in for one member of a database group: a backend server that speaks the PostgreSQL wire
// protocol version 3, executes SQL with SQLite, replicates asynchronously and announces itself as the platform does.
// It is meant for tests, local systems and experiments and is not part of the deployed binary.
//
// # Behaviour
//
// A member is a primary or a replica. The primary keeps a log of committed transactions; its LSNs count bytes.
// Replicas stream the log over their own connection to the address in primary_conninfo. The position up to which a
// replica has received (and flushed) the log and the position up to which its readers see it are separate, each with a
// configurable delay.
//
// Transactions run at READ COMMITTED, except that a transaction excludes all other writers from its first write to its
// end. A statement that waits for a lock releases its slot meanwhile, and terminates a writer whose client is
// unreachable. Replicas replay statements in commit order with the time and the random numbers of the primary. A column
// default of now() is the exception: it is evaluated on each member.
//
// Faults (stops, partitions, lost connections, lag, lost disks) are injected by the methods of Member or over HTTP; see
// Fault.
//
// # Usage
//
//	member, err := standin.New(standin.Options{Name: "db1a", Group: "registry1", Primary: true})
//	if err != nil { ... }
//	defer member.Close()
//	conn, err := pgx.Connect(ctx, "postgres://app@"+member.Addr().String()+"/registry1?sslmode=disable")
package standin
