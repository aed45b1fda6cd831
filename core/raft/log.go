package raft

import "slices"

// memoryLog is the part of the log that follows its base. The base is at or before the snapshot, so that members that
// are slightly behind still receive entries after a compaction.
type memoryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *memoryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())

	return term
}

// term returns the term of the entry at an index, if the entry is still in the log.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

// entriesBetween returns the entries from first to last, both included. Callers must not modify the result.
func (l *memoryLog) entriesBetween(first, last uint64) []Entry {
	if first <= l.base || first > last || last > l.last() {
		return nil
	}

	return slices.Clip(l.entries[first-l.base-1 : last-l.base])
}

// batch returns the entries from an index on, limited by count and total bytes, but at least one if there is any.
func (l *memoryLog) batch(first uint64, count, size int) []Entry {
	entries := l.entriesBetween(first, l.last())
	total := 0

	for i, entry := range entries {
		total += len(entry.Data)
		if i == count || (i > 0 && total > size) {
			return slices.Clip(entries[:i])
		}
	}

	return entries
}

// truncate deletes all entries from an index on. It copies the rest, because messages may refer to the old array.
func (l *memoryLog) truncate(from uint64) {
	l.entries = slices.Clone(l.entries[:from-l.base-1])
}

func (l *memoryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// firstKept returns the first of the entries up to an index that are kept if their number and their size are limited.
func (l *memoryLog) firstKept(to, count uint64, size int) uint64 {
	first := to + 1

	for first > l.base+1 && to+1-first < count {
		size -= len(l.entries[first-l.base-2].Data)
		if size < 0 {
			break
		}

		first--
	}

	return first
}

// compact deletes all entries up to and including an index.
func (l *memoryLog) compact(to uint64) {
	term, known := l.term(to)
	if !known || to <= l.base {
		return
	}

	l.entries = slices.Clone(l.entries[to-l.base:])
	l.base, l.baseTerm = to, term
}

// firstIndexOfTerm returns the first index in the log of the run of entries that have the same term as the entry at the
// given index and end there.
func (l *memoryLog) firstIndexOfTerm(index uint64) uint64 {
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

// lastIndexUpToTerm returns the last index that is at most bound and whose entry has at most the given term.
func (l *memoryLog) lastIndexUpToTerm(term, bound uint64) uint64 {
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
