package control

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondgrade/core/registry"
	"almondgrade/core/timer"
	"almondgrade/io/control/controlpb"
)

const (
	// renewPeriod is the time between two renewals of the configuration lease.
	renewPeriod = time.Second
	// answerTimeout is the time after which a stream that does not answer a renewal is given up. The connection
	// may have gone silent; a new one is opened while the lease still has a second left.
	answerTimeout = 1500 * time.Millisecond
	// connectTimeout bounds the opening of a stream to one control member.
	connectTimeout = time.Second
	// retryPause is the pause after all control members have been tried.
	retryPause = 100 * time.Millisecond
	// callTimeout bounds one unary call to one control member.
	callTimeout = 2 * time.Second
)

// Options configure a Client.
type Options struct {
	// Members are the control processes to try first; the client learns others from answers.
	Members []netip.AddrPort
	// Proxy describes the proxy that watches. Its Number is assigned by control.
	Proxy  registry.Proxy
	Dial   func(netip.AddrPort) (*grpc.ClientConn, error)
	Timer  timer.Service
	Logger *slog.Logger
}

// Client is a proxy's connection to control. It is safe for concurrent use.
type Client struct {
	options  Options
	picture  atomic.Pointer[Picture]
	number   atomic.Uint32
	draining atomic.Bool
	// until is the end of the lease, as time since start.
	until  atomic.Int64
	start  time.Time
	leader atomic.Pointer[netip.AddrPort]

	mutex       sync.Mutex
	changed     chan struct{}
	connections map[netip.AddrPort]*grpc.ClientConn

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New starts watching control and returns at once.
func New(options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	client := &Client{
		options: options, start: options.Timer.Now(), changed: make(chan struct{}),
		connections: make(map[netip.AddrPort]*grpc.ClientConn), cancel: cancel,
	}
	client.done.Go(func() { client.watch(ctx) })

	return client
}

// Close ends the watch.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()

	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

// View returns the latest view, or nil before the first one.
func (c *Client) View() *registry.View {
	if picture := c.picture.Load(); picture != nil {
		return picture.View
	}

	return nil
}

// Number returns the number that control gave to the proxy, zero before it has joined.
func (c *Client) Number() uint32 {
	return c.number.Load()
}

// Leased reports whether the configuration lease has not expired.
func (c *Client) Leased() bool {
	return int64(c.options.Timer.Now().Sub(c.start)) < c.until.Load()
}

// Confirmed reports whether the proxy may take new work: its lease has not expired, or the configuration says to
// serve without one.
func (c *Client) Confirmed() bool {
	view := c.View()
	if view == nil || view.Configuration == 0 {
		return false
	}

	return c.Leased() || view.Running.WhenUnconfirmed == "serve"
}

// Changed returns a channel that is closed when the next view arrives.
func (c *Client) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.changed
}

// Drain tells control from now on that the proxy is shutting down, so that it coordinates no group.
func (c *Client) Drain() {
	c.draining.Store(true)
}

// Announce passes on the announcement of a backend server.
func (c *Client) Announce(ctx context.Context, announcement *controlpb.Announcement) (*controlpb.AnnounceReply, error) {
	return call(ctx, c, announcement, controlpb.ControlClient.Announce)
}

// Suspect reports that a backend server can't be reached.
func (c *Client) Suspect(ctx context.Context, suspicion *controlpb.Suspicion) (*controlpb.SuspectReply, error) {
	return call(ctx, c, suspicion, controlpb.ControlClient.Suspect)
}

// Apply asks control to change the configuration.
func (c *Client) Apply(ctx context.Context, change *controlpb.Change) (*controlpb.ChangeReply, error) {
	return call(ctx, c, change, controlpb.ControlClient.Apply)
}

// Status asks control for the replicated state.
func (c *Client) Status(ctx context.Context) (*controlpb.StatusReply, error) {
	return call(ctx, c, &controlpb.StatusRequest{}, controlpb.ControlClient.Status)
}

// Drained asks control to mark a server or proxy as leaving.
func (c *Client) Drained(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error) {
	return call(ctx, c, request, controlpb.ControlClient.Drain)
}

// call tries the leader, then the other members, until one takes the request. A member that is not the leader has
// not acted on it. Every request of this service is idempotent, so that it may also be sent again after a loss.
func call[Q, A any](ctx context.Context, c *Client, request Q,
	method func(controlpb.ControlClient, context.Context, Q, ...grpc.CallOption) (A, error),
) (A, error) {
	var (
		none A
		last error
	)

	for {
		for _, member := range c.members() {
			connection, err := c.connection(member)
			if err != nil {
				last = err

				continue
			}

			attempt, cancel := context.WithTimeout(ctx, callTimeout)
			answer, err := method(controlpb.NewControlClient(connection), attempt, request)

			cancel()

			if err == nil {
				c.leader.Store(&member)

				return answer, nil
			}

			last = err
			c.learn(err)
		}

		if err := pause(ctx, retryPause); err != nil {
			return none, eris.Wrapf(last, "no control member answered: %v", err)
		}
	}
}

// members returns the addresses to try, the last known leader first.
func (c *Client) members() []netip.AddrPort {
	leader := c.leader.Load()
	if leader == nil {
		return c.options.Members
	}

	members := []netip.AddrPort{*leader}

	for _, member := range c.options.Members {
		if member != *leader {
			members = append(members, member)
		}
	}

	return members
}

// learn takes the leader's address from the refusal of another member.
func (c *Client) learn(err error) {
	if status.Code(err) != codes.FailedPrecondition {
		return
	}

	if address, err := netip.ParseAddrPort(status.Convert(err).Message()); err == nil {
		c.leader.Store(&address)
	}
}

func (c *Client) connection(member netip.AddrPort) (*grpc.ClientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if connection, found := c.connections[member]; found {
		return connection, nil
	}

	connection, err := c.options.Dial(member)
	if err != nil {
		return nil, eris.Wrapf(err, "control member %s", member)
	}

	c.connections[member] = connection

	return connection, nil
}

// discard closes a connection that may have gone silent, so that the next call opens a new one.
func (c *Client) discard(member netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if connection, found := c.connections[member]; found {
		_ = connection.Close()

		delete(c.connections, member)
	}
}

func pause(ctx context.Context, period time.Duration) error {
	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
