package position

import "slices"

// TermBegin is the LSN at which a term began.
type TermBegin struct {
	Term Term
	LSN  LSN
}

// History holds the beginnings of a group's terms. It is immutable; the zero History knows no term.
type History struct {
	begins []TermBegin
}

// NewHistory returns a history of the given beginnings, in any order.
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

// Begins returns the beginnings in order of term.
func (h History) Begins() []TermBegin {
	return slices.Clone(h.begins)
}

// Covers reports whether a server at the position at holds everything of the position want that was not
// discarded by a change of primary. A server of an older term never covers a position of a newer one.
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

// survivingLSN returns the part of a position that survived into the term until. It is unknown when the history lacks the
// beginning of a term between; the caller must then assume that nothing covers the position.
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
