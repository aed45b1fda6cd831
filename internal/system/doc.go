// Package system holds the tests of whole processes: they build the real programs, start control, proxies and
// stand-ins for backend servers as separate processes on loopback, inject failures and check what callers saw.
package system
