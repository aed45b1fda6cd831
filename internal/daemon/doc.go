// Package daemon assembles the processes of the system from their parts: a proxy and a control process.
//
// Both run until their context ends, then shut down gracefully: they finish what is in progress and stop.
package daemon
