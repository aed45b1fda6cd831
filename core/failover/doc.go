// Package failover decides when and how control itself changes the primary of a group, by fencing a quorum of its
// members; package promotion is the counterpart where a platform carries out the promotion.
//
// A failover moves a group from term T to term T+1. Control first records that fencing has started, then makes a fence
// quorum of members stop following the primary of T, then records the member with the highest position as the
// candidate, then promotes it. A commit quorum of term T and a fence quorum always share a member. Therefore the
// candidate has every acknowledged write, and after fencing no write can reach a commit quorum in T. No clock is
// involved.
//
// NextAction is a pure function of the records in the control log and of the facts gathered since: a new leader of
// control gathers the facts again and continues. JudgePrimary decides from the reports of several observers whether a
// primary is dead. Detector decides for one observer.
//
// # Usage
//
//	switch action := failover.NextAction(group, facts).(type) {
//	case failover.FenceMembers:
//		// Fence the named servers and add their positions to the facts.
//	case failover.RecordCandidate:
//		// Record the candidate in the control log.
//	}
package failover
