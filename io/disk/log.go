package disk

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"almondgrade/core/raft"
)

const (
	identityName        = "identity"
	lockName            = "lock"
	temporarySuffix     = ".tmp"
	segmentNameFormat   = "log-%016d.seg"
	snapshotNameFormat  = "snapshot-%016d.snap"
	damagedFolderFormat = "damaged-%d"
)

// DefaultSegmentSize is the default of Options.SegmentSize.
const DefaultSegmentSize = 8 << 20

// Options configure a Log.
type Options struct {
	Folder string
	// Files are the file operations; OSFiles by default.
	Files Files
	// SegmentSize is the size in bytes at which a segment is full, so that the next record begins a new one.
	SegmentSize int64
}

// Log stores the state of one member in one folder. It is safe for concurrent use.
type Log struct {
	mutex       sync.Mutex
	folder      string
	files       Files
	segmentSize int64
	lock        io.Closer
	identity    *Identity
	failure     error

	saved raft.PersistentState
	// lastEntry is the position of the log's last entry, replayStart the position before the first replayed entry.
	lastEntry   entryPosition
	replayStart entryPosition
	// hasPosition is true once the first record, which holds a position, was replayed.
	hasPosition bool
	// gapErr is the error for a gap in the log. A later segment that begins in the snapshot clears it.
	gapErr error

	segments    []segment
	current     File
	currentSalt uint64
	currentSize int64

	// low is true while there is little room.
	low                  atomic.Bool
	recordsUntilCheck    int
	bytesSinceCompaction atomic.Int64
}

// entryPosition is the index and term of an entry.
type entryPosition struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
	Term  uint64 `cbor:"2,keyasint,omitempty"`
}

// segment is a file of the log. highestIndex is the highest index of the entries in its records.
type segment struct {
	number       uint64
	highestIndex uint64
}

// record is the payload of a frame in a segment.
type record struct {
	// Position is the position of the log's last entry when the segment began.
	Position *entryPosition  `cbor:"1,keyasint,omitempty"`
	State    *raft.HardState `cbor:"2,keyasint,omitempty"`
	Entries  []raft.Entry    `cbor:"3,keyasint,omitempty"`
}

// Open locks a folder, creating it if needed, and reads its content. A folder with a log but without an identity is
// refused as damaged.
func Open(options Options) (*Log, error) {
	log := &Log{folder: options.Folder, files: options.Files, segmentSize: options.SegmentSize}
	if log.files == nil {
		log.files = OSFiles{}
	}

	if log.segmentSize <= 0 {
		log.segmentSize = DefaultSegmentSize
	}

	if err := log.files.Mkdir(log.folder); err != nil {
		return nil, log.recordFailure("create folder", log.folder, err)
	}

	lock, err := log.files.Lock(log.path(lockName))
	if err != nil {
		return nil, log.recordFailure("lock", log.path(lockName), err)
	}

	log.lock = lock

	if err := log.readFolder(); err != nil {
		_ = log.lock.Close()

		return nil, err
	}

	return log, nil
}

// Load implements raft.Storage.
func (l *Log) Load() (raft.PersistentState, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.saved, l.failure
}

// Save implements raft.Storage.
func (l *Log) Save(state *raft.HardState, snapshot *raft.Snapshot, entries []raft.Entry) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.failure != nil {
		return l.failure
	}

	if err := l.ensureSegment(); err != nil {
		return err
	}

	if snapshot != nil {
		if err := l.installSnapshot(state, *snapshot); err != nil {
			return err
		}

		state = nil
	}

	if state == nil && len(entries) == 0 {
		return nil
	}

	if l.currentSize >= l.segmentSize {
		if err := l.beginSegment(); err != nil {
			return err
		}
	}

	return l.writeRecord(record{State: state, Entries: entries})
}

// installSnapshot stores a snapshot that replaces the whole log. It writes the state first, because the snapshot may
// come from the term in that state.
func (l *Log) installSnapshot(state *raft.HardState, snapshot raft.Snapshot) error {
	if state != nil {
		if err := l.writeRecord(record{State: state}); err != nil {
			return err
		}
	}

	if err := l.writeSnapshot(snapshot); err != nil {
		return err
	}

	former := l.lastEntry
	l.lastEntry = entryPosition{snapshot.Index, snapshot.Term}

	if err := l.beginSegment(); err != nil {
		l.lastEntry = former

		return err
	}

	return l.removeObsolete(len(l.segments)-1, snapshot.Index)
}

// Compact implements raft.Storage.
func (l *Log) Compact(snapshot raft.Snapshot) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.failure != nil {
		return l.failure
	}

	// The last segment must hold the position of the log when the others are removed; one of an earlier process may be
	// empty.
	if err := l.ensureSegment(); err != nil {
		return err
	}

	if err := l.writeSnapshot(snapshot); err != nil {
		return err
	}

	// The current segment is never removed. If there is little room, a new one begins, so that it can be.
	if l.low.Load() {
		var full *FullError
		if err := l.beginSegment(); err != nil && !errors.As(err, &full) {
			return err
		}
	}

	l.bytesSinceCompaction.Store(0)

	coveredSegments := 0
	for coveredSegments < len(l.segments)-1 && l.segments[coveredSegments].highestIndex <= snapshot.Index {
		coveredSegments++
	}

	return l.removeObsolete(coveredSegments, snapshot.Index)
}

// Close closes the log and unlocks the folder.
func (l *Log) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.lock == nil {
		return nil
	}

	if l.failure == nil {
		l.failure = &OperationError{Operation: "use", Path: l.folder, cause: io.ErrClosedPipe}
	}

	if l.current != nil {
		_ = l.current.Close()
	}

	err := l.lock.Close()
	l.lock = nil

	return err
}

// recordFailure returns an OperationError and stores the first one, which all later calls return.
func (l *Log) recordFailure(operation, path string, cause error) error {
	failure := &OperationError{Operation: operation, Path: path, cause: cause}
	if l.failure == nil {
		l.failure = failure
	}

	return failure
}

func (l *Log) corruptError(path string, offset int64, reason string) error {
	return &CorruptError{File: path, Offset: offset, Reason: reason, Folder: l.folder}
}
