package pairing

import (
	"slices"
	"time"
)

const (
	// signaturePeriod is the shortest time for which a signature is remembered.
	signaturePeriod = 30 * time.Second
	// maxSignatures bounds the signatures of a period.
	maxSignatures = 1 << 16
)

// recentSet is a set of the hashes that were added within the last period, and of some older ones. A connection that rests
// forgets nothing.
type recentSet struct {
	current, former map[uint64]struct{}
	began           time.Time
}

func (s *recentSet) has(hash uint64) bool {
	_, current := s.current[hash]
	_, former := s.former[hash]

	return current || former
}

// add adds a hash and returns true, unless the set has it.
func (s *recentSet) add(now time.Time, hash uint64) bool {
	if s.has(hash) {
		return false
	}

	if s.current == nil || now.Sub(s.began) > signaturePeriod || len(s.current) >= maxSignatures {
		s.former, s.current, s.began = s.current, make(map[uint64]struct{}), now
	}

	s.current[hash] = struct{}{}

	return true
}

// ring is a set of the hashes that were added last, the latest one at the end.
type ring struct {
	hashes []uint64
}

func (r *ring) has(hash uint64) bool {
	return slices.Contains(r.hashes, hash)
}

// add makes a hash the latest one, and returns whether the ring did not have it. A full ring drops the oldest one.
func (r *ring) add(hash uint64) bool {
	at := slices.Index(r.hashes, hash)

	switch {
	case at >= 0:
		r.hashes = slices.Delete(r.hashes, at, at+1)
	case len(r.hashes) == rememberedOthers:
		r.hashes = slices.Delete(r.hashes, 0, 1)
	}

	r.hashes = append(r.hashes, hash)

	return at < 0
}
