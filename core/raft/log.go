package raft

import "slices"

// memory is the part of the log that follows its base. The base is at or before the snapshot, so that members
// slightly behind still get entries after a compaction.
type memory struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *memory) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *memory) lastTerm() uint64 {
	term, _ := l.term(l.last())

	return term
}

// term returns the term of the entry at an index, if the log still knows it.
func (l *memory) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

// between returns the entries from one index to another, both included. The result is never written to.
func (l *memory) between(first, last uint64) []Entry {
	if first <= l.base || first > last || last > l.last() {
		return nil
	}

	return slices.Clip(l.entries[first-l.base-1 : last-l.base])
}

// batch returns entries from an index on, bounded by count and bytes, but at least one if there is any.
func (l *memory) batch(first uint64, count, size int) []Entry {
	entries := l.between(first, l.last())
	total := 0

	for i, entry := range entries {
		total += len(entry.Data)
		if i == count || (i > 0 && total > size) {
			return slices.Clip(entries[:i])
		}
	}

	return entries
}

// truncate drops everything from an index on. The array is not reused, because messages may refer to it.
func (l *memory) truncate(from uint64) {
	l.entries = slices.Clone(l.entries[:from-l.base-1])
}

func (l *memory) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// compact drops everything up to an index.
func (l *memory) compact(to uint64) {
	term, known := l.term(to)
	if !known || to <= l.base {
		return
	}

	l.entries = slices.Clone(l.entries[to-l.base:])
	l.base, l.baseTerm = to, term
}

// firstOf returns the first known index of the run of entries with the same term that ends at an index.
func (l *memory) firstOf(index uint64) uint64 {
	term, _ := l.term(index)

	for index > l.base+1 {
		previous, _ := l.term(index - 1)
		if previous != term {
			break
		}

		index--
	}

	return index
}

// lastOf returns the last index at or before a bound whose term is not above a term.
func (l *memory) lastOf(term, bound uint64) uint64 {
	index := min(bound, l.last())

	for index > l.base {
		found, _ := l.term(index)
		if found <= term {
			break
		}

		index--
	}

	return index
}
