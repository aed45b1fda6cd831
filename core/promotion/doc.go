// Package promotion decides, where a platform promotes backend servers on request, whether a group's primary is to be
// replaced and which replica is promoted; package failover is the counterpart where control promotes servers itself.
//
// The leader of control probes each primary and hears from the proxies whether they reach it. Judge weighs both: a
// primary that most proxies reach stays, whatever the leader sees, because the leader may be the one that is cut off;
// one that most proxies have lost is replaced although the leader reaches it. Choose picks the replica that has
// received the most, so that a takeover loses as little as possible.
//
// The load that this answers: a primary that crashes or goes dark under full load, and cuts and freezes that heal by
// themselves within a second.
//
// # Usage
//
//	if promotion.Judge(evidence) == promotion.Replace {
//		candidate, possible := promotion.Choose(candidates, promotion.Needs{Replicas: 2, Term: group.Term})
//	}
package promotion
