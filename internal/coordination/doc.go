// Package coordination connects a proxy with the coordinator of each group, in its own process or on another proxy;
// package coordinator implements the coordinator of one group. Coordination implements proxy.Coordination for a running
// process and serves the Peer service for the other proxies.
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
// When the coordinator can't be reached, the proxy makes barriers and confirmations itself: a passive coordinator
// queries the members over connections for which this proxy holds permits. No new permits are granted, so released ones
// are kept for the next request of this proxy. This ends with a new epoch: a permit that was not reported to the new
// coordinator is not used again.
//
// # Usage
//
//	group := coordination.New(coordination.Options{Name: "p1", Source: client, Login: login, ...})
//	defer group.Close()
//	group.Register(grpcServer)
//	barrier, err := group.Barrier(ctx, "db1")
package coordination
