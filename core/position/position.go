package position

import (
	"fmt"
	"strconv"
	"strings"
)

// Term is the number of a period between two changes of a group's primary. The first term is 1.
type Term uint64

// LSN is a log sequence number: a byte position in the write-ahead log of a group.
type LSN uint64

// lsnHalfBits is the width in bits of each of the two hexadecimal halves of an LSN's text form.
const lsnHalfBits = 32

// String returns PostgreSQL's text form of an LSN, two hexadecimal halves such as "16/B374D848".
func (l LSN) String() string {
	return fmt.Sprintf("%X/%X", uint64(l)>>lsnHalfBits, uint32(l))
}

// ParseLSN parses the text form that LSN.String returns.
func ParseLSN(text string) (LSN, error) {
	high, low, found := strings.Cut(text, "/")
	if !found {
		return 0, fmt.Errorf("position %q has no slash; want the form 16/B374D848", text)
	}

	h, err := strconv.ParseUint(high, 16, lsnHalfBits)
	if err != nil {
		return 0, fmt.Errorf("position %q: first half: %w", text, err)
	}

	l, err := strconv.ParseUint(low, 16, lsnHalfBits)
	if err != nil {
		return 0, fmt.Errorf("position %q: second half: %w", text, err)
	}

	return LSN(h<<lsnHalfBits | l), nil
}

// Position is an LSN with the term in which it was written. Every server covers the zero Position.
type Position struct {
	Term Term
	LSN  LSN
}

// String returns the position as TERM:LSN.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + ":" + p.LSN.String()
}

// Later returns the later one of two positions.
func Later(a, b Position) Position {
	if a.Less(b) {
		return b
	}

	return a
}

// Less reports whether the position is before another one, first by term and then by LSN.
func (p Position) Less(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}

	return p.LSN < other.LSN
}
