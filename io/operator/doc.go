// Package operator implements the HTTP interface for operators and a client for it. Every control process and proxy
// serves the interface.
//
//	GET  /metrics       counters, "NAME VALUE" a line, or JSON for "Accept: application/json" or ?format=json
//	GET  /v1/status     the replicated state, confirmed by a quorum
//	POST /v1/apply      change the running configuration
//	POST /v1/drain      drain a backend server or proxy, or undo it
//	GET  /v1/settings   the running configuration that this process has in force
//	GET  /v1/level      the log level
//	PUT  /v1/level      change the log level until the process restarts
//
// Bodies are the messages of proto/control.proto in protobuf's JSON format with snake case names, except that the field
// "settings" is the configuration as a JSON object. 64-bit numbers are written as strings and accepted as strings or
// numbers. A refusal has an HTTP status of 4xx or 5xx and a body with code and reason; see docs/result-codes.md.
//
// A request must have the bearer token or a verified client certificate. If neither is configured, the server listens
// only on loopback, unless the settings allow other addresses.
//
// # Usage
//
//	server, err := operator.New(operator.Options{
//		Web:      web.Options{Address: vm.Operator, Gate: gate, Logger: logger},
//		Control:  control,
//		Registry: counts.Registry,
//		Level:    level,
//		Settings: func() (settings.Running, bool) { return view.Load().Running, true },
//	})
//
//	client := operator.NewClient(operator.Target{Addresses: addresses, Token: token})
//	reply, err := client.Apply(ctx, change)
package operator
