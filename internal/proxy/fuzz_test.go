package proxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"almondgrade/core/settings"
)

// Guards against messages that stop the proxy, after which the caller's connection is never closed, or that disturb
// another caller.
func FuzzMessages(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) []byte {
		var data []byte

		for _, message := range messages {
			var err error
			if data, err = message.Encode(data); err != nil {
				f.Fatal(err)
			}
		}

		return data
	}

	for _, seed := range [][]byte{
		nil, encode(&pgproto3.Query{String: "SELECT 1"}), encode(&pgproto3.Query{String: "BEGIN; SET a.b = 'c'; ROLLBACK TO x"}),
		encode(&pgproto3.Query{String: "SHOW almondgrade.token"}, &pgproto3.Terminate{}),
		encode(&pgproto3.Parse{Name: "a", Query: "SHOW almondgrade.token"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"},
			&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}),
		encode(&pgproto3.Parse{Query: "SELECT $1"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{}),
		encode(&pgproto3.Bind{}, &pgproto3.Sync{}), encode(&pgproto3.Execute{Portal: "x"}, &pgproto3.Flush{}),
		encode(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, &pgproto3.Sync{}),
		[]byte("F\x00\x00\x00\x04Q\x00\x00\x00\x05\x00"), []byte("C\x00\x00\x00\x04S\x00\x00\x00\x04"), []byte("D\x00\x00\x00\x05SS\x00\x00\x00\x04"),
		[]byte("E\x00\x00\x00\x04H\x00\x00\x00\x04"), []byte("P\x00\x00\x00\x06a\x00S\x00\x00\x00\x04"), []byte("Q\x7f\xff\xff\xff"), []byte("\x00"),
	} {
		f.Add(seed)
	}

	server := newScriptedServer(f, func(to *pgproto3.Backend, _ string) bool {
		sendRowDescription(to)
		sendRow(to, "v")

		return sendComplete(to, "SELECT 1")
	})
	c := newCluster(f, options{scripts: []*scriptedServer{server}, timing: func(timing *settings.Timing) {
		timing.Deadline = settings.Duration(200 * time.Millisecond)
		timing.MessageLimitBytes = 1 << 16
	}})
	other := c.connect("p1", "")
	startup := encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "app", "database": "app",
	}})

	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", c.proxies["p1"].address)
		require.NoError(t, err)

		defer func() { _ = conn.Close() }()

		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		_, err = conn.Write(append(append([]byte(nil), startup...), data...))
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())

		_, err = copyAll(io.Discard, conn)
		require.NoError(t, err, "the connection is closed")

		_, err = other.PgConn().Exec(testContext(t), "SHOW almondgrade.session").ReadAll()
		require.NoError(t, err)
	})
}
