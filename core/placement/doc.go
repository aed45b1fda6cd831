// Package placement chooses the proxies that hold connections to the servers of a group.
//
// If a server accepts fewer connections than there are proxies, not every proxy can have its own: the servers would
// reject connections all the time, and opening one costs them as much as a statement. Instead a few holders of each
// group share the connections, and the other proxies forward their statements to a holder, in one hop.
//
// It is designed for 89 proxies in front of servers that accept 58 connections, each proxy serving callers of every
// group.
//
// Holders are chosen by rendezvous hashing in each data centre, so that a proxy that leaves or returns affects only the
// groups that it holds itself.
//
// A connection serves one customer only, and a new one costs as much as a statement. Where there are customers, Rank
// therefore sends the statements of a customer to the same holder from everywhere: with 72 customers at random ones of
// six holders, most statements would find no open connection of their customer.
//
// # Usage
//
//	if placement.NeedsSharing(56, len(proxies)) {
//		holders := placement.Holders("registry", proxies)
//	}
//	order := placement.Rank("registry", "ada", holders)
//	if placement.KeepsToCentre(0.2, 56, holders) {
//		order = placement.NearFirst("north", order)
//	}
package placement
