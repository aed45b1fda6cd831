// Package controller is the control process where control promotes backend servers itself: it keeps the replicated
// state, renews the leases of proxies, takes announcements and configuration changes, and changes primaries; package
// managedcontroller is the counterpart for managed deployments, where a platform promotes the servers.
//
// Every control process runs a Controller. Only the one that leads the control log acts; the others refuse with
// the leader's address. Nothing that a leader knows only in memory is needed for correctness: a new leader gathers
// it again.
package controller
