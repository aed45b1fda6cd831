package coordinator

import (
	"sort"
	"time"

	"almondgrade/core/position"
)

const (
	// maxSamples bounds the memory for the positions of a primary.
	maxSamples = 512
	// UnknownAge is the age of data whose age is not known.
	UnknownAge = 365 * 24 * time.Hour
)

// samples remembers where the primary of a term was and when. The zero samples is empty.
type samples struct {
	term position.Term
	// list is in ascending order of position.
	list []sample
}

// sample says that the primary was at a position when it was last asked with that answer.
type sample struct {
	lsn position.LSN
	// asked is the time before the last query that returned the position.
	asked time.Time
}

// add records a primary's answer to a query that began at the given time.
func (s *samples) add(term position.Term, lsn position.LSN, asked time.Time) {
	if term != s.term {
		s.term, s.list = term, nil
	}

	if last := len(s.list) - 1; last >= 0 && s.list[last].lsn >= lsn {
		if s.list[last].lsn == lsn && asked.After(s.list[last].asked) {
			s.list[last].asked = asked
		}

		return
	}

	s.list = append(s.list, sample{lsn: lsn, asked: asked})

	if len(s.list) > maxSamples {
		s.thin()
	}
}

// thin drops every second sample but the last. A replica between two samples then counts as older than it is, never
// as younger.
func (s *samples) thin() {
	kept := s.list[:0]

	for i, sample := range s.list {
		if i%2 == 0 || i == len(s.list)-1 {
			kept = append(kept, sample)
		}
	}

	s.list = kept
}

// age returns an upper bound for the age of data that was replayed up to a position in the term: the time since the
// primary was last known not to be past it.
func (s *samples) age(at position.Position, now time.Time) time.Duration {
	if at.Term != s.term {
		return UnknownAge
	}

	after := sort.Search(len(s.list), func(i int) bool { return s.list[i].lsn > at.LSN })
	if after == 0 {
		return UnknownAge
	}

	return max(0, now.Sub(s.list[after-1].asked))
}
