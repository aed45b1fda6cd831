package control

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"almondgrade/core/registry"
	"almondgrade/core/timer"
)

const (
	// renewPeriod is the time between two renewals of the configuration lease.
	renewPeriod = time.Second
	// answerTimeout bounds the wait for the answer to a renewal. After it the stream is closed, because the connection
	// may be lost; a new one is opened while the lease still has a second left.
	answerTimeout = 1500 * time.Millisecond
	// connectTimeout bounds the opening of a stream to one control process.
	connectTimeout = time.Second
)

// Options configure a Client.
type Options struct {
	// Members are the control processes to try first. The client learns of others from answers.
	Members []netip.AddrPort
	// Proxy describes the proxy that uses the client. Control assigns its Number.
	Proxy  registry.Proxy
	Dial   func(netip.AddrPort) (*grpc.ClientConn, error)
	Timer  timer.Service
	Logger *slog.Logger
	// BootTime returns the time of a clock that also runs while the VM is suspended. The default is timer.BootTimeNow.
	BootTime func() time.Time
}

// Client keeps a proxy connected to control. It is safe for concurrent use.
type Client struct {
	*LeaderClient

	options     Options
	state       atomic.Pointer[ViewState]
	proxyNumber atomic.Uint32
	draining    atomic.Bool
	// leaseUntil is the end of the lease as a boot time, or nil before the first one.
	leaseUntil atomic.Pointer[time.Time]

	mutex   sync.Mutex
	changed chan struct{}

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a client, which watches control in the background until Close.
func New(options Options) *Client {
	if options.BootTime == nil {
		options.BootTime = timer.BootTimeNow
	}

	ctx, cancel := context.WithCancel(context.Background())
	client := &Client{
		LeaderClient: NewLeaderClient(options.Members, options.Dial), options: options,
		changed: make(chan struct{}), cancel: cancel,
	}
	client.done.Go(func() { client.watch(ctx) })

	return client
}

// Close ends the watch and closes all connections.
func (c *Client) Close() {
	c.cancel()
	c.done.Wait()
	c.LeaderClient.Close()
}

// View returns the latest view, or nil if none has arrived yet.
func (c *Client) View() *registry.View {
	if picture := c.state.Load(); picture != nil {
		return picture.View
	}

	return nil
}

// ProxyNumber returns the number that control assigned to the proxy, or zero before the proxy has joined.
func (c *Client) ProxyNumber() uint32 {
	return c.proxyNumber.Load()
}

// HasLease reports whether the proxy holds a configuration lease that has not expired. A suspension of the VM counts, because control
// goes on without the proxy after the lease.
func (c *Client) HasLease() bool {
	until := c.leaseUntil.Load()

	return until != nil && c.options.BootTime().Before(*until)
}

// Confirmed reports whether the proxy may accept new work: it has a configuration, and either its lease has not expired
// or the configuration says to serve without a lease.
func (c *Client) Confirmed() bool {
	view := c.View()
	if view == nil || view.ConfigurationNumber == 0 {
		return false
	}

	return c.HasLease() || view.Running.WhenUnconfirmed == "serve"
}

// Changed returns a channel that is closed when the next view arrives.
func (c *Client) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.changed
}

// StartDraining makes all further renewals tell control that the proxy is shutting down, so that it coordinates no
// group.
func (c *Client) StartDraining() {
	c.draining.Store(true)
}
