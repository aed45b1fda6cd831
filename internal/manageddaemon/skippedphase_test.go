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

	"almondgrade/core/result"
	"almondgrade/core/topology"
	"almondgrade/internal/managedproxy"
	"almondgrade/io/managedcontrol"
)

// silentBackend is a connection to a server that does not answer.
type silentBackend struct {
	received chan struct{}
	ended    chan struct{}
}

// Run implements managedproxy.Backend.
func (b *silentBackend) Run(time.Time, ...managedproxy.Command) ([]managedproxy.Answer, error) {
	close(b.received)
	<-b.ended

	return nil, errors.New("the connection ended")
}

// DropUnexpected implements managedproxy.Backend.
func (b *silentBackend) DropUnexpected(bool) int { return 0 }

// Alive implements managedproxy.Backend.
func (b *silentBackend) Alive() bool { return true }

// Close implements managedproxy.Backend.
func (b *silentBackend) Close() {}

// writer is a caller that sends one write and waits for the answer.
type writer struct {
	managedproxy.Caller

	statements chan managedproxy.Statement
	replies    chan managedproxy.Reply
}

// Login implements managedproxy.Caller.
func (w *writer) Login(time.Time) (managedproxy.Login, error) {
	return managedproxy.Login{Database: "db"}, nil
}

// AcceptSession implements managedproxy.Caller.
func (w *writer) AcceptSession() error { return nil }

// Next implements managedproxy.Caller.
func (w *writer) Next(time.Time) (managedproxy.Statement, error) { return <-w.statements, nil }

// Reply implements managedproxy.Caller.
func (w *writer) Reply(reply managedproxy.Reply) error {
	w.replies <- reply

	return nil
}

// EndSession implements managedproxy.Caller.
func (w *writer) EndSession(error, time.Time) []string { return nil }

// Interrupt implements managedproxy.Caller.
func (w *writer) Interrupt() {}

// Gone implements managedproxy.Caller.
func (w *writer) Gone() bool { return false }

// Close implements managedproxy.Caller.
func (w *writer) Close() {}

// Guards against a statement without an answer when a stop comes from its first phase to its end at once, because the grace
// period is short or the process did not run for a while.
func TestStopWithoutTimeAnswersRunningStatements(t *testing.T) {
	t.Parallel()

	backend := &silentBackend{received: make(chan struct{}), ended: make(chan struct{})}
	t.Cleanup(func() { close(backend.ended) })

	proxy, err := NewProxy(ProxyOptions{
		Name: "vm1", Address: netip.MustParseAddrPort("127.0.0.1:0"), ControlAddresses: func() []netip.AddrPort { return nil },
		MemoryLimit: 1 << 30, ShutdownGrace: 0, Logger: slog.New(slog.DiscardHandler),
		Dial: func(time.Time, topology.Server, string) (managedproxy.Backend, error) { return backend, nil },
	})
	require.NoError(t, err)

	proxy.Gateway().Apply(&topology.Configuration{
		Number: 1, Groups: []topology.GroupSettings{{Name: "g", MaxConnections: 10}},
		Pools: []topology.Pool{{Name: "db", Database: "db", Group: "g", Freshness: topology.FreshnessLatest, Timeout: time.Minute}},
	}, &managedcontrol.View{
		Version: managedcontrol.Version{Term: 1, Number: 1}, Groups: []topology.Group{{Name: "g", Primary: "p"}}, Proxies: 1, HoldersKnown: true,
		Servers: []managedcontrol.Server{{Server: topology.Server{
			ID: "p", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2,
		}}},
	})

	caller := &writer{statements: make(chan managedproxy.Statement, 1), replies: make(chan managedproxy.Reply, 1)}
	proxy.Gateway().Accept(caller)

	caller.statements <- managedproxy.Statement{ID: "1", Kind: managedproxy.Write, Text: "WRITE 1 a", Writes: true}

	<-backend.received

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	proxy.Run(ctx, func() {})

	select {
	case reply := <-caller.replies:
		assert.Equal(t, result.ConnectionLost, result.CodeOf(reply.Err))
	default:
		assert.Fail(t, "the process ended without an answer")
	}
}
