// Package local runs a whole system in one process for trying it out: a control process, proxies and a group of
// stand-ins for backend servers, all on loopback. Nothing is kept when it ends.
package local
