package managedpeer_test

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/io/managedpeer"
)

// recordSignal is a log handler that closes a channel at the first record that begins with a text.
type recordSignal struct {
	slog.Handler

	text string
	once sync.Once
	seen chan struct{}
}

// Enabled implements slog.Handler.
func (r *recordSignal) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (r *recordSignal) Handle(_ context.Context, record slog.Record) error {
	if strings.HasPrefix(record.Message, r.text) {
		r.once.Do(func() { close(r.seen) })
	}

	return nil
}

// Guards against replies that are read as parts of others: a reply that could be sent only in part, because the client read
// nothing for a second, was followed by further replies on the same connection.
//
//nolint:paralleltest // It moves 40 MiB, beside which others miss CloseTimeout.
func TestConnectionEndsAfterAReplyThatWasSentInPart(t *testing.T) {
	const callCount = 40

	listener, address := listen(t)
	failed := &recordSignal{Handler: slog.DiscardHandler, text: "reply to another proxy could not be sent", seen: make(chan struct{})}
	server := managedpeer.Serve(listener, slog.New(failed), func(_ context.Context, request *message) *message {
		return &message{strings.Repeat(request.Text, 1<<20)}
	})

	defer server.Close()

	conn, err := net.Dial("tcp", address.String())
	require.NoError(t, err)

	defer conn.Close()

	for i := range callCount {
		_, err = conn.Write([]byte{0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, byte(i + 1), 0xa1, 0x01, 0x61, 'x'})
		require.NoError(t, err)
	}

	<-failed.seen

	for header := make([]byte, 12); ; {
		if _, err := io.ReadFull(conn, header); err != nil {
			return // The connection has ended.
		}

		length := binary.BigEndian.Uint32(header)
		require.LessOrEqual(t, length, uint32(2<<20))

		content := make([]byte, length-8)
		if _, err := io.ReadFull(conn, content); err != nil {
			return
		}

		reply := new(message)
		require.NoError(t, cbor.Unmarshal(content, reply))
		assert.Equal(t, 1<<20, strings.Count(reply.Text, "x"))
	}
}

// Guards against a statement or a row that is lost between proxies because it is not valid UTF-8: the callers of such
// statements were told that their outcome is unknown, and the proxy that was called was taken for a lost one.
func TestTextsThatAreNotUTF8ReachTheOtherProxyUnchanged(t *testing.T) {
	t.Parallel()

	type request struct {
		Text      string            `cbor:"1,keyasint"`
		Variables map[string]string `cbor:"2,keyasint,omitempty"`
		Rows      []string          `cbor:"3,keyasint,omitempty"`
	}

	listener, address := listen(t)
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, received *request) *request {
		return received
	})

	defer server.Close()

	peers := newClient(t)

	rapid.Check(t, func(t *rapid.T) {
		text := rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })
		sent, reply := &request{Text: text.Draw(t, "text"), Rows: rapid.SliceOf(text).Draw(t, "rows")}, new(request)

		if variables := rapid.MapOf(text, text).Draw(t, "variables"); len(variables) > 0 {
			sent.Variables = variables
		}

		if len(sent.Rows) == 0 {
			sent.Rows = nil
		}

		require.NoError(t, peers.Call(context.Background(), address, sent, reply))
		require.Equal(t, sent, reply)
	})
}

// Guards against an answer that is refused because it has more rows than the decoder expects.
func TestManySmallRowsReachTheOtherProxy(t *testing.T) {
	t.Parallel()

	listener, address := listen(t)
	server := managedpeer.Serve(listener, slog.New(slog.DiscardHandler), func(_ context.Context, received *[]string) *[]string {
		return received
	})

	defer server.Close()

	rows := slices.Repeat([]string{"row"}, 200_000)

	var reply []string

	require.NoError(t, newClient(t).Call(t.Context(), address, rows, &reply))
	require.Len(t, reply, len(rows))
}

// Guards against a reply that is taken for the one to another call: replies that come twice, late, or to no call.
func TestRepliesThatBelongToNoCallAreDropped(t *testing.T) {
	t.Parallel()

	const callCount = 200

	listener, address := listen(t)
	dropped := make(chan struct{})

	go func() {
		defer close(dropped)

		conn, err := listener.Accept()
		if err != nil {
			return
		}

		defer conn.Close()

		send := func(callID uint64, text string) {
			content, _ := cbor.Marshal(&message{text})
			frame := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, uint32(len(content)+8)), callID)
			_, _ = conn.Write(append(frame, content...))
		}

		for former := uint64(1); ; {
			var header [12]byte
			if _, err := io.ReadFull(conn, header[:]); err != nil {
				return
			}

			content, received := make([]byte, binary.BigEndian.Uint32(header[:])-8), new(message)
			if _, err := io.ReadFull(conn, content); err != nil || cbor.Unmarshal(content, received) != nil {
				return
			}

			callID := binary.BigEndian.Uint64(header[4:])

			send(former, "to the former call")
			send(callID+1, "to the next call")
			send(callID, received.Text)
			send(callID, "again")

			former = callID
		}
	}()

	peers := newClient(t)

	for i := range callCount {
		sent, reply := &message{strings.Repeat("x", i)}, new(message)
		require.NoError(t, peers.Call(t.Context(), address, sent, reply))
		require.Equal(t, sent, reply)
	}

	peers.Close()
	require.NoError(t, listener.Close())
	<-dropped
}
