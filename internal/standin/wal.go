package standin

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/position"
)

const (
	// walBegin is the LSN of an empty log. It differs from zero because zero means an unknown position.
	walBegin = position.LSN(0x1000000)
	// walHeader is the length of a record's header: payload length and checksum.
	walHeader = 8
	// walMaxPayload bounds the payload that a damaged header can make openWAL allocate.
	walMaxPayload = 1 << 28
)

//nolint:gochecknoglobals // The table is constant.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one committed transaction in the log.
type record struct {
	end position.LSN
	// sum is the checksum of the whole log up to the end of this record, so that equal sums at equal positions
	// mean equal logs.
	sum      uint32
	payload  []byte
	received time.Time
}

// wal is the write-ahead log of a member: a file, and the same records in memory.
type wal struct {
	mu      sync.Mutex
	file    *os.File
	records []record
	// published counts the records that readers may get; a primary publishes a record after its commit.
	published int
	changed   chan struct{}
}

func openWAL(path string) (*wal, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}

	w := &wal{file: file, changed: make(chan struct{})}

	for {
		next, err := w.read()
		if err != nil {
			break // The tail of an interrupted write.
		}

		w.records = append(w.records, next)
	}

	w.published = len(w.records)

	if err := w.cut(); err != nil {
		_ = file.Close()
		return nil, err
	}

	return w, nil
}

func (w *wal) read() (record, error) {
	var header [walHeader]byte
	if _, err := io.ReadFull(w.file, header[:]); err != nil {
		return record{}, err
	}

	// A file that was extended with zeros must not pass for empty records.
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > walMaxPayload {
		return record{}, io.ErrUnexpectedEOF
	}

	payload := make([]byte, length)
	if _, err := io.ReadFull(w.file, payload); err != nil {
		return record{}, err
	}

	next := w.next(payload)
	if next.sum != binary.BigEndian.Uint32(header[4:]) {
		return record{}, io.ErrUnexpectedEOF
	}

	return next, nil
}

// next returns the record that the payload becomes at the end of the log.
func (w *wal) next(payload []byte) record {
	end, sum := w.endLocked()

	return record{
		end: end + walHeader + position.LSN(len(payload)), sum: crc32.Update(sum, castagnoli, payload), payload: payload,
		received: time.Now(),
	}
}

func (w *wal) endLocked() (position.LSN, uint32) {
	if len(w.records) == 0 {
		return walBegin, 0
	}

	last := w.records[len(w.records)-1]

	return last.end, last.sum
}

// end returns the end of the log, including a record that is not published yet.
func (w *wal) end() position.LSN {
	w.mu.Lock()
	defer w.mu.Unlock()

	end, _ := w.endLocked()

	return end
}

// append writes a record that readers get only after publish.
func (w *wal) append(payload []byte) (position.LSN, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	next := w.next(payload)
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, walHeader+len(payload)), uint32(len(payload)))
	frame = binary.BigEndian.AppendUint32(frame, next.sum)

	if _, err := w.file.Write(append(frame, payload...)); err != nil {
		return 0, eris.Wrap(err, "write log")
	}

	w.records = append(w.records, next)

	return next.end, nil
}

// receive appends a record that came from the primary and publishes it.
func (w *wal) receive(payload []byte, sum uint32) (position.LSN, error) {
	end, err := w.append(payload)
	if err != nil {
		return 0, err
	}

	w.mu.Lock()
	_, got := w.endLocked()
	w.mu.Unlock()

	if got != sum {
		return 0, fmt.Errorf("log record at %s does not continue the local log", end)
	}

	w.publish()

	return end, nil
}

func (w *wal) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.published = len(w.records)
	close(w.changed)
	w.changed = make(chan struct{})
}

// truncate drops the records that end past the given position.
func (w *wal) truncate(to position.LSN) error {
	w.mu.Lock()
	defer w.mu.Unlock()

	keep := w.indexLocked(to)
	if keep == len(w.records) {
		return nil
	}

	// Readers may hold the old slice, so that later records must not overwrite it.
	w.records = slices.Clone(w.records[:keep])
	w.published = min(w.published, len(w.records))

	return w.cut()
}

// cut makes the file as long as the records in memory.
func (w *wal) cut() error {
	end, _ := w.endLocked()
	if err := w.file.Truncate(int64(end - walBegin)); err != nil {
		return eris.Wrap(err, "truncate log")
	}

	_, err := w.file.Seek(0, io.SeekEnd)

	return eris.Wrap(err, "seek in log")
}

// index returns the number of records that end at or before a position.
func (w *wal) index(at position.LSN) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.indexLocked(at)
}

func (w *wal) indexLocked(at position.LSN) int {
	return sort.Search(len(w.records), func(i int) bool { return w.records[i].end > at })
}

// from returns the published records from an index on, and a channel that closes when there may be more.
func (w *wal) from(index int) ([]record, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if index >= w.published {
		return nil, w.changed
	}

	return w.records[index:w.published:w.published], w.changed
}

// holds reports whether the published log has exactly this sum at this position.
func (w *wal) holds(at position.LSN, sum uint32) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if at == walBegin {
		return sum == 0
	}

	i := w.indexLocked(at) - 1

	return i >= 0 && i < w.published && w.records[i].end == at && w.records[i].sum == sum
}
