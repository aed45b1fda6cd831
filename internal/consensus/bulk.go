package consensus

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/raft"
	"almondgrade/io/control/controlpb"
)

// bulkSilenceTimeouts is the number of election timeouts after which a connection for bulk whose batches are not
// acknowledged is replaced. A command of 1 MiB takes 4.2 s at 2 Mbit/s, ten timeouts of the managed deployment.
const bulkSilenceTimeouts = 10

// bulkLink sends entries and snapshots to one address over a connection of its own, so that heartbeats and votes never
// wait behind them. It connects when there is something to send.
type bulkLink struct {
	group   *Group
	address netip.AddrPort
	queue   chan raft.Message
	// allowed is true once the member has said that it accepts such a connection; members of older versions don't.
	allowed atomic.Bool

	mutex sync.Mutex
	// sequence is the number of the last batch, lastAcked the last one that was acknowledged.
	sequence  uint64
	lastAcked uint64
	// waitingSince is the time of the last acknowledgement, or since which one is expected.
	waitingSince time.Time
	cancelConn   context.CancelFunc
}

func newBulkLink(group *Group, address netip.AddrPort) *bulkLink {
	return &bulkLink{group: group, address: address, queue: make(chan raft.Message, sendQueueLength)}
}

// run sends batches until the context ends, and reconnects with backoff.
func (b *bulkLink) run(ctx context.Context) {
	backoff := initialBackoff

	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			sent, err := b.runConn(ctx, first)
			if ctx.Err() != nil {
				return
			}

			if sent {
				backoff = initialBackoff
			}

			b.group.options.Logger.Debug("connection for entries to log member ended", "address", b.address, "error", err)
			b.group.sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, b.group.options.ElectionTimeout)
		}
	}
}

// runConn opens a connection and sends batches on it until it fails. It reports whether it has sent any.
func (b *bulkLink) runConn(ctx context.Context, first raft.Message) (sent bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	b.setConn(cancel)
	defer b.setConn(nil)

	connection, err := b.group.options.Dial(b.address)
	if err != nil {
		return false, eris.Wrap(err, "dial")
	}

	defer func() { _ = connection.Close() }()

	stream, err := controlpb.NewLogClient(connection).Exchange(ctx)
	if err != nil {
		return false, eris.Wrap(err, "open stream")
	}

	for waiting := []raft.Message{first}; ; {
		batch, err := collectBatch(b.nextHello(), waiting, b.queue)
		if err != nil {
			return sent, err
		}

		if err := stream.Send(batch); err != nil {
			return sent, eris.Wrap(err, "send")
		}

		sent = true

		select {
		case <-ctx.Done():
			return sent, ctx.Err()
		case next := <-b.queue:
			waiting = []raft.Message{next}
		}
	}
}

func (b *bulkLink) setConn(cancel context.CancelFunc) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.cancelConn, b.lastAcked = cancel, b.sequence
}

func (b *bulkLink) nextHello() hello {
	next := *b.group.ownHello.Load()
	next.Bulk = true

	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.lastAcked == b.sequence {
		b.waitingSince = b.group.options.Timer.Now()
	}

	b.sequence++
	next.Sequence = b.sequence

	return next
}

func (b *bulkLink) recordAck(sequence uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if sequence > b.lastAcked && sequence <= b.sequence {
		b.lastAcked, b.waitingSince = sequence, b.group.options.Timer.Now()
	}
}

// replaceIfSilent ends the connection if the member no longer acknowledges its batches. The time for which this process
// was late does not count.
func (b *bulkLink) replaceIfSilent(now time.Time) {
	b.mutex.Lock()
	silent := b.cancelConn != nil && b.lastAcked < b.sequence &&
		b.group.silentFor(b.waitingSince, now) >= bulkSilenceTimeouts*b.group.options.ElectionTimeout
	b.mutex.Unlock()

	if silent {
		b.endConn()
	}
}

func (b *bulkLink) endConn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.cancelConn != nil {
		b.cancelConn()
	}
}
