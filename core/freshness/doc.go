// Package freshness determines which position of a group's log a read has to see.
//
// A Tracker records what a proxy has learned about a primary's log: by a given time, the log up to a position covered
// every commit acknowledged before. A replica that has applied such a position may serve reads that accept data of that
// age. The lowest position that is still recent enough is the best floor for a read, because most replicas have applied
// it.
//
// All times must come from a clock that includes the time for which a VM is suspended. With another clock, observations
// made before a suspension would look recent after it.
//
// # Usage
//
//	tracker := freshness.New()
//	tracker.Observe(sent, answer.Position)
//	floor, known := tracker.Floor(now, pool.MaxAge)
//	if !known {
//		// Only the primary may serve the read.
//	}
package freshness
