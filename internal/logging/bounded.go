package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written.
	maxQueuedLines = 1024
	// maxLinesPerSecond bounds the rate of lines. More of them would cost a small VM more than its requests.
	maxLinesPerSecond = 200
	// reservedLinesPerSecond is the part of maxLinesPerSecond, and of the lines that may wait, that lines above level INFO
	// keep for themselves. Otherwise refused requests under load displace the lines that tell the cause.
	reservedLinesPerSecond = 40
	// levelPrefixBytes is the length of the beginning of a line that holds its level.
	levelPrefixBytes = 80
)

// Bounded is a writer that never blocks. It drops lines that exceed a rate or arrive faster than they can be written, and
// logs the number of dropped lines. Each call of Write is one line. It is safe for concurrent use.
type Bounded struct {
	target io.Writer
	lines  chan []byte
	done   chan struct{}

	mutex           sync.Mutex
	secondStart     time.Time
	linesThisSecond int
	droppedLines    int
	closed          bool
}

// NewBounded returns a Bounded that writes to another writer.
func NewBounded(to io.Writer) *Bounded {
	bounded := &Bounded{target: to, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}

	go func() {
		defer close(bounded.done)

		for line := range bounded.lines {
			_, _ = bounded.target.Write(line) // There is no other place to report an error.
		}
	}()

	return bounded
}

// Write implements io.Writer.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if now := time.Now(); now.Sub(b.secondStart) >= time.Second {
		b.secondStart, b.linesThisSecond = now, 0
		b.reportDropped()
	}

	limit, queued := maxLinesPerSecond, maxQueuedLines
	if isRoutine(line) {
		limit, queued = limit-reservedLinesPerSecond, queued-reservedLinesPerSecond
	}

	if b.linesThisSecond >= limit || len(b.lines) >= queued || !b.enqueue(append([]byte(nil), line...)) {
		b.droppedLines++
	} else {
		b.linesThisSecond++
	}

	return len(line), nil
}

// isRoutine reports whether a line has level INFO or a lower one, in either format of package logging.
func isRoutine(line []byte) bool {
	start := line[:min(len(line), levelPrefixBytes)]

	return !bytes.Contains(start, []byte("WARN")) && !bytes.Contains(start, []byte("ERROR"))
}

// reportDropped queues a line with the number of dropped lines, if there are any. The mutex is held.
func (b *Bounded) reportDropped() {
	if b.droppedLines > 0 && b.enqueue(fmt.Appendf(nil, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", b.droppedLines)) {
		b.droppedLines = 0
	}
}

// enqueue queues a line and returns true, or returns false if the queue is full or closed. The mutex is held.
func (b *Bounded) enqueue(line []byte) bool {
	if b.closed {
		return false
	}

	select {
	case b.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and waits until they are written. Later lines are dropped.
func (b *Bounded) Close() {
	b.mutex.Lock()
	if !b.closed {
		b.reportDropped()
		b.closed = true
		close(b.lines)
	}
	b.mutex.Unlock()

	<-b.done
}
