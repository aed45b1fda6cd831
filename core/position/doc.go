// Package position describes how far a database server has come in a group's history.
//
// A group has a term that grows by one with each change of primary. A write-ahead log position (LSN) counts only
// together with the term in which it was written: after a change of primary, what the old primary wrote past the
// beginning of the next term has been discarded. A History holds the LSN at which each term began and decides
// whether a server at one position covers another.
//
// A Token carries a session's positions over several groups between proxies as one short text.
//
// # Usage
//
//	history := position.NewHistory(position.Begin{Term: 1, LSN: 0}, position.Begin{Term: 2, LSN: 0x500})
//	wrote := position.Position{Term: 1, LSN: 0x400}
//	replica := position.Position{Term: 2, LSN: 0x480}
//	history.Covers(replica, wrote) // true: 0x480 is past 0x400
package position
