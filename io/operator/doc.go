// Package operator is the HTTP interface for operators and its client. Every control process and proxy serves it.
//
//	GET  /metrics       counters, "NAME VALUE" a line, or JSON for "Accept: application/json" or ?format=json
//	GET  /v1/status     the replicated state, confirmed by a quorum
//	POST /v1/apply      change the running configuration
//	POST /v1/drain      drain a backend server or proxy, or undo it
//	GET  /v1/settings   the running configuration that this process has in force
//	GET  /v1/level      the log level
//	PUT  /v1/level      change the log level until the process restarts
//
// Bodies are the messages of proto/control.proto in the JSON form of protobuf, with snake case names; the field
// settings is the configuration itself as a JSON object. 64-bit numbers are written as text and read as text or
// number. A refusal has a status of 4xx or 5xx and a body with code and reason; see docs/result-codes.md.
//
// A request must present the bearer token or a verified certificate. Without either the server listens only on
// loopback, unless the settings say otherwise.
//
// # Usage
//
//	server, err := operator.New(operator.Options{
//		Web:      web.Options{Address: vm.Operator, Gate: gate, Logger: logger},
//		Control:  control,
//		Registry: counts.Registry,
//		Level:    level,
//		Settings: func() settings.Running { return view.Load().Running },
//	})
//
//	client := operator.NewClient(operator.Target{Addresses: addresses, Token: token})
//	reply, err := client.Apply(ctx, change)
package operator
