// Package systemtest tests whole processes: it builds the real programs, starts control processes, proxies and
// stand-ins for backend servers as separate processes on loopback addresses, injects faults and checks what callers
// were answered.
//
// Most of these tests don't run in parallel: each starts up to ten processes, and on a machine that runs many of them
// at once, lease renewals and health checks are delayed by seconds.
package systemtest
