package proxy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a read that misses a write acknowledged through another proxy, because the replica lags.
func TestWriteThroughOneProxyIsReadThroughAnother(t *testing.T) {
	c := newCluster(t, options{replicas: 2, proxies: []string{"p1", "p2"}})
	writer, reader := c.connect("p1", ""), c.connect("p2", "")
	c.exec(writer, "CREATE TABLE t (id int primary key, v text)")

	for i := range 50 {
		c.exec(writer, "INSERT INTO t VALUES ($1, 'x')", i)
		assert.EqualValues(t, i+1, queryValue[int64](t, reader, "SELECT count(*) FROM t"))
	}

	assert.Positive(t, c.proxies["p2"].count("reads_replica")+c.proxies["p2"].count("reads_primary"))
	assert.Positive(t, c.confirmCalls.Load())
}

// Guards against reads that all go to the primary, even when replicas have caught up.
func TestReadsUseReplicasThatHaveCaughtUp(t *testing.T) {
	c := newCluster(t, options{replicas: 2})
	conn := c.connect("p1", "")
	c.exec(conn, "CREATE TABLE t (id int primary key)")

	eventually(t, "a replica serves a read", func() bool {
		queryValue[int64](t, conn, "SELECT count(*) FROM t")

		return c.proxies["p1"].count("reads_replica") > 0
	})
	require.Zero(t, c.reportFailureCalls.Load())
}
