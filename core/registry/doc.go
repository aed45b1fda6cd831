// Package registry is the replicated state of control in deployments in which control promotes backend servers itself:
// the running configuration, database groups, backend servers and proxies. Package topology is the counterpart for
// managed deployments, in which a platform promotes them.
//
// State is a deterministic state machine: Apply takes an encoded Command from the control log and returns an encoded
// Answer. A View is an immutable snapshot of the state for readers.
package registry
