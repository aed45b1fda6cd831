// Package daemon assembles the processes of a system in which the control processes promote backend servers themselves:
// a PostgreSQL proxy and a control process. Package manageddaemon is the counterpart for managed deployments.
//
// Both processes run until their context ends and then shut down gracefully: they finish the work in progress and stop.
package daemon
