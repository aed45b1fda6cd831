package managedproxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

// beginChange puts a view into force in which the group is changing its primary, and returns its version.
func (f *fixture) beginChange(planned bool) managedcontrol.Version {
	f.group.Phase, f.group.Planned = topology.PhaseFencing, planned
	f.applyView()

	version, _ := f.gateway.AppliedVersions()

	return version
}

// configureCommits sets the number of replicas that must hold a commit, and lets transactions rest.
func (f *fixture) configureCommits(syncReplicas int) {
	f.syncReplicas, f.idleTimeout = syncReplicas, time.Minute
	f.applyConfiguration(2)
}

// isSettled reports whether control may take a version for applied.
func (f *fixture) isSettled(version managedcontrol.Version) bool {
	return f.gateway.SettledVersion() == version
}

// Guards against a commit that the former primary acknowledges after control has chosen the next one: an open
// transaction committed although the proxy had told control that it no longer used the primary.
func TestCommitsEndWhenThePrimaryIsReplaced(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name         string
		syncReplicas int
		planned      bool
		// waits is true if the transaction gets the time to commit.
		waits   bool
		refused bool
	}{
		{"planned", 1, true, true, true},
		{"unplanned", 1, false, false, true},
		{"planned, without synchronous replicas", 0, true, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			f.configureCommits(test.syncReplicas)

			session := f.connect("latest")
			require.NoError(t, session.ask(Begin, "BEGIN").Err)
			require.NoError(t, session.ask(Write, "WRITE 1").Err)

			began := time.Now()
			version := f.beginChange(test.planned)

			if test.waits {
				assert.False(t, f.isSettled(version))
			}

			require.Eventually(t, func() bool { return f.isSettled(version) }, 10*time.Second, time.Millisecond)

			if test.waits {
				assert.GreaterOrEqual(t, time.Since(began), commitGrace)
			}

			reply := session.ask(Commit, "COMMIT")
			if !test.refused {
				require.NoError(t, reply.Err)

				return
			}

			assert.Equal(t, result.NoPrimary, result.CodeOf(reply.Err))
			assert.True(t, IsRolledBack(reply.Err), "nothing of the transaction is kept")
			assert.Equal(t, Idle, reply.State)
			assert.Len(t, f.servers["p"].ranStatements, 1)
		})
	}
}

// Guards against transactions that are refused although they commit soon after a planned change has begun, and against
// control that waits for the grace period after the last one has ended.
func TestTransactionsCommitWithinTheGracePeriod(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.configureCommits(1)

	session := f.connect("latest")
	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.ask(Write, "WRITE 1").Err)

	version := f.beginChange(true)
	require.False(t, f.isSettled(version))
	require.NoError(t, session.ask(Commit, "COMMIT").Err)
	assert.True(t, f.isSettled(version))
}

// Guards against a proxy that tells control that it no longer uses the former primary while a write or commit that it
// has sent there is still running.
func TestRunningCommitsDelayTheChange(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name string
		// run sends the statement that blocks on the server.
		run  func(session *client) Reply
		kind Kind
	}{
		{"single write", func(session *client) Reply { return session.ask(Write, "WRITE 1") }, Write},
		{"commit", func(session *client) Reply {
			session.ask(Begin, "BEGIN")
			session.send(Statement{ID: "2", Kind: Execute, Name: "s", Text: "EXECUTE s 1"})

			return session.ask(Commit, "COMMIT")
		}, Commit},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			f.configureCommits(1)

			entered, blocked := make(chan struct{}), make(chan struct{})
			f.servers["p"].answerWith = func(command Command) (Answer, error, bool) {
				if command.Kind == test.kind {
					close(entered)
					<-blocked
				}

				return Answer{}, nil, false
			}

			session := f.connect("latest")
			session.send(Statement{Kind: Prepare, Name: "s", Value: "shape", Writes: true})

			replies := make(chan Reply, 1)

			go func() { replies <- test.run(session) }()

			<-entered

			version := f.beginChange(true)

			// Longer than the grace period, after which commits are stopped.
			for deadline := time.Now().Add(2 * commitGrace); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				require.False(t, f.isSettled(version))
			}

			close(blocked)

			reply := <-replies
			require.NoError(t, reply.Err)
			assert.Eventually(t, func() bool { return f.isSettled(version) }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against a write that waited for a connection when the change began and is then sent to the former primary.
func TestWaitingWriteIsNotSentToTheFormerPrimary(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.configureCommits(1)

	primary := f.gateway.view.Load().groups["g"].primary
	primary.connPool.setGrant(1)

	held, err := primary.connPool.get(soon(), 2, connUser{sessionID: 1})
	require.NoError(t, err)

	session, replies := f.connect("latest"), make(chan Reply, 1)

	go func() { replies <- session.ask(Write, "WRITE 1") }()

	require.Eventually(t, func() bool {
		primary.connPool.mutex.Lock()
		defer primary.connPool.mutex.Unlock()

		return primary.connPool.conns.Waiting() == 1
	}, 5*time.Second, time.Millisecond)

	version := f.beginChange(true)
	require.True(t, f.isSettled(version))
	primary.connPool.put(held)

	reply := <-replies
	assert.Equal(t, result.NoPrimary, result.CodeOf(reply.Err))
	assert.Empty(t, f.servers["p"].ranStatements)
}
