// Package backend is a client for backend servers, which it reaches over the PostgreSQL protocol.
//
// Admin is an administrative connection of a coordinator or a control process: it observes a server's role, term and
// positions, and fences, promotes and attaches the server, all through documented functions and settings. The term of a
// server is stored in the application_name of its primary_conninfo setting.
//
// Conn is a data connection, Pool holds the data connections to one database of one server, and ActivityChecker ends
// connections that were closed while the server may still be running a statement of them.
//
// Each exchange on a connection ends with a marker, because an answer does not name its request. A connection on which the
// server sends anything that answers no request fails with ErrUnrequested and is not used again.
//
// # Usage
//
//	admin, err := backend.OpenAdmin(ctx, server.Address, login, "ag/p1/monitor")
//	if err != nil {
//		return err
//	}
//	defer admin.Close()
//	seen, err := admin.Observe(ctx)
package backend
