// Package local runs a whole system in one process, to try it out: a control process, proxies and a group of stand-ins
// for backend servers, all on loopback. It deletes all data when it ends.
package local
