package disk

import (
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

// writeRecord appends a record to the current segment and syncs the segment.
func (l *Log) writeRecord(content record) error {
	number := len(l.segments) - 1
	path := l.segmentPath(l.segments[number].number)

	encoded, err := cbor.Marshal(content)
	if err != nil {
		return l.recordFailure("encode record for", path, err)
	}

	framed := encodeFrame(l.currentSalt, encoded)

	if _, err := l.current.Write(framed); err != nil {
		return l.recordFailure("write", path, err)
	}

	if err := l.current.Sync(); err != nil {
		return l.recordFailure("sync", path, err)
	}

	l.currentSize += int64(len(framed))

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
// with records after it must be corruption.
func (l *Log) beginSegment() error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}

	path := l.segmentPath(number)

	file, err := l.files.Create(path)
	if err != nil {
		return l.recordFailure("create", path, err)
	}

	if l.current != nil {
		_ = l.current.Close()
	}

	l.current, l.currentSalt, l.currentSize = file, rand.Uint64(), segmentHeaderBytes
	l.segments = append(l.segments, segment{number: number})

	if _, err := file.Write(encodeSegmentHeader(number, l.currentSalt)); err != nil {
		return l.recordFailure("write", path, err)
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
		return l.recordFailure("create", path+temporarySuffix, err)
	}

	if _, err = file.Write(content); err != nil {
		_ = file.Close()

		return l.recordFailure("write", path+temporarySuffix, err)
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
