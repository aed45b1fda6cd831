package control

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/timer"
	"almondgrade/io/control/controlpb"
)

// errNoAnswer is the cause of closing a stream without an answer.
var errNoAnswer = errors.New("control did not answer a renewal in time")

// watch keeps one stream open to the leader until the client is closed.
func (c *Client) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range c.candidates() {
			err := c.stream(ctx, member)
			if ctx.Err() != nil {
				return
			}

			c.options.Logger.Debug("watch stream ended", "member", member.String(), "error", err)
			c.learnLeader(err)

			if errors.Is(err, errNoAnswer) {
				c.closeConnection(member)
			}
		}

		if timer.Sleep(ctx, retryPause) != nil {
			return
		}
	}
}

// stream runs one Watch stream until it fails.
func (c *Client) stream(ctx context.Context, member netip.AddrPort) error {
	connection, err := c.connection(member)
	if err != nil {
		return err
	}

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	// The connect timeout bounds the opening of the stream. It succeeds before the peer has been reached, so the first
	// answer is bounded, too.
	renewals := newRenewals(c, cancel)
	defer renewals.stop()

	stream, err := controlpb.NewControlClient(connection).Watch(ctx)
	if err != nil {
		return eris.Wrap(err, "open watch stream")
	}

	renewals.start(stream)

	for {
		update, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}

			return err //nolint:wrapcheck // The caller reads the status code.
		}

		if err := c.applyUpdate(update, renewals); err != nil {
			return err
		}

		c.leader.Store(&member)
	}
}

// applyUpdate applies an update to the current view and extends the lease if the update answers a renewal.
func (c *Client) applyUpdate(update *controlpb.Update, renewals *renewals) error {
	var current ViewState
	if loaded := c.state.Load(); loaded != nil {
		current = *loaded
	}

	next, err := ApplyUpdate(current, update)
	if errors.Is(err, ErrBaseMismatch) {
		renewals.requestFull()

		return nil
	}

	if err != nil {
		return err
	}

	if next.View != current.View {
		c.state.Store(&next)
		c.notifyChange()
	}

	if update.GetNumber() != 0 {
		c.proxyNumber.Store(update.GetNumber())
	}

	if update.GetLeaseMillis() > 0 {
		if sentAt, known := renewals.takeSentTime(update.GetSequence()); known {
			until := sentAt.Add(time.Duration(update.GetLeaseMillis()) * time.Millisecond)
			c.leaseUntil.Store(&until)
		}
	}

	return nil
}

func (c *Client) notifyChange() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	close(c.changed)
	c.changed = make(chan struct{})
}

// renewals sends the Renew messages of one stream and remembers when each was sent.
type renewals struct {
	client    *Client
	cancel    context.CancelCauseFunc
	stopFuncs []func()

	mutex     sync.Mutex
	stream    controlpb.Control_WatchClient
	sequence  uint64
	sent      map[uint64]sentRenewal
	beganAt   time.Time
	wantsFull bool
}

// sentRenewal has the time at which a renewal was sent, by the timer and as a boot time.
type sentRenewal struct {
	at, bootTime time.Time
}

func newRenewals(client *Client, cancel context.CancelCauseFunc) *renewals {
	r := &renewals{client: client, cancel: cancel, sent: make(map[uint64]sentRenewal)}
	r.beganAt = client.options.Timer.Now()
	r.stopFuncs = append(r.stopFuncs, client.options.Timer.Every(answerTimeout/5, r.checkOverdue))

	return r
}

// start sends the first renewal, and another one each renewPeriod.
func (r *renewals) start(stream controlpb.Control_WatchClient) {
	r.mutex.Lock()
	r.stream = stream
	r.wantsFull = r.client.state.Load() == nil
	r.mutex.Unlock()

	r.send(r.client.options.Timer.Now())
	r.stopFuncs = append(r.stopFuncs, r.client.options.Timer.Every(renewPeriod, r.send))
}

func (r *renewals) stop() {
	for _, stop := range r.stopFuncs {
		stop()
	}
}

func (r *renewals) send(now time.Time) {
	proxy := r.client.options.Proxy
	proxy.Draining = r.client.draining.Load()

	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.sequence++
	r.sent[r.sequence] = sentRenewal{at: now, bootTime: r.client.options.BootTime()}

	renew := &controlpb.Renew{Proxy: ProxyMessage(proxy), Sequence: r.sequence, Full: r.wantsFull}
	if view := r.client.View(); view != nil {
		renew.Version = view.Version
		renew.Configuration = view.ConfigurationNumber
	}

	r.wantsFull = false

	if err := r.stream.Send(renew); err != nil {
		r.cancel(eris.Wrap(err, "send renewal"))
	}
}

// checkOverdue cancels the stream if opening it, or the answer to a renewal, takes too long.
func (r *renewals) checkOverdue(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	oldest := r.beganAt

	if r.stream != nil {
		if len(r.sent) == 0 {
			return
		}

		oldest = now
		for _, sent := range r.sent {
			if sent.at.Before(oldest) {
				oldest = sent.at
			}
		}
	}

	limit := answerTimeout
	if r.stream == nil {
		limit = connectTimeout
	}

	if now.Sub(oldest) > limit {
		r.cancel(errNoAnswer)
	}
}

// takeSentTime returns the boot time at which a renewal was sent, and removes this and all earlier renewals.
func (r *renewals) takeSentTime(sequence uint64) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	sent, known := r.sent[sequence]

	for earlier := range r.sent {
		if earlier <= sequence {
			delete(r.sent, earlier)
		}
	}

	return sent.bootTime, known
}

func (r *renewals) requestFull() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.wantsFull = true
}
