// Package freshness tells which position of a group's log a read has to see.
//
// A Track keeps what a proxy has learned of a primary's log: at a time, the log covered every commit that had been
// acknowledged by then. A replica that holds such a position may serve reads that accept data of that age. The lowest
// position that is still recent enough is the best floor, because most replicas hold it.
//
// All times come from a clock that counts the time for which a VM is suspended. With another clock, what was learned
// before a suspension would look recent after it.
//
// # Usage
//
//	track := freshness.New()
//	track.Observe(sent, answer.Position)
//	floor, known := track.Floor(now, pool.MaxAge)
//	if !known {
//		// Only the primary may serve the read.
//	}
package freshness
