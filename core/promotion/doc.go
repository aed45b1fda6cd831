// Package promotion decides, where a platform promotes backend servers on request, whether a group's primary is to be
// replaced and which replica is promoted; package failover is the counterpart where control promotes servers itself.
//
// The leader of control probes each primary and receives reports from the proxies on whether they reach it.
// JudgePrimary combines both: a primary that most proxies reach stays, whatever the leader observes, because the leader
// may be the one that is cut off; a primary that most proxies have lost is replaced although the leader reaches it. A
// primary that only the leader's probes have lost, while no proxy reports on it, is replaced after a longer time.
// ChooseCandidate returns the replica that has received the most, so that a promotion loses as little as possible.
//
// Where commits wait for replicas, JudgeCommit decides at a proxy whether a commit that a primary has answered may be acknowledged:
// each primary that ChooseCandidate returns later must hold it.
//
// It is designed for a primary that crashes or stops responding under full load, and for partitions and freezes that
// end by themselves within a second.
//
// # Usage
//
//	if promotion.JudgePrimary(evidence) == promotion.Replace {
//		candidate, possible := promotion.ChooseCandidate(candidates, promotion.Requirements{Replicas: 2, Term: group.Term})
//	}
package promotion
