// Package web provides what the HTTP listeners of a process have in common: bounded bodies, timeouts, JSON responses and
// errors with result codes.
//
// An error is answered as {"code": 1503, "name": "change_invalid", "reason": "..."} with the HTTP status that
// Status gives for the code.
package web
