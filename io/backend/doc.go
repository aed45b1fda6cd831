// Package backend speaks to backend servers over the PostgreSQL protocol.
//
// Admin is a connection of a coordinator or of control: it observes a server's role, term and positions, fences,
// promotes and attaches it, all through published functions and settings. The term of a server is carried in the
// application_name of its primary_conninfo setting.
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
