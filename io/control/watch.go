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

// errSilent is the cause with which a stream that does not answer is given up.
var errSilent = errors.New("control did not answer a renewal in time")

// watch keeps one stream open to the leader until the client is closed.
func (c *Client) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range c.members() {
			err := c.stream(ctx, member)
			if ctx.Err() != nil {
				return
			}

			c.options.Logger.Debug("watch stream ended", "member", member.String(), "error", err)
			c.learn(err)

			if errors.Is(err, errSilent) {
				c.discard(member)
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

	// The first answer is due within the connect timeout as well: opening a stream succeeds before the peer has
	// been reached.
	renewals := newRenewals(c, cancel)
	defer renewals.stop()

	stream, err := controlpb.NewControlClient(connection).Watch(ctx)
	if err != nil {
		return eris.Wrap(err, "open watch stream")
	}

	renewals.begin(stream)

	for {
		update, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}

			return err //nolint:wrapcheck // The caller reads the status code.
		}

		if err := c.receive(update, renewals); err != nil {
			return err
		}

		c.leader.Store(&member)
	}
}

// receive puts an update into force and extends the lease if the update answers a renewal.
func (c *Client) receive(update *controlpb.Update, renewals *renewals) error {
	var present Picture
	if loaded := c.picture.Load(); loaded != nil {
		present = *loaded
	}

	next, err := Apply(present, update)
	if errors.Is(err, ErrStale) {
		renewals.askFull()

		return nil
	}

	if err != nil {
		return err
	}

	if next.View != present.View {
		c.picture.Store(&next)
		c.notify()
	}

	if update.GetNumber() != 0 {
		c.number.Store(update.GetNumber())
	}

	if update.GetLeaseMillis() > 0 {
		if sent, known := renewals.answered(update.GetSequence()); known {
			lease := time.Duration(update.GetLeaseMillis()) * time.Millisecond
			c.until.Store(int64(sent.Add(lease).Sub(c.start)))
		}
	}

	return nil
}

func (c *Client) notify() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	close(c.changed)
	c.changed = make(chan struct{})
}

// renewals sends the Renew messages of one stream and remembers when each was sent.
type renewals struct {
	client *Client
	cancel context.CancelCauseFunc
	stops  []func()

	mutex    sync.Mutex
	stream   controlpb.Control_WatchClient
	sequence uint64
	sent     map[uint64]time.Time
	oldest   time.Time
	full     bool
}

func newRenewals(client *Client, cancel context.CancelCauseFunc) *renewals {
	r := &renewals{client: client, cancel: cancel, sent: make(map[uint64]time.Time)}
	r.oldest = client.options.Timer.Now()
	r.stops = append(r.stops, client.options.Timer.Every(answerTimeout/5, r.check))

	return r
}

// begin sends the first renewal and one each period.
func (r *renewals) begin(stream controlpb.Control_WatchClient) {
	r.mutex.Lock()
	r.stream = stream
	r.full = r.client.picture.Load() == nil
	r.mutex.Unlock()

	r.send(r.client.options.Timer.Now())
	r.stops = append(r.stops, r.client.options.Timer.Every(renewPeriod, r.send))
}

func (r *renewals) stop() {
	for _, stop := range r.stops {
		stop()
	}
}

func (r *renewals) send(now time.Time) {
	proxy := r.client.options.Proxy
	proxy.Draining = r.client.draining.Load()

	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.sequence++
	r.sent[r.sequence] = now

	renew := &controlpb.Renew{Proxy: ProxyMessage(proxy), Sequence: r.sequence, Full: r.full}
	if view := r.client.View(); view != nil {
		renew.Version = view.Version
		renew.Configuration = view.ConfigurationNumber
	}

	r.full = false

	if err := r.stream.Send(renew); err != nil {
		r.cancel(eris.Wrap(err, "send renewal"))
	}
}

// check gives the stream up when a renewal has waited too long for its answer.
func (r *renewals) check(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	oldest := r.oldest

	if r.stream != nil {
		if len(r.sent) == 0 {
			return
		}

		oldest = now
		for _, sent := range r.sent {
			if sent.Before(oldest) {
				oldest = sent
			}
		}
	}

	limit := answerTimeout
	if r.stream == nil {
		limit = connectTimeout
	}

	if now.Sub(oldest) > limit {
		r.cancel(errSilent)
	}
}

// answered returns when a renewal was sent and forgets it and all earlier ones.
func (r *renewals) answered(sequence uint64) (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	sent, known := r.sent[sequence]

	for earlier := range r.sent {
		if earlier <= sequence {
			delete(r.sent, earlier)
		}
	}

	return sent, known
}

func (r *renewals) askFull() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.full = true
}
