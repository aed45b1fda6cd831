// Package metrics holds the counters of a process.
//
// New registers a counter for every result code under the code's name, so that a code that never occurred is shown as
// zero. Components register further metrics in the same registry.
//
// # Usage
//
//	counts := metrics.New()
//	counts.Count(result.QueueFull)
//	operator.New(operator.Options{Registry: counts.Registry})
package metrics
