package disk

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"almondgrade/core/raft"
)

// readFolder restores the state from the files of the folder and begins a new segment.
func (l *Log) readFolder() error {
	if err := l.readIdentity(); err != nil {
		return err
	}

	names, err := l.files.List(l.folder)
	if err != nil {
		return l.recordFailure("list", l.folder, err)
	}

	var numbers, snapshots []uint64

	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := l.files.Remove(l.path(name)); err != nil {
				return l.recordFailure("remove", l.path(name), err)
			}
		}

		if number, ok := parseName(segmentNameFormat, name); ok {
			numbers = append(numbers, number)
		}

		if index, ok := parseName(snapshotNameFormat, name); ok {
			snapshots = append(snapshots, index)
		}
	}

	if len(snapshots) > 0 {
		if err := l.readSnapshot(slices.Max(snapshots)); err != nil {
			return err
		}
	}

	if err := l.readSegments(numbers); err != nil {
		return err
	}

	if err := l.checkIdentity(len(numbers)); err != nil {
		return err
	}

	l.dropCoveredEntries()

	// A full disk doesn't keep the member from taking part as far as it can: the segment begins with the next write.
	var full *FullError
	if err := l.beginSegment(); err != nil && !errors.As(err, &full) {
		return err
	}

	return nil
}

// checkIdentity refuses a folder with missing files, because votes and confirmed entries may be lost with them.
func (l *Log) checkIdentity(segments int) error {
	empty := l.saved.HardState == raft.HardState{} && l.saved.Snapshot.Index == 0 && len(l.saved.Entries) == 0

	switch {
	case l.identity == nil && !empty:
		return l.corruptError(l.path(identityName), 0, "the identity is missing but the log is not empty")
	case l.identity != nil && segments == 0:
		return l.corruptError(l.segmentPath(1), 0, "the identity exists but all log segments are missing")
	case l.identity != nil && l.identity.Active && len(l.identity.FoundingMembers) > 0 && l.saved.Snapshot.Index == 0:
		return l.corruptError(l.path(fmt.Sprintf(snapshotNameFormat, 1)), 0, "the snapshot is missing")
	default:
		return nil
	}
}

func (l *Log) readSnapshot(index uint64) error {
	path := l.path(fmt.Sprintf(snapshotNameFormat, index))

	content, err := l.files.Read(path)
	if err != nil {
		return l.recordFailure("read", path, err)
	}

	payload, size, intact := decodeFrame(index, content)
	if !intact || size != len(content) {
		return l.corruptError(path, 0, "the snapshot's checksum is wrong")
	}

	if err := cbor.Unmarshal(payload, &l.saved.Snapshot); err != nil || l.saved.Snapshot.Index != index {
		return l.corruptError(path, frameHeaderBytes, "the snapshot can't be decoded")
	}

	return nil
}

// readSegments replays the segments in ascending order. If the process ended while it removed segments, their numbers
// may have a hole. The snapshot covers the segments before the hole, so they are removed.
func (l *Log) readSegments(numbers []uint64) error {
	first := len(numbers) - 1
	for first > 0 && numbers[first-1] == numbers[first]-1 {
		first--
	}

	for i, number := range numbers {
		if i < first {
			if err := l.files.Remove(l.segmentPath(number)); err != nil {
				return l.recordFailure("remove", l.segmentPath(number), err)
			}

			continue
		}

		if err := l.readSegment(number, i == len(numbers)-1); err != nil {
			return err
		}
	}

	if l.gapErr != nil {
		return l.gapErr
	}

	// A crash may leave a later segment without a record, but then an earlier segment with records exists.
	if len(numbers) > 0 && numbers[first] > 1 && !l.hasPosition {
		return l.corruptError(l.segmentPath(numbers[first]), segmentHeaderBytes, "the segments before it are missing")
	}

	return nil
}

func (l *Log) readSegment(number uint64, last bool) error {
	path := l.segmentPath(number)

	content, err := l.files.Read(path)
	if err != nil {
		return l.recordFailure("read", path, err)
	}

	l.segments = append(l.segments, segment{number: number})

	salt, intact := parseSegmentHeader(number, content)
	if !intact {
		if !last || len(content) > segmentHeaderBytes {
			return l.corruptError(path, 0, "the segment's header is damaged")
		}

		return l.dropSegment(path)
	}

	offset := segmentHeaderBytes

	for offset < len(content) {
		payload, size, intact := decodeFrame(salt, content[offset:])
		if !intact {
			if !last || containsLaterFrame(salt, content[offset:]) {
				return l.corruptError(path, int64(offset), "a record's checksum is wrong and synced data follows")
			}

			return l.truncate(path, int64(offset))
		}

		var decoded record
		if err := cbor.Unmarshal(payload, &decoded); err != nil {
			return l.corruptError(path, int64(offset), "a record can't be decoded")
		}

		if !l.hasPosition && decoded.Position == nil {
			return l.corruptError(path, int64(offset), "the first record holds no position")
		}

		l.hasPosition = true

		if reason := l.replay(decoded, path, int64(offset)); reason != "" {
			return l.corruptError(path, int64(offset), reason)
		}

		offset += size
	}

	return nil
}

// dropSegment removes a segment whose header is incomplete because the process ended while writing it.
func (l *Log) dropSegment(path string) error {
	l.segments = l.segments[:len(l.segments)-1]

	if err := l.files.Remove(path); err != nil {
		return l.recordFailure("remove", path, err)
	}

	return nil
}

func (l *Log) truncate(path string, size int64) error {
	if err := l.files.Truncate(path, size); err != nil {
		return l.recordFailure("truncate", path, err)
	}

	return nil
}

// replay applies a record to the restored state. If the record doesn't continue the log, it returns the reason.
func (l *Log) replay(replayed record, path string, offset int64) string {
	if replayed.Position != nil {
		l.reposition(*replayed.Position, path, offset)
	}

	if replayed.State != nil {
		l.saved.HardState = *replayed.State
	}

	for _, entry := range replayed.Entries {
		if reason := l.replayEntry(entry); reason != "" {
			return reason
		}
	}

	return ""
}

// reposition sets the last entry to the position at which a segment began. A gap is an error only if no later segment
// begins at or before the snapshot's last entry: the segments before the gap may have been removed after a snapshot
// replaced the log.
func (l *Log) reposition(to entryPosition, path string, offset int64) {
	switch {
	case to.Index <= l.saved.Snapshot.Index:
		if to != l.lastEntry || l.gapErr != nil {
			l.saved.Entries = nil
		}

		l.gapErr = nil
	case to != l.lastEntry && l.gapErr == nil:
		l.gapErr = l.corruptError(path, offset, fmt.Sprintf("the log continues at entry %d but ends at entry %d", to.Index,
			l.lastEntry.Index))
		l.saved.Entries = nil
	}

	l.lastEntry = to
}

func (l *Log) replayEntry(entry raft.Entry) string {
	current := &l.segments[len(l.segments)-1]
	current.highestIndex = max(current.highestIndex, entry.Index)

	if l.gapErr != nil {
		l.lastEntry = entryPosition{entry.Index, entry.Term}

		return ""
	}

	if entry.Index == 0 || entry.Index > l.lastEntry.Index+1 {
		return fmt.Sprintf("entry %d follows entry %d", entry.Index, l.lastEntry.Index)
	}

	if len(l.saved.Entries) == 0 {
		l.replayStart = l.lastEntry
	}

	if entry.Index <= l.replayStart.Index {
		// The replaced entry was in a segment that was removed because a later snapshot covers it.
		if entry.Index > l.saved.Snapshot.Index {
			return fmt.Sprintf("entry %d replaces one before the log's position %d", entry.Index, l.replayStart.Index)
		}

		l.saved.Entries, l.replayStart = nil, entryPosition{Index: entry.Index - 1}
	}

	l.saved.Entries = l.saved.Entries[:entry.Index-l.replayStart.Index-1]
	l.saved.Entries = append(l.saved.Entries, entry)
	l.lastEntry = entryPosition{entry.Index, entry.Term}

	return ""
}

// dropCoveredEntries drops the entries up to the snapshot's last entry. It drops all entries if the log doesn't contain
// that last entry, because then the snapshot has replaced the log.
func (l *Log) dropCoveredEntries() {
	snapshot := entryPosition{l.saved.Snapshot.Index, l.saved.Snapshot.Term}
	entries := l.saved.Entries
	l.saved.Entries = nil

	for i, entry := range entries {
		if entry.Index == snapshot.Index && entry.Term != snapshot.Term {
			break
		}

		if entry.Index == snapshot.Index+1 && (i > 0 || l.replayStart == snapshot) {
			l.saved.Entries = slices.Clone(entries[i:])

			break
		}
	}

	if count := len(l.saved.Entries); count > 0 {
		last := l.saved.Entries[count-1]
		l.lastEntry = entryPosition{last.Index, last.Term}

		return
	}

	l.lastEntry = snapshot
}
