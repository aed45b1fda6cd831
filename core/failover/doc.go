// Package failover decides when and how control itself changes the primary of a group, by fencing a quorum of its
// members; package promotion is the counterpart where a platform carries out the promotion.
//
// A failover leads a group out of term T into term T+1. Control first records that it fences, then makes a fence
// quorum of members stop following the primary of T, then records the member with the highest position as
// candidate, then promotes it. A commit quorum of term T and a fence quorum always share a member, so that every
// acknowledged write is in the candidate, and after fencing no write can gather a commit quorum in T. No clock
// takes part in this.
//
// Next is a pure function of what the control log records and of the facts that were gathered since: a new
// leader of control gathers them again and goes on. Judge decides from the reports of several observers whether
// a primary is dead. Detector decides for one observer.
//
// # Usage
//
//	switch action := failover.Next(group, facts).(type) {
//	case failover.FenceMembers:
//		// Fence the named servers and add their positions to the facts.
//	case failover.RecordPromote:
//		// Write the candidate to the control log.
//	}
package failover
