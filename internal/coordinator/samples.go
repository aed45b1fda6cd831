package coordinator

import (
	"sort"
	"time"

	"almondgrade/core/position"
)

const (
	// maxSamples bounds the number of recorded positions of a primary.
	maxSamples = 512
	// UnknownAge stands for the age of data whose age is not known.
	UnknownAge = 365 * 24 * time.Hour
)

// samples records the positions of the primary of a term with their times. The zero value is empty.
type samples struct {
	term position.Term
	// list is in ascending order of position.
	list []sample
}

// sample is a position of the primary and the time of the last query that returned it.
type sample struct {
	lsn position.LSN
	// askedAt is a time before that query began.
	askedAt time.Time
}

// add records a primary's answer to a query that began at the given time.
func (s *samples) add(term position.Term, lsn position.LSN, askedAt time.Time) {
	if term != s.term {
		s.term, s.list = term, nil
	}

	if last := len(s.list) - 1; last >= 0 && s.list[last].lsn >= lsn {
		if s.list[last].lsn == lsn && askedAt.After(s.list[last].askedAt) {
			s.list[last].askedAt = askedAt
		}

		return
	}

	s.list = append(s.list, sample{lsn: lsn, askedAt: askedAt})

	if len(s.list) > maxSamples {
		s.thin()
	}
}

// thin drops every second sample but never the last. A replica between two samples then counts as older than it is,
// never as younger.
func (s *samples) thin() {
	kept := s.list[:0]

	for i, sample := range s.list {
		if i%2 == 0 || i == len(s.list)-1 {
			kept = append(kept, sample)
		}
	}

	s.list = kept
}

// age returns an upper bound for the age of data that was replayed up to a position: the time since the primary was last
// known not to be past that position.
func (s *samples) age(at position.Position, now time.Time) time.Duration {
	if at.Term != s.term {
		return UnknownAge
	}

	after := sort.Search(len(s.list), func(i int) bool { return s.list[i].lsn > at.LSN })
	if after == 0 {
		return UnknownAge
	}

	return max(0, now.Sub(s.list[after-1].askedAt))
}
