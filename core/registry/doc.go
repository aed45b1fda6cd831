// Package registry is the state that control replicates: the running configuration, database groups, backend
// servers and proxies.
//
// State is a deterministic state machine: Apply takes one encoded Command of the control log and returns an
// encoded Answer. View is an immutable picture of it for readers.
package registry
