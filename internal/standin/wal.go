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
	// walStart is the LSN of an empty log. It differs from zero because zero means an unknown position.
	walStart = position.LSN(0x1000000)
	// walHeaderBytes is the length of a record's header: payload length and checksum.
	walHeaderBytes = 8
	// walMaxPayloadBytes bounds the memory that openWAL allocates for a record with a damaged header.
	walMaxPayloadBytes = 1 << 28
)

//nolint:gochecknoglobals // The table is constant.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one committed transaction in the log.
type record struct {
	end position.LSN
	// checksum covers the whole log up to the end of this record, so that equal checksums at equal positions mean equal
	// logs.
	checksum uint32
	payload  []byte
	received time.Time
}

// wal is the write-ahead log of a member. All records of the file are also in memory.
type wal struct {
	mu      sync.Mutex
	file    *os.File
	records []record
	// publishedCount is the number of records that recordsFrom may return; a primary publishes a record after its
	// commit.
	publishedCount int
	changed        chan struct{}
}

func openWAL(path string) (*wal, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}

	w := &wal{file: file, changed: make(chan struct{})}

	for {
		next, err := w.readRecord()
		if err != nil {
			break // The log ends here, possibly with the remains of an interrupted write.
		}

		w.records = append(w.records, next)
	}

	w.publishedCount = len(w.records)

	if err := w.truncateFile(); err != nil {
		_ = file.Close()
		return nil, err
	}

	return w, nil
}

func (w *wal) readRecord() (record, error) {
	var header [walHeaderBytes]byte
	if _, err := io.ReadFull(w.file, header[:]); err != nil {
		return record{}, err
	}

	// Zeros at the end of a file must not be read as empty records.
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > walMaxPayloadBytes {
		return record{}, io.ErrUnexpectedEOF
	}

	payload := make([]byte, length)
	if _, err := io.ReadFull(w.file, payload); err != nil {
		return record{}, err
	}

	next := w.nextRecord(payload)
	if next.checksum != binary.BigEndian.Uint32(header[4:]) {
		return record{}, io.ErrUnexpectedEOF
	}

	return next, nil
}

// nextRecord returns the record for a payload at the end of the log.
func (w *wal) nextRecord(payload []byte) record {
	end, sum := w.endLocked()

	return record{
		end: end + walHeaderBytes + position.LSN(len(payload)), checksum: crc32.Update(sum, castagnoli, payload), payload: payload,
		received: time.Now(),
	}
}

func (w *wal) endLocked() (position.LSN, uint32) {
	if len(w.records) == 0 {
		return walStart, 0
	}

	last := w.records[len(w.records)-1]

	return last.end, last.checksum
}

// end returns the end of the log, including records that are not published yet.
func (w *wal) end() position.LSN {
	w.mu.Lock()
	defer w.mu.Unlock()

	end, _ := w.endLocked()

	return end
}

// append writes a record. Readers see it only after publish.
func (w *wal) append(payload []byte) (position.LSN, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	next := w.nextRecord(payload)
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, walHeaderBytes+len(payload)), uint32(len(payload)))
	frame = binary.BigEndian.AppendUint32(frame, next.checksum)

	if _, err := w.file.Write(append(frame, payload...)); err != nil {
		return 0, eris.Wrap(err, "write log")
	}

	w.records = append(w.records, next)

	return next.end, nil
}

// appendReceived appends a record that came from the primary and publishes it.
func (w *wal) appendReceived(payload []byte, checksum uint32) (position.LSN, error) {
	end, err := w.append(payload)
	if err != nil {
		return 0, err
	}

	w.mu.Lock()
	_, got := w.endLocked()
	w.mu.Unlock()

	if got != checksum {
		return 0, fmt.Errorf("log record at %s does not continue the local log", end)
	}

	w.publish()

	return end, nil
}

func (w *wal) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.publishedCount = len(w.records)
	close(w.changed)
	w.changed = make(chan struct{})
}

// truncate removes the records that end past the given position.
func (w *wal) truncate(to position.LSN) error {
	w.mu.Lock()
	defer w.mu.Unlock()

	keep := w.countUntilLocked(to)
	if keep == len(w.records) {
		return nil
	}

	// Readers may hold the old slice; later appends must not overwrite its elements.
	w.records = slices.Clone(w.records[:keep])
	w.publishedCount = min(w.publishedCount, len(w.records))

	return w.truncateFile()
}

// truncateFile truncates the file to the length of the records in memory.
func (w *wal) truncateFile() error {
	end, _ := w.endLocked()
	if err := w.file.Truncate(int64(end - walStart)); err != nil {
		return eris.Wrap(err, "truncate log")
	}

	_, err := w.file.Seek(0, io.SeekEnd)

	return eris.Wrap(err, "seek in log")
}

// countUntil returns the number of records that end at or before a position.
func (w *wal) countUntil(at position.LSN) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.countUntilLocked(at)
}

func (w *wal) countUntilLocked(at position.LSN) int {
	return sort.Search(len(w.records), func(i int) bool { return w.records[i].end > at })
}

// recordsFrom returns the published records from an index on, and a channel that closes when more may be published.
func (w *wal) recordsFrom(index int) ([]record, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if index >= w.publishedCount {
		return nil, w.changed
	}

	return w.records[index:w.publishedCount:w.publishedCount], w.changed
}

// matches reports whether the published log has a record end at this position with this checksum.
func (w *wal) matches(at position.LSN, checksum uint32) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if at == walStart {
		return checksum == 0
	}

	i := w.countUntilLocked(at) - 1

	return i >= 0 && i < w.publishedCount && w.records[i].end == at && w.records[i].checksum == checksum
}
