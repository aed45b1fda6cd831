package coordination_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/internal/proxy"
	"almondgrade/internal/standin"
	"almondgrade/io/backend"
)

// TestBarrierCoversWrites guards against a barrier whose position is before that of a write committed before it, both on
// the coordinating proxy and on another one.
func TestBarrierCoversWrites(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	c.exec(0, "CREATE TABLE t (a int)")

	for _, name := range []string{"p1", "p2"} {
		for range 5 {
			c.exec(0, "INSERT INTO t VALUES (1)")
			end := c.insertPosition(0)

			barrier, err := c.proxies[name].Barrier(testContext(t), groupName)
			require.NoError(t, err)
			assert.Equal(t, position.Term(1), barrier.Position.Term)
			assert.GreaterOrEqual(t, barrier.Position.LSN, end)
			assert.Len(t, barrier.Observations, 3)
		}
	}
}

// TestConfirmWaitsForQuorum guards against a write that is confirmed before a commit quorum holds it, and against one
// that is never confirmed although a quorum holds it.
func TestConfirmWaitsForQuorum(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	c.exec(0, "CREATE TABLE t (a int)")

	for _, name := range []string{"p1", "p2"} {
		at, err := c.proxies[name].ConfirmCommits(testContext(t), groupName, 1, false)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, at.LSN, position.LSN(1))
	}

	c.members[1].Freeze()
	c.exec(0, "INSERT INTO t VALUES (1)")

	end := c.insertPosition(0)
	at, err := c.proxies["p2"].ConfirmCommits(testContext(t), groupName, 1, false)
	require.NoError(t, err, "one replica suffices")
	assert.GreaterOrEqual(t, at.LSN, end)

	c.members[2].Freeze()
	c.exec(0, "INSERT INTO t VALUES (2)")

	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()

	_, err = c.proxies["p2"].ConfirmCommits(ctx, groupName, 1, false)
	require.Error(t, err)
	assert.Equal(t, result.NotConfirmed, result.CodeOf(err))

	c.members[2].Thaw()

	_, err = c.proxies["p2"].ConfirmCommits(testContext(t), groupName, 1, false)
	require.NoError(t, err)
}

// TestFencedReplicasStopBarriers guards against a barrier or a confirmation that relies on a primary which may have been
// replaced, because its replicas are fenced.
func TestFencedReplicasStopBarriers(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	_, err := c.proxies["p2"].Barrier(testContext(t), groupName)
	require.NoError(t, err)

	for _, index := range []int{1, 2} {
		c.withAdmin(index, func(ctx context.Context, admin *backend.Admin) error {
			_, err := admin.Fence(ctx, memberName(index))

			return err
		})
	}

	for _, unreplaced := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, err = c.proxies["p2"].ConfirmCommits(ctx, groupName, 1, unreplaced)

		cancel()
		assert.Equal(t, result.NotConfirmed, result.CodeOf(err), "%v", err)
	}

	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()

	_, err = c.proxies["p2"].Barrier(ctx, groupName)
	assert.Equal(t, result.NoPrimary, result.CodeOf(err), "%v", err)

	// The first replica becomes the primary of the next term.
	begin := c.promote(1, 2)
	c.withAdmin(2, func(ctx context.Context, admin *backend.Admin) error {
		return admin.Attach(ctx, memberName(2), 2, c.members[1].Addr())
	})
	c.changeView(func(_ *registry.View, group *registry.Group) {
		group.Term, group.Primary = 2, memberName(1)
		group.History = position.NewHistory(position.TermBegin{Term: 1}, position.TermBegin{Term: 2, LSN: begin})
	})

	barrier, err := c.proxies["p2"].Barrier(testContext(t), groupName)
	require.NoError(t, err)
	assert.Equal(t, position.Term(2), barrier.Position.Term)

	_, err = c.proxies["p2"].ConfirmCommits(testContext(t), groupName, 1, false)
	assert.Equal(t, result.PrimaryReplaced, result.CodeOf(err), "%v", err)
}

// TestSingleMember guards against barriers and confirmations that wait for replicas in a group of one member.
func TestSingleMember(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 5, connections: 20, proxies: []string{"p1"}})
	_, err := c.proxies["p1"].Barrier(testContext(t), groupName)
	require.NoError(t, err)

	for _, unreplaced := range []bool{false, true} {
		_, err = c.proxies["p1"].ConfirmCommits(testContext(t), groupName, 1, unreplaced)
		require.NoError(t, err)
	}
}

// TestBarrierAndConfirmWithoutCoordinator guards against a proxy that can't serve reads and writes because the coordinator
// is dead. Its direct queries need connection permits that were granted before.
func TestBarrierAndConfirmWithoutCoordinator(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	p2 := c.proxies["p2"]

	var held []proxy.Permit

	for i := range 3 {
		granted, err := p2.AcquireConnection(testContext(t), memberName(i), false)
		require.NoError(t, err)

		held = append(held, granted)
	}

	c.proxies["p1"].stop()

	// Stands in for the pool, which closes idle connections when it is asked to.
	go func() {
		released := make(map[string]bool)

		for server := range p2.closeIdleRequests {
			for i := range held {
				if memberName(i) == server && !released[server] {
					released[server] = true
					held[i].Release()
				}
			}
		}
	}()
	defer close(p2.closeIdleRequests)

	_, err := p2.Barrier(testContext(t), groupName)
	require.NoError(t, err)

	_, err = p2.ConfirmCommits(testContext(t), groupName, 1, false)
	require.NoError(t, err)
}

// TestLostConnectionsAreNotADeadServer guards against a coordinator that mistakes lost connections for a dead server.
func TestLostConnectionsAreNotADeadServer(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1"}})
	p1 := c.proxies["p1"]

	_, err := p1.Barrier(testContext(t), groupName)
	require.NoError(t, err)

	lost := 0

	for range 3 {
		for _, member := range c.members {
			lost += member.LoseConnections()
		}

		_, err = p1.Barrier(testContext(t), groupName)
		require.NoError(t, err)
	}

	assert.Positive(t, lost, "no connection was lost")

	eventually(t, "the server ends the lost connections", func() bool {
		monitors := 0

		for application, count := range c.connections(0) {
			if strings.HasSuffix(application, "/monitor") {
				monitors += count
			}
		}

		return monitors == 1
	})
	assert.Zero(t, p1.suspects.Load(), "a server that answers new connections was suspected")
}

// TestDeadPrimaryIsSuspected guards against a dead primary that the coordinator does not report.
func TestDeadPrimaryIsSuspected(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1"}})
	require.NoError(t, c.members[0].Stop())
	eventually(t, "the primary is suspected", func() bool { return c.proxies["p1"].suspects.Load() > 0 })
}

// TestObservations guards against replicas that never count as fresh, and against a lagging replica whose age does not
// grow.
func TestObservations(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	c.exec(0, "CREATE TABLE t (a int)")

	p2 := c.proxies["p2"]
	age := func(server string) time.Duration {
		_, err := p2.Barrier(testContext(t), groupName)
		require.NoError(t, err)

		for _, seen := range p2.Observations(groupName) {
			if seen.Server == server && seen.Reachable {
				return seen.Age
			}
		}

		return time.Hour
	}

	eventually(t, "the replica is fresh", func() bool { return age(memberName(1)) < 10*time.Second })

	c.members[1].SetLag(time.Hour)
	c.exec(0, "INSERT INTO t VALUES (1)")
	eventually(t, "the lagging replica gets old", func() bool {
		return age(memberName(1)) > 100*time.Millisecond && age(memberName(2)) < age(memberName(1))
	})

	p2.ReportFailure(memberName(2))

	for _, seen := range p2.Observations(groupName) {
		assert.False(t, seen.Server == memberName(2) && seen.Reachable, "a failed server is offered")
	}
}

// TestSlotsAreShared guards against several proxies that together run more statements than there are slots, and against a
// waiter that is not served although another proxy holds an unused permit in its cache.
func TestSlotsAreShared(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 2, connections: 20, proxies: []string{"p1", "p2", "p3"}})
	server := memberName(0)

	var running, most, done atomicNumber

	work := func(p *proxyProcess) error {
		for range 50 {
			granted, err := p.AcquireSlot(testContext(t), server, false)
			if err != nil {
				return err
			}

			most.raise(running.add(1))
			running.add(-1)
			granted.Release()
			done.add(1)
		}

		return nil
	}

	errors := make(chan error, 9)

	for _, p := range c.proxies {
		for range 3 {
			go func() { errors <- work(p) }()
		}
	}

	for range 9 {
		require.NoError(t, <-errors)
	}

	assert.LessOrEqual(t, most.value(), int64(2))
	assert.Equal(t, int64(450), done.value())
}

// TestConnectionLimit guards against more connections than the limit minus the reserved ones, and against waiters that
// time out on a full server although a holder returns a permit.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 2, connections: 5, proxies: []string{"p1", "p2"}})
	server := memberName(0)

	var held []proxy.Permit

	for range 3 {
		granted, err := c.proxies["p1"].AcquireConnection(testContext(t), server, false)
		require.NoError(t, err)

		held = append(held, granted)
	}

	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()

	_, err := c.proxies["p2"].AcquireConnection(ctx, server, true)
	assert.Equal(t, result.NoPermit, result.CodeOf(err), "%v", err)

	waiting := make(chan error, 1)

	go func() {
		_, err := c.proxies["p2"].AcquireConnection(testContext(t), server, false)
		waiting <- err
	}()

	assert.Equal(t, server, <-c.proxies["p1"].closeIdleRequests, "the holder is asked for idle connections")
	held[0].Release()
	held[0].Release()
	require.NoError(t, <-waiting)
}

// TestPermitsSurviveANewEpoch guards against a new coordinator that grants permits which are already held, and against
// permits that are lost with the old coordinator.
func TestPermitsSurviveANewEpoch(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 2, connections: 6, proxies: []string{"p1", "p2", "p3"}})
	server := memberName(0)

	var held []proxy.Permit

	for _, name := range []string{"p2", "p2", "p3"} {
		granted, err := c.proxies[name].AcquireConnection(testContext(t), server, false)
		require.NoError(t, err)

		held = append(held, granted)
	}

	c.proxies["p1"].stop()
	c.changeView(func(view *registry.View, group *registry.Group) {
		delete(view.Proxies, "p1")

		group.Coordinator, group.Epoch = "p2", 2
	})

	last, err := c.proxies["p3"].AcquireConnection(testContext(t), server, false)
	require.NoError(t, err)

	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()

	_, err = c.proxies["p2"].AcquireConnection(ctx, server, false)
	assert.Equal(t, result.NoPermit, result.CodeOf(err), "%v", err)

	for _, granted := range append(held, last) {
		granted.Release()
	}

	for range 4 {
		_, err = c.proxies["p3"].AcquireConnection(testContext(t), server, false)
		require.NoError(t, err)
	}
}

// TestCancelIsForwarded guards against cancel requests that are forwarded to no proxy or to the wrong one.
func TestCancelIsForwarded(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 2, connections: 6, proxies: []string{"p1", "p2"}})
	require.NoError(t, c.proxies["p1"].ForwardCancel(testContext(t), 2<<16|5, []byte("secret")))
	assert.Equal(t, int64(1), c.proxies["p2"].cancels.Load())
	assert.Zero(t, c.proxies["p1"].cancels.Load())

	err := c.proxies["p1"].ForwardCancel(testContext(t), 9<<16|5, []byte("secret"))
	assert.Equal(t, result.NotFound, result.CodeOf(err))
}

// TestDeadProxyReturnsPermits guards against permits that are lost with a dead proxy whose connections the server still
// shows, and against permits that are granted again while the server still shows those connections.
func TestDeadProxyReturnsPermits(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 2, connections: 4, proxies: []string{"p1", "p2"}})
	server := memberName(0)
	p2 := c.proxies["p2"]

	for range 2 {
		_, err := p2.AcquireConnection(testContext(t), server, false)
		require.NoError(t, err)

		conn, err := backend.OpenAdmin(testContext(t), c.members[0].Addr(), login, p2.ApplicationPrefix()+"1")
		require.NoError(t, err)
		t.Cleanup(conn.Close)
	}

	p2.stop()
	// Another process of the same name starts at once.
	c.changeView(func(view *registry.View, _ *registry.Group) {
		restarted := view.Proxies["p2"]
		restarted.Instance, restarted.Number = 99, 99
		view.Proxies["p2"] = restarted
	})

	_, err := c.proxies["p1"].AcquireConnection(testContext(t), server, false)
	require.NoError(t, err)

	shown := c.connections(0)
	assert.NotContains(t, shown, p2.ApplicationPrefix()+"1", "the permit returned while the connections were open")
}

// TestFrozenReplicaDelaysNothing guards against barriers and confirmations that wait for a frozen replica although the
// other replica suffices.
func TestFrozenReplicaDelaysNothing(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1"}})
	p1 := c.proxies["p1"]

	_, err := p1.Barrier(testContext(t), groupName)
	require.NoError(t, err)

	c.members[1].Freeze()

	// Each has less time than one query to the frozen replica takes.
	for range 50 {
		ctx, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
		_, err = p1.Barrier(ctx, groupName)
		require.NoError(t, err)

		_, err = p1.ConfirmCommits(ctx, groupName, 1, false)
		require.NoError(t, err)
		cancel()
	}
}

// TestCoordinatorCutOffFromPrimary guards against a coordinator that can't reach the primary and thereby keeps all other
// proxies from reading and writing.
func TestCoordinatorCutOffFromPrimary(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 3, slots: 5, connections: 20, proxies: []string{"p1", "p2"}})
	p2 := c.proxies["p2"]

	// The coordinator has to collect the held permits before it is cut off, or it could grant none.
	for i := range c.members {
		granted, err := p2.AcquireConnection(testContext(t), memberName(i), false)
		require.NoError(t, err)
		granted.Release()
	}

	_, err := p2.Barrier(testContext(t), groupName)
	require.NoError(t, err)

	assert.Zero(t, p2.count("coordination_direct"))

	for _, member := range c.members {
		member.Cut("ag/p1/", standin.Both)
	}

	_, err = p2.Barrier(testContext(t), groupName)
	require.NoError(t, err)

	_, err = p2.ConfirmCommits(testContext(t), groupName, 1, false)
	require.NoError(t, err)
	assert.Positive(t, p2.count("coordination_direct"))

	for _, member := range c.members {
		member.Heal()
	}

	eventually(t, "the coordinator is used again", func() bool {
		before := p2.count("coordination_direct")
		_, err := p2.Barrier(testContext(t), groupName)
		require.NoError(t, err)

		return p2.count("coordination_direct") == before
	})
}

// TestNoConnectionWithoutLease guards against a proxy that opens connections after control may have removed it as gone.
func TestNoConnectionWithoutLease(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 2, connections: 6, proxies: []string{"p1", "p2"}})
	p2 := c.proxies["p2"]
	p2.unconfirmed.Store(true)

	_, err := p2.AcquireConnection(testContext(t), memberName(0), false)
	assert.Equal(t, result.Unconfirmed, result.CodeOf(err), "%v", err)

	p2.unconfirmed.Store(false)

	for range 4 {
		_, err = p2.AcquireConnection(testContext(t), memberName(0), false)
		require.NoError(t, err, "the refused permit returned")
	}
}

// TestKeepsPermitsWithoutCoordinator guards against a proxy that returns the permits it holds while the coordinator can't
// be reached, and then can't get new ones.
func TestKeepsPermitsWithoutCoordinator(t *testing.T) {
	t.Parallel()

	c := newCluster(t, clusterShape{members: 1, slots: 2, connections: 6, proxies: []string{"p1", "p2"}})
	p2, server := c.proxies["p2"], memberName(0)

	granted, err := p2.AcquireConnection(testContext(t), server, false)
	require.NoError(t, err)

	c.proxies["p1"].stop()

	// The proxy notices the loss of the coordinator when a request for another permit fails.
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()

	_, err = p2.AcquireConnection(ctx, server, false)
	require.Error(t, err)

	for range 3 {
		granted.Release()

		granted, err = p2.AcquireConnection(testContext(t), server, false)
		require.NoError(t, err)
	}
}
