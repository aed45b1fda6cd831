// Package standin is the stand-in for one member of a database group: a backend server that speaks the
// PostgreSQL wire protocol version 3, runs SQL by SQLite, replicates asynchronously and announces itself as the
// platform does. It exists for tests, local systems and experiments and is not part of the deployed binary.
//
// # Behaviour
//
// A member is a primary or a replica. The primary keeps a log of committed transactions; its LSN counts bytes.
// Replicas pull the log over their own connection to the address in primary_conninfo. What a replica has received
// (and flushed) and what its readers see are separate positions, with a settable delay before each.
//
// Transactions follow READ COMMITTED, except that writers exclude each other from their first write to their end.
// A statement that waits for a lock gives its slot back meanwhile, and ends a writer whose client is unreachable. Statements are replayed on replicas in commit
// order with the time and the random numbers of the primary. A column default of now() is the exception: it
// is evaluated on each member.
//
// Faults (stops, partitions, silent connections, lag, lost disks) are injected by the methods of Member or over
// HTTP, see Fault.
//
// # Usage
//
//	member, err := standin.New(standin.Options{Name: "db1a", Group: "registry1", Primary: true})
//	if err != nil { ... }
//	defer member.Close()
//	conn, err := pgx.Connect(ctx, "postgres://app@"+member.Addr().String()+"/registry1?sslmode=disable")
package standin
