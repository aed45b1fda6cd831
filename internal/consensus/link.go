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

const (
	// initialBackoff is the delay after the first failed connection. The delay doubles up to maxBackoffTimeouts election
	// timeouts.
	initialBackoff = 20 * time.Millisecond
	// maxBackoffTimeouts bounds the delay: after a partition, a connection is back before a second election.
	maxBackoffTimeouts = 2
	// silenceSpread is the part of the election timeout over which the replacements of silent connections are spread, so
	// that the members don't connect to a member that was frozen all at once.
	silenceSpread = 4
	// wakeSpread is the part of a delay after which, at the earliest, a sign of life of the member may end it. A member
	// that can send but not be reached would otherwise be dialled with each of its heartbeats.
	wakeSpread = 4
)

// link sends urgent messages to one address, over one stream at a time, and bulk over another one.
type link struct {
	group     *Group
	address   netip.AddrPort
	queue     chan raft.Message
	heartbeat chan struct{}
	// wake ends the delay after a failed connection because a batch from the member has arrived.
	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
	bulk   *bulkLink

	mutex sync.Mutex
	// sequence is the number of the last batch, firstOnConn the first number on the current connection, and lastAcked
	// the last number that was acknowledged.
	sequence    uint64
	firstOnConn uint64
	lastAcked   uint64
	// aliveAt is the time of the last acknowledgement on the current connection, or of its beginning.
	aliveAt time.Time
	// silenceLimit is the time without an acknowledgement after which the current connection is replaced.
	silenceLimit time.Duration
	cancelConn   context.CancelFunc
	status       LinkStatus
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
		status: LinkStatus{Address: address}, aliveAt: group.options.Timer.Now(), bulk: newBulkLink(group, address),
	}

	go func() {
		defer close(l.done)

		var running sync.WaitGroup

		running.Go(func() { l.bulk.run(ctx) })
		l.run(ctx)
		running.Wait()
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
		backoff = min(2*backoff, maxBackoffTimeouts*l.group.options.ElectionTimeout)
	}
}

func (l *link) waitToReconnect(ctx context.Context, delay time.Duration) {
	first := delay/wakeSpread + rand.N(delay/wakeSpread)

	l.group.sleep(ctx, first)

	// Only a sign of life from now on counts.
	select {
	case <-l.wake:
	default:
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := l.group.options.Timer.After(delay-first, func(time.Time) { cancel() })
	defer stop()

	select {
	case <-ctx.Done():
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
	l.silenceLimit = l.group.options.ElectionTimeout + rand.N(l.group.options.ElectionTimeout/silenceSpread)
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

	return collectBatch(l.nextHello(), waiting, l.queue)
}

// collectBatch returns a batch with the given messages and those in a queue, as far as they fit.
func collectBatch(first hello, waiting []raft.Message, queue <-chan raft.Message) (*controlpb.LogMessages, error) {
	encodedHello, err := cbor.Marshal(first)
	if err != nil {
		return nil, eris.Wrap(err, "encode hello")
	}

	batch := &controlpb.LogMessages{Sender: first.Name, Messages: [][]byte{encodedHello}}
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
		case message := <-queue:
			waiting = append(waiting[:0], message)
		default:
			return batch, nil
		}
	}
}

func (l *link) nextHello() hello {
	next := *l.group.ownHello.Load()
	lastBatch := l.group.lastBatchFrom(l.address)
	next.AckInstance, next.AckSequence, next.AckBulk = lastBatch.instance, lastBatch.sequence, lastBatch.bulk

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.sequence++
	next.Sequence = l.sequence

	return next
}

// enqueue queues a message, or drops it if the queue is full.
func (l *link) enqueue(message raft.Message) {
	queue := l.queue
	if l.bulk.allowed.Load() && !message.IsUrgent() {
		queue = l.bulk.queue
	}

	select {
	case queue <- message:
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

// handleHeartbeat makes the link send a batch and replaces a connection that has been silent for an election timeout,
// without the time for which this process was late and may have left acknowledgements unread.
func (l *link) handleHeartbeat(now time.Time) {
	select {
	case l.heartbeat <- struct{}{}:
	default:
	}

	l.bulk.replaceIfSilent(now)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.cancelConn == nil || l.group.silentFor(l.aliveAt, now) < l.silenceLimit {
		return
	}

	if l.status.Connected {
		l.group.options.Logger.Warn("connection to log member is silent and is replaced", "address", l.address,
			"silent", now.Sub(l.aliveAt))
	}

	l.status.Replaced++
	l.aliveAt = now
	l.cancelConn()
	l.bulk.endConn()
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
