package disk

import (
	"io"
	"sync"

	"almondgrade/core/raft"
)

const (
	identityName  = "identity"
	lockName      = "lock"
	temporary     = ".tmp"
	segmentName   = "log-%016d.seg"
	snapshotName  = "snapshot-%016d.snap"
	damagedFolder = "damaged-%d"
)

// DefaultSegmentSize is the size in bytes from which on a new segment is begun.
const DefaultSegmentSize = 8 << 20

// Options describe a Log.
type Options struct {
	Folder string
	// Files are the file operations; System by default.
	Files Files
	// SegmentSize is the size in bytes from which on a new segment is begun.
	SegmentSize int64
}

// Log is the storage of one member in one folder. It is safe for concurrent use.
type Log struct {
	mutex    sync.Mutex
	folder   string
	files    Files
	limit    int64
	lock     io.Closer
	identity *Identity
	failed   error

	saved raft.PersistentState
	// last is the position of the log's last entry, start the one before the first entry that was replayed.
	last  position
	start position
	// positioned reports whether a first record, which holds a position, was replayed.
	positioned bool
	// gap is the error to report unless a later segment closes the gap.
	gap error

	segments []segment
	current  File
	salt     uint64
	size     int64
}

// position is the index and term of an entry.
type position struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
	Term  uint64 `cbor:"2,keyasint,omitempty"`
}

// segment is a file of the log; highest is the highest index that its records hold.
type segment struct {
	number  uint64
	highest uint64
}

// record is the payload of a frame in a segment.
type record struct {
	// Position is the log's last entry when the segment began.
	Position *position       `cbor:"1,keyasint,omitempty"`
	State    *raft.HardState `cbor:"2,keyasint,omitempty"`
	Entries  []raft.Entry    `cbor:"3,keyasint,omitempty"`
}

// Open locks a folder and reads what it holds. It creates the folder if needed. A folder whose log is not empty but
// whose identity is missing is refused as damaged.
func Open(options Options) (*Log, error) {
	log := &Log{folder: options.Folder, files: options.Files, limit: options.SegmentSize}
	if log.files == nil {
		log.files = System{}
	}

	if log.limit <= 0 {
		log.limit = DefaultSegmentSize
	}

	if err := log.files.Mkdir(log.folder); err != nil {
		return nil, log.fail("create folder", log.folder, err)
	}

	lock, err := log.files.Lock(log.path(lockName))
	if err != nil {
		return nil, log.fail("lock", log.path(lockName), err)
	}

	log.lock = lock

	if err := log.recover(); err != nil {
		_ = log.lock.Close()

		return nil, err
	}

	return log, nil
}

// Load implements raft.Storage.
func (l *Log) Load() (raft.PersistentState, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.saved, l.failed
}

// Save implements raft.Storage.
func (l *Log) Save(state *raft.HardState, snapshot *raft.Snapshot, entries []raft.Entry) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.failed != nil {
		return l.failed
	}

	if snapshot != nil {
		if err := l.install(state, *snapshot); err != nil {
			return err
		}

		state = nil
	}

	if state == nil && len(entries) == 0 {
		return nil
	}

	if l.size >= l.limit {
		if err := l.roll(); err != nil {
			return err
		}
	}

	return l.write(record{State: state, Entries: entries})
}

// install stores a snapshot that replaces the whole log. The state goes first, because the snapshot may come from
// its term.
func (l *Log) install(state *raft.HardState, snapshot raft.Snapshot) error {
	if state != nil {
		if err := l.write(record{State: state}); err != nil {
			return err
		}
	}

	if err := l.writeSnapshot(snapshot); err != nil {
		return err
	}

	l.last = position{snapshot.Index, snapshot.Term}

	if err := l.roll(); err != nil {
		return err
	}

	return l.discard(len(l.segments)-1, snapshot.Index)
}

// Compact implements raft.Storage.
func (l *Log) Compact(snapshot raft.Snapshot) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.failed != nil {
		return l.failed
	}

	if err := l.writeSnapshot(snapshot); err != nil {
		return err
	}

	covered := 0
	for covered < len(l.segments)-1 && l.segments[covered].highest <= snapshot.Index {
		covered++
	}

	return l.discard(covered, snapshot.Index)
}

// Close releases the folder.
func (l *Log) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.lock == nil {
		return nil
	}

	if l.failed == nil {
		l.failed = &FailedError{Operation: "use", Path: l.folder, cause: io.ErrClosedPipe}
	}

	if l.current != nil {
		_ = l.current.Close()
	}

	err := l.lock.Close()
	l.lock = nil

	return err
}

// fail makes an error final.
func (l *Log) fail(operation, path string, cause error) error {
	failure := &FailedError{Operation: operation, Path: path, cause: cause}
	if l.failed == nil {
		l.failed = failure
	}

	return failure
}

func (l *Log) corrupt(path string, offset int64, reason string) error {
	return &CorruptError{File: path, Offset: offset, Reason: reason, Folder: l.folder}
}
