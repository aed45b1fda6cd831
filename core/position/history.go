package position

import "slices"

// TermBegin is a term and the LSN at which it began.
type TermBegin struct {
	Term Term
	LSN  LSN
}

// History holds the beginnings of a group's terms. It is immutable; the zero History is empty.
type History struct {
	begins []TermBegin
}

// NewHistory returns a history of the given beginnings, which may be in any order.
func NewHistory(begins ...TermBegin) History {
	sorted := slices.Clone(begins)
	slices.SortFunc(sorted, func(a, b TermBegin) int {
		if a.Term < b.Term {
			return -1
		}

		if a.Term > b.Term {
			return 1
		}

		return 0
	})

	return History{begins: sorted}
}

// Begins returns the beginnings sorted by term.
func (h History) Begins() []TermBegin {
	return slices.Clone(h.begins)
}

// Covers reports whether a server at position at holds everything up to position want that no change of primary has
// discarded. A server in an older term never covers a position in a newer one.
func (h History) Covers(at, want Position) bool {
	if want == (Position{}) {
		return true
	}

	if at.Term < want.Term {
		return false
	}

	if at.Term == want.Term {
		return at.LSN >= want.LSN
	}

	kept, known := h.survivingLSN(want, at.Term)

	return known && at.LSN >= kept
}

// IsPrefix reports whether a log that ends at a position and was received in the position's term, or before it, holds
// nothing that a later change of primary has discarded, so that it is a prefix of the current term's log. The zero term
// counts as the first.
func (h History) IsPrefix(end Position) bool {
	return end.LSN <= h.CommonLSN(end)
}

// CommonLSN returns the LSN up to which a log that ends at a position agrees with the current term's log.
func (h History) CommonLSN(end Position) LSN {
	common := end.LSN

	for _, begin := range h.begins {
		if begin.Term > max(end.Term, 1) {
			common = min(common, begin.LSN)
		}
	}

	return common
}

// survivingLSN returns the LSN up to which the log before position want survives in term until. It reports false if the
// history lacks the beginning of a term in between; the caller must then assume that no server covers the position.
func (h History) survivingLSN(want Position, until Term) (LSN, bool) {
	kept, next := want.LSN, want.Term+1

	for _, begin := range h.begins {
		if begin.Term <= want.Term || begin.Term > until {
			continue
		}

		if begin.Term != next {
			return 0, false
		}

		kept = min(kept, begin.LSN)
		next++
	}

	return kept, next > until
}
