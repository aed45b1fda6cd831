// Package proxy is the proxy process: it accepts callers, routes their statements to backend servers and keeps
// the promises towards each session.
//
// Coordination is everything that the path of a request needs from the other processes of the system. It has one
// implementation for a running process and small fakes in tests.
package proxy
