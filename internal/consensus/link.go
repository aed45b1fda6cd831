package consensus

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/raft"
	"almondgrade/io/control/controlpb"
)

// initialBackoff is the delay after the first failed connection. The delay doubles up to the election timeout.
const initialBackoff = 20 * time.Millisecond

// link sends batches to one address, over one stream at a time.
type link struct {
	group     *Group
	address   netip.AddrPort
	queue     chan raft.Message
	heartbeat chan struct{}
	// wake ends the delay after a failed connection because a batch from the member has arrived.
	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}

	mutex sync.Mutex
	// sequence is the number of the last batch, firstOnConn the first number on the current connection, and lastAcked
	// the last number that was acknowledged.
	sequence    uint64
	firstOnConn uint64
	lastAcked   uint64
	// aliveAt is the time of the last acknowledgement on the current connection, or of its beginning.
	aliveAt    time.Time
	cancelConn context.CancelFunc
	status     LinkStatus
}

// LinkStatus describes the connection to a member.
type LinkStatus struct {
	Address netip.AddrPort
	// Connected reports whether a batch on the current connection was acknowledged.
	Connected bool
	// Acknowledged is the number of the last acknowledged batch.
	Acknowledged uint64
	// Opened counts the connections, and Replaced those that were closed because they were silent.
	Opened   uint64
	Replaced uint64
	// Dropped counts the messages that were dropped because the queue was full.
	Dropped uint64
}

func newLink(ctx context.Context, group *Group, address netip.AddrPort) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		group: group, address: address, queue: make(chan raft.Message, sendQueueLength), heartbeat: make(chan struct{}, 1),
		wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
		status: LinkStatus{Address: address}, aliveAt: group.options.Timer.Now(),
	}

	go func() {
		defer close(l.done)

		l.run(ctx)
	}()

	return l
}

// run connects and reconnects with backoff until the link is closed.
func (l *link) run(ctx context.Context) {
	backoff := initialBackoff

	for ctx.Err() == nil {
		acked, err := l.runConn(ctx)
		if acked {
			backoff = initialBackoff
		}

		if ctx.Err() != nil {
			return
		}

		l.group.options.Logger.Debug("connection to log member ended", "address", l.address, "error", err)
		l.waitToReconnect(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, l.group.options.ElectionTimeout)
	}
}

func (l *link) waitToReconnect(ctx context.Context, delay time.Duration) {
	passed := make(chan struct{})
	stop := l.group.options.Timer.After(delay, func(time.Time) { close(passed) })

	defer stop()

	select {
	case <-ctx.Done():
	case <-passed:
	case <-l.wake:
	}
}

// runConn opens a connection and sends batches on it until it fails. It reports whether a batch was acknowledged.
func (l *link) runConn(ctx context.Context) (acked bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	l.beginConn(cancel)

	defer func() { acked = l.endConn() }()

	connection, err := l.group.options.Dial(l.address)
	if err != nil {
		return false, eris.Wrap(err, "dial")
	}

	defer func() { _ = connection.Close() }()

	stream, err := controlpb.NewLogClient(connection).Exchange(ctx)
	if err != nil {
		return false, eris.Wrap(err, "open stream")
	}

	for {
		batch, err := l.nextBatch(ctx)
		if err != nil {
			return false, err
		}

		if err := stream.Send(batch); err != nil {
			return false, eris.Wrap(err, "send")
		}
	}
}

func (l *link) beginConn(cancel context.CancelFunc) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.firstOnConn = l.sequence + 1
	l.aliveAt = l.group.options.Timer.Now()
	l.cancelConn = cancel
	l.status.Opened++
}

func (l *link) endConn() (acked bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.cancelConn = nil
	acked, l.status.Connected = l.status.Connected, false

	return acked
}

// nextBatch waits for messages or the next heartbeat and returns a batch.
func (l *link) nextBatch(ctx context.Context) (*controlpb.LogMessages, error) {
	var waiting []raft.Message

	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.heartbeat:
	case message := <-l.queue:
		waiting = append(waiting, message)
	}

	encodedHello, err := cbor.Marshal(l.nextHello())
	if err != nil {
		return nil, eris.Wrap(err, "encode hello")
	}

	batch := &controlpb.LogMessages{Sender: l.group.options.Self.Name, Messages: [][]byte{encodedHello}}
	size := 0

	for {
		for _, message := range waiting {
			encoded, err := message.Encode()
			if err != nil {
				return nil, err
			}

			batch.Messages = append(batch.Messages, encoded)
			size += len(encoded)
		}

		if size >= fullBatchBytes {
			return batch, nil
		}

		select {
		case message := <-l.queue:
			waiting = append(waiting[:0], message)
		default:
			return batch, nil
		}
	}
}

func (l *link) nextHello() hello {
	next := *l.group.ownHello.Load()
	lastBatch := l.group.lastBatchFrom(l.address)
	next.AckInstance, next.AckSequence = lastBatch.instance, lastBatch.sequence

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.sequence++
	next.Sequence = l.sequence

	return next
}

// enqueue queues a message, or drops it if the queue is full.
func (l *link) enqueue(message raft.Message) {
	select {
	case l.queue <- message:
	default:
		l.mutex.Lock()
		l.status.Dropped++
		l.mutex.Unlock()
	}
}

// recordAck records that the member acknowledged a batch. The member repeats its last acknowledgement in each batch that
// it sends, so only a higher sequence number shows that the connection works.
func (l *link) recordAck(sequence uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.cancelConn != nil && sequence >= l.firstOnConn && sequence > l.lastAcked {
		l.lastAcked, l.status.Acknowledged = sequence, sequence
		l.aliveAt = l.group.options.Timer.Now()
		l.status.Connected = true
	}
}

// reconnectNow ends the delay after a failed connection, because the member is reachable.
func (l *link) reconnectNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// handleHeartbeat makes the link send a batch and replaces a connection that has been silent for an election timeout.
func (l *link) handleHeartbeat(now time.Time) {
	select {
	case l.heartbeat <- struct{}{}:
	default:
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.cancelConn == nil || now.Sub(l.aliveAt) < l.group.options.ElectionTimeout {
		return
	}

	if l.status.Connected {
		l.group.options.Logger.Warn("connection to log member is silent and is replaced", "address", l.address,
			"silent", now.Sub(l.aliveAt))
	}

	l.status.Replaced++
	l.aliveAt = now
	l.cancelConn()
}

func (l *link) currentStatus() LinkStatus {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.status
}

func (l *link) close() {
	l.cancel()
	<-l.done
}
