package managedproxy

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/io/managedpeer"
)

// Guards against statements, values, shapes and rows that another proxy runs or returns changed, or not at all, because of
// their bytes, and against holders that are avoided because of them.
func TestForwardedStatementsKeepTheirBytes(t *testing.T) {
	t.Parallel()

	h := newForwardFixture(t)
	client := managedpeer.NewClient(slog.New(slog.DiscardHandler))
	t.Cleanup(client.Close)

	addresses := make(map[netip.AddrPort]netip.AddrPort)

	for address, holder := range h.holders {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A test.
		require.NoError(t, err)

		server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), holder.gateway.Forward)
		t.Cleanup(server.Close)

		addresses[address] = netip.MustParseAddrPort(listener.Addr().String())
	}

	h.front.gateway.options.Forward = func(ctx context.Context, to netip.AddrPort, request *ForwardRequest) (*ForwardReply, error) {
		reply := new(ForwardReply)

		return reply, client.Call(ctx, addresses[to], request, reply)
	}

	for _, odd := range []string{"\xff", "a\nQUERY 1 WRITE 2 b", "a\rb", "\x00", " a ", "\xed\xa0\x80", "\u2028", strings.Repeat("\xfe", 1<<17)} {
		session := h.front.connect("latest")

		require.NoError(t, session.send(Statement{ID: odd, Kind: Set, Name: "zone", Value: odd}).Err)
		require.NoError(t, session.send(Statement{ID: odd, Kind: Prepare, Name: odd, Value: odd, Writes: true}).Err)

		read := session.send(Statement{ID: odd, Kind: Read, Text: "READ " + odd})
		require.NoError(t, read.Err, "%.20q", odd)
		assert.Equal(t, []string{"READ " + odd}, read.Rows)
		require.NoError(t, session.send(Statement{ID: odd, Kind: Write, Writes: true, Text: "WRITE 1 " + odd}).Err)
		require.NoError(t, session.send(Statement{ID: odd, Kind: Execute, Name: odd, Text: "EXECUTE " + odd + " 1 " + odd}).Err)

		ran := strings.Join(h.front.servers["p"].ranStatements, "\n")
		for _, want := range []string{odd + " READ " + odd + " map[zone:" + odd + "]", odd + " WRITE 1 " + odd, odd + " EXECUTE " + odd + " 1 " + odd} {
			assert.True(t, strings.Contains(ran, want), "%.20q", want)
		}

		close(session.statements)
	}

	assert.Empty(t, h.front.gateway.holderHealth.failures)
}
