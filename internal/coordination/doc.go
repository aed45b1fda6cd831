// Package coordination is how a proxy reaches the coordinator of each group, in its own process or on another proxy;
// package coordinator is the coordinator of one group. Coordination implements proxy.Coordination for a running process
// and serves the Peer service for the other proxies.
//
// # Roles
//
// For each group that this proxy coordinates according to the view, it runs a coordinator.Coordinator. For every
// group it keeps a link to the group's coordinator, which is the local one or another proxy. The link shares
// barriers and confirmations of concurrent requests, caches idle slot permits, and reports the held permits each
// second.
//
// # Without a coordinator
//
// When the coordinator can't be reached, barriers and confirmations are made directly: a passive coordinator asks the
// members over connections for which this proxy holds permits. New permits are not to be had, so released ones are
// kept for the next request of this proxy. A new epoch ends that: permits that the new coordinator has not been told
// of are not used again.
//
// # Usage
//
//	group := coordination.New(coordination.Options{Name: "p1", Source: client, Login: login, ...})
//	defer group.Close()
//	group.Register(grpcServer)
//	barrier, err := group.Barrier(ctx, "db1")
package coordination
