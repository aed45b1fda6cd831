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

// firstBackoff is the wait after the first failed connection; it doubles up to the election timeout.
const firstBackoff = 20 * time.Millisecond

// link sends batches to one address over one stream at a time.
type link struct {
	group   *Group
	address netip.AddrPort
	queue   chan raft.Message
	tick    chan struct{}
	// wake ends the wait after a failed connection, because the member was heard from.
	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}

	mutex sync.Mutex
	// sequence numbers the batches, first is the first number on the present connection, confirmed the last one that
	// was acknowledged.
	sequence  uint64
	first     uint64
	confirmed uint64
	// proven is the time of the last acknowledgement on the present connection, or of its beginning.
	proven  time.Time
	replace context.CancelFunc
	status  LinkStatus
}

// LinkStatus describes the connection to a member.
type LinkStatus struct {
	Address netip.AddrPort
	// Connected reports whether the present connection has carried an acknowledged batch.
	Connected bool
	// Acknowledged is the number of the last acknowledged batch.
	Acknowledged uint64
	// Opened counts the connections, Replaced those that were given up because they were silent.
	Opened   uint64
	Replaced uint64
	// Dropped counts the messages that found the queue full.
	Dropped uint64
}

func newLink(ctx context.Context, group *Group, address netip.AddrPort) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		group: group, address: address, queue: make(chan raft.Message, queueLength), tick: make(chan struct{}, 1),
		wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
		status: LinkStatus{Address: address}, proven: group.options.Timer.Now(),
	}

	go func() {
		defer close(l.done)

		l.run(ctx)
	}()

	return l
}

// run connects again and again until the link is closed.
func (l *link) run(ctx context.Context) {
	backoff := firstBackoff

	for ctx.Err() == nil {
		proven, err := l.connect(ctx)
		if proven {
			backoff = firstBackoff
		}

		if ctx.Err() != nil {
			return
		}

		l.group.options.Logger.Debug("connection to log member ended", "address", l.address, "error", err)
		l.wait(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, l.group.options.Election)
	}
}

func (l *link) wait(ctx context.Context, delay time.Duration) {
	passed := make(chan struct{})
	stop := l.group.options.Timer.After(delay, func(time.Time) { close(passed) })

	defer stop()

	select {
	case <-ctx.Done():
	case <-passed:
	case <-l.wake:
	}
}

// connect opens a connection and sends batches until it fails. It reports whether a batch was acknowledged.
func (l *link) connect(ctx context.Context) (proven bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	l.begin(cancel)

	defer func() { proven = l.end() }()

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
		batch, err := l.next(ctx)
		if err != nil {
			return false, err
		}

		if err := stream.Send(batch); err != nil {
			return false, eris.Wrap(err, "send")
		}
	}
}

func (l *link) begin(cancel context.CancelFunc) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.first = l.sequence + 1
	l.proven = l.group.options.Timer.Now()
	l.replace = cancel
	l.status.Opened++
}

func (l *link) end() (proven bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.replace = nil
	proven, l.status.Connected = l.status.Connected, false

	return proven
}

// next waits for messages or the next heartbeat and returns a batch.
func (l *link) next(ctx context.Context) (*controlpb.LogMessages, error) {
	var waiting []raft.Message

	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.tick:
	case message := <-l.queue:
		waiting = append(waiting, message)
	}

	encodedHello, err := cbor.Marshal(l.hello())
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

		if size >= batchLimit {
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

func (l *link) hello() hello {
	greeting := *l.group.greeting.Load()
	heard := l.group.heardFrom(l.address)
	greeting.HeardInstance, greeting.HeardSequence = heard.instance, heard.sequence

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.sequence++
	greeting.Sequence = l.sequence

	return greeting
}

// send queues a message and drops it if the queue is full.
func (l *link) send(message raft.Message) {
	select {
	case l.queue <- message:
	default:
		l.mutex.Lock()
		l.status.Dropped++
		l.mutex.Unlock()
	}
}

// acknowledged notes that the member received a batch. The member repeats its last acknowledgement with each batch of
// its own, so only a new one proves that the connection works.
func (l *link) acknowledged(sequence uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.replace != nil && sequence >= l.first && sequence > l.confirmed {
		l.confirmed, l.status.Acknowledged = sequence, sequence
		l.proven = l.group.options.Timer.Now()
		l.status.Connected = true
	}
}

// heard notes that the member sent something, so that it is worth connecting to.
func (l *link) heard() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// beat sends a batch at the next opportunity and replaces a connection that has been silent for too long.
func (l *link) beat(now time.Time) {
	select {
	case l.tick <- struct{}{}:
	default:
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.replace == nil || now.Sub(l.proven) < l.group.options.Election {
		return
	}

	if l.status.Connected {
		l.group.options.Logger.Warn("connection to log member is silent and is replaced", "address", l.address,
			"silent", now.Sub(l.proven))
	}

	l.status.Replaced++
	l.proven = now
	l.replace()
}

func (l *link) describe() LinkStatus {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.status
}

func (l *link) close() {
	l.cancel()
	<-l.done
}
