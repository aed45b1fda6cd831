// Package platformapi implements the HTTP interface for a platform that runs the backend servers and the load balancer
// of PostgreSQL proxies; package platform, in contrast, adapts managed deployments to the users' platform.
//
//	POST /v1/announce   a backend server announces itself, each second and on change
//	GET  /health        200, or 503 with the reason why the balancer should send no callers here
//	GET  /ready         200 once the process has a configuration, 503 before
//
// An announcement is one JSON object with the fields of the message Server of proto/control.proto:
//
//	{"name": "db1a", "group": "students1", "address": "10.10.1.31:5432", "identity": "7288126",
//	 "incarnation": 4, "sequence": 17, "slots": 5, "connections": 35, "centre": "plateau",
//	 "leaving": false, "recovery": true}
//
// The fields leaving and recovery are optional; unknown fields are refused. The reply holds the current term, primary
// and history of the server's group:
//
//	{"code": 0, "reason": "", "term": 3, "primary": "db1b", "primary_address": "10.10.2.31:5432",
//	 "history": [{"term": 1, "lsn": 0}, {"term": 3, "lsn": 26741232}]}
//
// A server that is the primary of an older term must be rewound to the beginning of the next term and restarted as a
// replica. /health and /ready need no authentication.
//
// # Usage
//
//	server, err := platformapi.New(platformapi.Options{
//		Web:       web.Options{Address: vm.Platform, Gate: gate, Logger: logger},
//		Announcer: client,
//		Health:    proxy.Health,
//		Ready:     proxy.Ready,
//	})
package platformapi
