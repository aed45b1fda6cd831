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
	return l.path(fmt.Sprintf(segmentName, number))
}

// write appends one record to the current segment and syncs it.
func (l *Log) write(content record) error {
	number := len(l.segments) - 1
	path := l.segmentPath(l.segments[number].number)

	encoded, err := cbor.Marshal(content)
	if err != nil {
		return l.fail("encode record for", path, err)
	}

	framed := frame(l.salt, encoded)

	if _, err := l.current.Write(framed); err != nil {
		return l.fail("write", path, err)
	}

	if err := l.current.Sync(); err != nil {
		return l.fail("sync", path, err)
	}

	l.size += int64(len(framed))

	if content.State != nil {
		l.saved.HardState = *content.State
	}

	if count := len(content.Entries); count > 0 {
		last := content.Entries[count-1]
		l.last = position{last.Index, last.Term}
		l.segments[number].highest = max(l.segments[number].highest, last.Index)
	}

	return nil
}

// roll begins a new segment. Its header is durable before the first record, so that a damaged header with records
// after it is known to be corruption.
func (l *Log) roll() error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}

	path := l.segmentPath(number)

	file, err := l.files.Create(path)
	if err != nil {
		return l.fail("create", path, err)
	}

	if l.current != nil {
		_ = l.current.Close()
	}

	l.current, l.salt, l.size = file, rand.Uint64(), segmentHeader
	l.segments = append(l.segments, segment{number: number})

	if _, err := file.Write(header(number, l.salt)); err != nil {
		return l.fail("write", path, err)
	}

	if err := file.Sync(); err != nil {
		return l.fail("sync", path, err)
	}

	if err := l.files.SyncFolder(l.folder); err != nil {
		return l.fail("sync folder", l.folder, err)
	}

	last, state := l.last, l.saved.HardState

	return l.write(record{Position: &last, State: &state})
}

func (l *Log) writeSnapshot(snapshot raft.Snapshot) error {
	name := fmt.Sprintf(snapshotName, snapshot.Index)

	encoded, err := cbor.Marshal(snapshot)
	if err != nil {
		return l.fail("encode snapshot for", l.path(name), err)
	}

	return l.replace(name, frame(snapshot.Index, encoded))
}

// replace stores a whole file so that after a crash either the old or the new content is there.
func (l *Log) replace(name string, content []byte) error {
	path := l.path(name)

	file, err := l.files.Create(path + temporary)
	if err != nil {
		return l.fail("create", path+temporary, err)
	}

	if _, err = file.Write(content); err != nil {
		_ = file.Close()

		return l.fail("write", path+temporary, err)
	}

	if err = file.Sync(); err != nil {
		_ = file.Close()

		return l.fail("sync", path+temporary, err)
	}

	if err = file.Close(); err != nil {
		return l.fail("close", path+temporary, err)
	}

	if err = l.files.Rename(path+temporary, path); err != nil {
		return l.fail("rename", path+temporary, err)
	}

	if err = l.files.SyncFolder(l.folder); err != nil {
		return l.fail("sync folder", l.folder, err)
	}

	return nil
}

// discard removes the oldest segments and the snapshots before an index.
func (l *Log) discard(segments int, index uint64) error {
	for range segments {
		path := l.segmentPath(l.segments[0].number)
		if err := l.files.Remove(path); err != nil {
			return l.fail("remove", path, err)
		}

		l.segments = l.segments[1:]
	}

	names, err := l.files.List(l.folder)
	if err != nil {
		return l.fail("list", l.folder, err)
	}

	for _, name := range names {
		if found, ok := parseName(snapshotName, name); ok && found < index {
			if err := l.files.Remove(l.path(name)); err != nil {
				return l.fail("remove", l.path(name), err)
			}
		}
	}

	return nil
}

// parseName returns the number in a file name of the given format.
func parseName(format, name string) (uint64, bool) {
	var number uint64
	if _, err := fmt.Sscanf(name, format, &number); err != nil || fmt.Sprintf(format, number) != name {
		return 0, false
	}

	return number, true
}
