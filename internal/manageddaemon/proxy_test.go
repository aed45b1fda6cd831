package manageddaemon

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/topology"
	"almondgrade/internal/managedproxy"
)

// eventHandler calls a function for each log record.
type eventHandler func(event string)

// Enabled implements slog.Handler.
func (eventHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h eventHandler) Handle(_ context.Context, record slog.Record) error {
	h(record.Message)

	return nil
}

// WithAttrs implements slog.Handler.
func (h eventHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup implements slog.Handler.
func (h eventHandler) WithGroup(string) slog.Handler { return h }

// Guards against a statement of another proxy that a stopping one accepts after it has found that no work is left, and that
// the end of the process cuts off.
func TestStatementsOfOthersAreDeclinedAfterTheLastLook(t *testing.T) {
	t.Parallel()

	var (
		proxy *Proxy
		reply *managedproxy.ForwardReply
	)

	logger := slog.New(eventHandler(func(event string) {
		if event == "draining of callers ended" {
			reply = proxy.Gateway().Forward(context.Background(), &managedproxy.ForwardRequest{
				Statement: managedproxy.Statement{ID: "1", Kind: managedproxy.Write, Text: "WRITE 1 a", Writes: true},
				Pool:      topology.Pool{Group: "g", Database: "latest", Timeout: time.Second}, Remaining: time.Second, LastAttempt: true,
			})
		}
	}))

	proxy, err := NewProxy(ProxyOptions{
		Name: "vm1", Address: netip.MustParseAddrPort("127.0.0.1:0"), ControlAddresses: func() []netip.AddrPort { return nil },
		MemoryLimit: 1 << 30, ShutdownGrace: time.Second, Logger: logger,
	})
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	proxy.Run(ctx, func() {})
	require.NotNil(t, reply)
	assert.True(t, reply.Declined && reply.NotRun, "%+v", reply)
}

// silentCaller is a caller that sends no login for a while and leaves then.
type silentCaller struct {
	managedproxy.Caller

	closed chan struct{}
}

// Login implements managedproxy.Caller.
func (c *silentCaller) Login(time.Time) (managedproxy.Login, error) {
	time.Sleep(400 * time.Millisecond)

	return managedproxy.Login{}, errors.New("the caller has left")
}

// Interrupt implements managedproxy.Caller.
func (c *silentCaller) Interrupt() {}

// Close implements managedproxy.Caller.
func (c *silentCaller) Close() { close(c.closed) }

// Guards against a caller that is accepted between the last look at the work that is left and the end of accepting: its
// first statement would be cut off by the end of the process.
func TestCallerAcceptedAtTheLastLookIsWaitedFor(t *testing.T) {
	t.Parallel()

	late := &silentCaller{closed: make(chan struct{})}

	proxy, err := NewProxy(ProxyOptions{
		Name: "vm1", Address: netip.MustParseAddrPort("127.0.0.1:0"), ControlAddresses: func() []netip.AddrPort { return nil },
		MemoryLimit: 1 << 30, ShutdownGrace: 2 * time.Second, Logger: slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	calls := 0

	proxy.Run(ctx, func() {
		calls++

		proxy.Gateway().Accept(late)
	})

	assert.Equal(t, 1, calls)

	select {
	case <-late.closed:
	case <-time.After(20 * time.Millisecond):
		assert.Fail(t, "the process ended while a caller was logging in")
	}
}
