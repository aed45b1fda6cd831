// Package systemtest holds the tests of whole processes: they build the real programs, start control, proxies and
// stand-ins for backend servers as separate processes on loopback, inject failures and check what callers saw.
//
// Most of these tests don't run in parallel: each starts up to ten processes, and a machine that runs many of them at
// once delays leases and health checks by seconds.
package systemtest
