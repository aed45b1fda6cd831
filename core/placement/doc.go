// Package placement chooses the proxies that hold connections to the servers of a group.
//
// Where a server accepts fewer connections than there are proxies, each proxy can't have one of its own: the servers
// turn connections away all the time, and each opening costs them as much as a statement. A few holders of each group
// then share the connections, and the other proxies forward their statements to a holder, one hop away.
//
// The load that this answers: 89 proxies in front of servers that accept 58 connections, each serving callers of every
// group.
//
// Holders are chosen by rendezvous hashing in each data centre, so that a proxy that leaves or returns moves nothing but
// its own part.
//
// # Usage
//
//	if placement.Shared(56, len(proxies)) {
//		holders := placement.Holders("registry", proxies)
//	}
package placement
