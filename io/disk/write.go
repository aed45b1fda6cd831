package disk

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"almondgrade/core/raft"
)

func (l *Log) path(name string) string {
	return filepath.Join(l.folder, name)
}

func (l *Log) segmentPath(number uint64) string {
	return l.path(fmt.Sprintf(segmentNameFormat, number))
}

// writeRecord appends a record to the current segment and syncs the segment. If there is no room, it removes the part that
// was written: nothing of it was synced, and the records before it are intact.
func (l *Log) writeRecord(content record) error {
	number := len(l.segments) - 1
	path := l.segmentPath(l.segments[number].number)

	encoded, err := cbor.Marshal(content)
	if err != nil {
		return l.recordFailure("encode record for", path, err)
	}

	framed := encodeFrame(l.currentSalt, encoded)

	if _, err := l.current.Write(framed); err != nil {
		if !isRefusal(err) {
			return l.recordFailure("write", path, err)
		}

		if failed := l.files.Truncate(path, l.currentSize); failed != nil {
			return l.recordFailure("truncate", path, failed)
		}

		return &FullError{Operation: "write", Path: path, cause: err}
	}

	if err := l.current.Sync(); err != nil {
		return l.recordFailure("sync", path, err)
	}

	l.currentSize += int64(len(framed))
	l.bytesSinceCompaction.Add(int64(len(framed)))
	l.checkSpace()

	if content.State != nil {
		l.saved.HardState = *content.State
	}

	if count := len(content.Entries); count > 0 {
		last := content.Entries[count-1]
		l.lastEntry = entryPosition{last.Index, last.Term}
		l.segments[number].highestIndex = max(l.segments[number].highestIndex, last.Index)
	}

	return nil
}

// beginSegment creates a new segment. Its header is durable before the first record is written, so a damaged header
// with records after it must be corruption. If there is no room, the former segment stays in use.
func (l *Log) beginSegment() error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}

	path := l.segmentPath(number)

	file, err := l.files.Create(path)
	if err != nil {
		return l.refusedOrFailed("create", path, err)
	}

	former, formerSalt, formerSize := l.current, l.currentSalt, l.currentSize
	l.current, l.currentSalt, l.currentSize = file, rand.Uint64(), segmentHeaderBytes
	l.segments = append(l.segments, segment{number: number})

	err = l.writeSegmentStart(file, path)

	var full *FullError
	if errors.As(err, &full) {
		l.current, l.currentSalt, l.currentSize = former, formerSalt, formerSize
		l.segments = l.segments[:len(l.segments)-1]

		_ = file.Close() // The file is removed.

		// No record may follow in the former segment while the new one exists: the former one would not be the last.
		if failed := l.files.Remove(path); failed != nil {
			return l.recordFailure("remove", path, failed)
		}

		if failed := l.files.SyncFolder(l.folder); failed != nil {
			return l.recordFailure("sync folder", l.folder, failed)
		}

		return err
	}

	if former != nil {
		_ = former.Close()
	}

	return err
}

// ensureSegment begins the segment for which there was no room when the Log was opened.
func (l *Log) ensureSegment() error {
	if l.current != nil {
		return nil
	}

	return l.beginSegment()
}

// writeSegmentStart writes the header and the first record of the current segment.
func (l *Log) writeSegmentStart(file File, path string) error {
	number := l.segments[len(l.segments)-1].number

	if _, err := file.Write(encodeSegmentHeader(number, l.currentSalt)); err != nil {
		return l.refusedOrFailed("write", path, err)
	}

	if err := file.Sync(); err != nil {
		return l.recordFailure("sync", path, err)
	}

	if err := l.files.SyncFolder(l.folder); err != nil {
		return l.recordFailure("sync folder", l.folder, err)
	}

	last, state := l.lastEntry, l.saved.HardState

	return l.writeRecord(record{Position: &last, State: &state})
}

// refusedOrFailed returns a FullError for a refusal, which leaves the Log usable, and otherwise records the failure.
func (l *Log) refusedOrFailed(operation, path string, cause error) error {
	if isRefusal(cause) {
		return &FullError{Operation: operation, Path: path, cause: cause}
	}

	return l.recordFailure(operation, path, cause)
}

const (
	// lowSpace is the room below which the log is compacted early. It holds several snapshots of the largest
	// configurations (a few MB) beside the segments.
	lowSpace = 64 << 20
	// compactedBytes is the size of the segments up to which an early compaction saves nothing worth its writes.
	compactedBytes = 256 << 10
	// spaceCheckRecords is the number of records between two checks of the room.
	spaceCheckRecords = 16
)

// checkSpace finds out now and then whether there is little room.
func (l *Log) checkSpace() {
	reporter, known := l.files.(SpaceReporter)
	if !known || l.recordsUntilCheck > 0 {
		l.recordsUntilCheck--

		return
	}

	l.recordsUntilCheck = spaceCheckRecords

	if free, err := reporter.Free(l.folder); err == nil {
		l.low.Store(free < lowSpace)
	}
}

// ShouldCompact reports whether a compaction is due because there is little room. It does not wait for the disk.
func (l *Log) ShouldCompact() bool {
	return l.low.Load() && l.bytesSinceCompaction.Load() > compactedBytes
}

func (l *Log) writeSnapshot(snapshot raft.Snapshot) error {
	name := fmt.Sprintf(snapshotNameFormat, snapshot.Index)

	encoded, err := cbor.Marshal(snapshot)
	if err != nil {
		return l.recordFailure("encode snapshot for", l.path(name), err)
	}

	return l.replaceFile(name, encodeFrame(snapshot.Index, encoded))
}

// replaceFile replaces a whole file atomically: after a crash it has either the old or the new content.
func (l *Log) replaceFile(name string, content []byte) error {
	path := l.path(name)

	file, err := l.files.Create(path + temporarySuffix)
	if err != nil {
		return l.refusedOrFailed("create", path+temporarySuffix, err)
	}

	if _, err = file.Write(content); err != nil {
		_ = file.Close()

		if failed := l.files.Remove(path + temporarySuffix); failed != nil {
			return l.recordFailure("remove", path+temporarySuffix, failed)
		}

		return l.refusedOrFailed("write", path+temporarySuffix, err)
	}

	if err = file.Sync(); err != nil {
		_ = file.Close()

		return l.recordFailure("sync", path+temporarySuffix, err)
	}

	if err = file.Close(); err != nil {
		return l.recordFailure("close", path+temporarySuffix, err)
	}

	if err = l.files.Rename(path+temporarySuffix, path); err != nil {
		return l.recordFailure("rename", path+temporarySuffix, err)
	}

	if err = l.files.SyncFolder(l.folder); err != nil {
		return l.recordFailure("sync folder", l.folder, err)
	}

	return nil
}

// removeObsolete removes the given number of oldest segments, and the snapshots with a lower index.
func (l *Log) removeObsolete(segments int, index uint64) error {
	for range segments {
		path := l.segmentPath(l.segments[0].number)
		if err := l.files.Remove(path); err != nil {
			return l.recordFailure("remove", path, err)
		}

		l.segments = l.segments[1:]
	}

	names, err := l.files.List(l.folder)
	if err != nil {
		return l.recordFailure("list", l.folder, err)
	}

	for _, name := range names {
		if found, ok := parseName(snapshotNameFormat, name); ok && found < index {
			if err := l.files.Remove(l.path(name)); err != nil {
				return l.recordFailure("remove", l.path(name), err)
			}
		}
	}

	return nil
}

// parseName returns the number in a file name, or false if the name doesn't have the given format.
func parseName(format, name string) (uint64, bool) {
	var number uint64
	if _, err := fmt.Sscanf(name, format, &number); err != nil || fmt.Sprintf(format, number) != name {
		return 0, false
	}

	return number, true
}
