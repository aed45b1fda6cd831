// Package position represents and compares positions in the write-ahead log of a database group.
//
// A group has a term that increases by one with each change of primary. A log sequence number (LSN) is meaningful only
// together with the term in which it was written, because a change of primary discards what the old primary wrote past
// the beginning of the next term. A History holds the LSN at which each term began and determines whether a server at
// one position covers another position.
//
// A Token carries the positions of a session in several groups between proxies as a short text.
//
// # Usage
//
//	history := position.NewHistory(position.TermBegin{Term: 1, LSN: 0}, position.TermBegin{Term: 2, LSN: 0x500})
//	wrote := position.Position{Term: 1, LSN: 0x400}
//	replica := position.Position{Term: 2, LSN: 0x480}
//	history.Covers(replica, wrote) // true: 0x480 is past 0x400
package position
