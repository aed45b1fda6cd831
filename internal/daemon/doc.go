// Package daemon assembles the processes of a system whose control promotes backend servers itself: a PostgreSQL proxy
// and a control process; package manageddaemon is the counterpart for managed deployments.
//
// Both run until their context ends, then shut down gracefully: they finish what is in progress and stop.
package daemon
