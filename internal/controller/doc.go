// Package controller implements the control process of deployments in which control promotes backend servers itself: it
// keeps the replicated state, renews the leases of proxies, accepts announcements and configuration changes, and changes
// primaries; package managedcontroller is the counterpart for managed deployments, where a platform promotes the servers.
//
// Every control process runs a Controller. Only the one that leads the control log acts; the others refuse calls with
// the leader's address. Correctness does not depend on what a leader keeps only in memory: a new leader collects it
// again.
package controller
