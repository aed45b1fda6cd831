package proxy_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures one request over loopback, including the caller and the scripted server.
func BenchmarkRequest(b *testing.B) {
	server := newScriptedServer(b, func(to *pgproto3.Backend, _ string) bool {
		sendRowDescription(to)
		sendRow(to, "v")

		return sendComplete(to, "SELECT 1")
	})
	c := newCluster(b, options{scripts: []*scriptedServer{server}})
	conn := c.connect("p1", "")

	for _, sql := range []string{"SELECT v FROM t", "INSERT INTO t VALUES (1)"} {
		b.Run(sql[:6], func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				_, err := conn.PgConn().Exec(b.Context(), sql).ReadAll()
				require.NoError(b, err)
			}
		})
	}
}
