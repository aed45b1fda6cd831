// Package registry is the state that control replicates where it promotes backend servers itself: the running
// configuration, database groups, backend servers and proxies; package topology is the counterpart for managed
// deployments, where a platform promotes them.
//
// State is a deterministic state machine: Apply takes one encoded Command of the control log and returns an
// encoded Answer. View is an immutable picture of it for readers.
package registry
