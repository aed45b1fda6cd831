// Package takeover decides when a group needs another primary, and which server becomes it, where a platform carries
// out the promotion.
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
//	if takeover.Judge(evidence) == takeover.Replace {
//		candidate, possible := takeover.Choose(candidates, takeover.Needs{Replicas: 2, Term: group.Term})
//	}
package takeover
