package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// boundedQueue is the number of lines that wait to be written.
	boundedQueue = 1024
	// boundedRate is the number of lines in a second. More of them would cost a small VM more than its requests.
	boundedRate = 200
)

// Bounded is a writer that never blocks. It drops lines beyond a rate, and lines that come faster than they can be
// written, and says how many. Each call of Write is one line. It is safe for concurrent use.
type Bounded struct {
	to    io.Writer
	lines chan []byte
	done  chan struct{}

	mutex   sync.Mutex
	second  time.Time
	count   int
	dropped int
	closed  bool
}

// NewBounded returns a writer in front of another one.
func NewBounded(to io.Writer) *Bounded {
	created := &Bounded{to: to, lines: make(chan []byte, boundedQueue), done: make(chan struct{})}

	go func() {
		defer close(created.done)

		for line := range created.lines {
			_, _ = created.to.Write(line) // There is nowhere else to report a failure.
		}
	}()

	return created
}

// Write implements io.Writer.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if now := time.Now(); now.Sub(b.second) >= time.Second {
		b.second, b.count = now, 0
		b.report()
	}

	b.count++
	if b.count > boundedRate || !b.offer(append([]byte(nil), line...)) {
		b.dropped++
	}

	return len(line), nil
}

// report says how many lines were dropped. The mutex is held.
func (b *Bounded) report() {
	if b.dropped > 0 && b.offer(fmt.Appendf(nil, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", b.dropped)) {
		b.dropped = 0
	}
}

// offer passes a line on if there is room. The mutex is held.
func (b *Bounded) offer(line []byte) bool {
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

// Close writes the lines that wait. Later lines are dropped.
func (b *Bounded) Close() {
	b.mutex.Lock()
	if !b.closed {
		b.report()
		b.closed = true
		close(b.lines)
	}
	b.mutex.Unlock()

	<-b.done
}
