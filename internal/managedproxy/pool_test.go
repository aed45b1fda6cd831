package managedproxy

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

func newPool(served *member, limit int) *pool {
	created := newServer(managedcontrol.Server{Server: topology.Server{ID: "s", Slots: 2}},
		func(time.Time, topology.Server) (Backend, error) { return served.dial() })
	created.pool.grant(limit)

	return created.pool
}

func soon() time.Time {
	return time.Now().Add(5 * time.Second)
}

// Guards against urgent statements that wait behind routine ones for a connection.
func TestUrgentStatementsGoFirst(t *testing.T) {
	t.Parallel()

	connections := newPool(&member{}, 1)
	held, err := connections.get(soon(), 2, 1, nil)
	require.NoError(t, err)

	order := make(chan int, 3)

	for i, priority := range []int{2, 1} {
		go func() {
			got, err := connections.get(soon(), priority, 1, nil)
			if err == nil {
				order <- priority
				connections.put(got)
			}
		}()

		require.Eventually(t, func() bool {
			connections.mutex.Lock()
			defer connections.mutex.Unlock()

			return len(connections.waiting) == i+1
		}, 5*time.Second, time.Millisecond)
	}

	connections.put(held)
	assert.Equal(t, 1, <-order)
	assert.Equal(t, 2, <-order)
}

// Guards against statements that wait until they are late where the wait is known: a primary that serves all reads of
// its group.
func TestHopelessStatementsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()

	connections := newPool(&member{}, 1)
	_, err := connections.get(soon(), 2, 1, nil)
	require.NoError(t, err)

	connections.hold = time.Minute
	began := time.Now()
	_, err = connections.get(soon(), 2, 1, nil)
	assert.Equal(t, result.DeadlinePassed, result.CodeOf(err))
	assert.Less(t, time.Since(began), time.Second)
}

// Guards against statements that fail because the server's connections are still held by processes that lost power: on
// teranga-postal trouble-1, 2,124 statements were refused in 2 s.
func TestRefusedConnectionsAreTriedAgain(t *testing.T) {
	t.Parallel()

	served := &member{limit: 1}
	stale, err := served.dial()
	require.NoError(t, err)

	connections := newPool(served, 2)
	done := make(chan error, 1)

	go func() {
		_, err := connections.get(soon(), 2, 1, nil)
		done <- err
	}()

	require.Eventually(t, func() bool {
		served.mutex.Lock()
		defer served.mutex.Unlock()

		return served.dials > 2
	}, 5*time.Second, time.Millisecond)
	stale.Close()
	assert.NoError(t, <-done)
}

// Guards against more connections than control has granted, and against waiters who are not told of a greater grant.
func TestGrant(t *testing.T) {
	t.Parallel()

	served := &member{}
	connections := newPool(served, 3)

	var held []*conn

	for range 3 {
		got, err := connections.get(soon(), 2, 1, nil)
		require.NoError(t, err)

		held = append(held, got)
	}

	connections.grant(1)

	for _, one := range held {
		connections.put(one)
	}

	assert.Equal(t, 1, served.open)

	only, err := connections.get(soon(), 2, 1, nil)
	require.NoError(t, err)

	done := make(chan error, 1)

	go func() {
		_, err := connections.get(soon(), 2, 1, nil)
		done <- err
	}()

	require.Eventually(t, func() bool { return connections.demand().Wanted == 2 }, 5*time.Second, time.Millisecond)
	connections.grant(2)
	require.NoError(t, <-done)
	connections.put(only)
}

// Guards against a connection that the server has closed in use for a statement that can't be repeated.
func TestClosedConnectionIsReplaced(t *testing.T) {
	t.Parallel()

	served := &member{}
	connections := newPool(served, 3)
	first, err := connections.get(soon(), 2, 1, nil)
	require.NoError(t, err)
	connections.put(first)

	first.used = time.Now().Add(-time.Second)
	first.backend.Close()

	second, err := connections.get(soon(), 2, 1, nil)
	require.NoError(t, err)
	assert.NotSame(t, first, second)
}

// Guards against a replica that is left out long after it has caught up, and against one that serves all reads in vain.
func TestReplicaIsTriedAgain(t *testing.T) {
	t.Parallel()

	behind := newPool(&member{}, 1).server
	now := time.Unix(100, 0)
	floor := floorAt(50)

	behind.holds(now, floorAt(10), 6*time.Second)
	assert.False(t, behind.covers(now, floor, time.Second))
	assert.True(t, behind.covers(now.Add(lagProbe), floor, time.Second), "put to the test")
	assert.False(t, behind.covers(now.Add(lagProbe), floor, time.Second), "one statement is enough")

	behind.holds(now.Add(lagProbe), floorAt(50), 0)
	assert.True(t, behind.covers(now.Add(lagProbe), floor, time.Second))
}

func floorAt(lsn position.LSN) position.Position {
	return position.Position{Term: 1, LSN: lsn}
}

// Guards against urgent statements that wait at a server behind routine ones, which it runs in the order of arrival. The
// load: a backlog after an outage, with more connections than slots. Without the strict bound, the naive version, all
// statements are at the server at once.
func TestStatementsWaitByPriorityBeforeTheServer(t *testing.T) {
	t.Parallel()

	for _, strict := range []bool{false, true} {
		connections := newPool(&member{}, 18)
		connections.divide(20, 1, strict)

		fair := int(connections.fair)
		order := make(chan int, 20)

		var held []*conn

		use := func(priority int) {
			got, err := connections.get(soon(), priority, 1, nil)
			if err == nil {
				connections.server.running.Add(1)
				order <- priority
				connections.put(got)
				connections.server.end()
			}
		}

		for range fair {
			got, err := connections.get(soon(), 2, 1, nil)
			require.NoError(t, err)
			connections.server.running.Add(1)

			held = append(held, got)
		}

		for i, priority := range []int{2, 2, 1} {
			go use(priority)

			require.Eventually(t, func() bool {
				connections.mutex.Lock()
				defer connections.mutex.Unlock()

				return len(connections.waiting) == i+1 || len(order) == i+1
			}, 5*time.Second, time.Millisecond)
		}

		assert.Equal(t, !strict, len(order) > 0, "statements at the server beyond the fair part")

		connections.put(held[0])
		connections.server.end()

		first := <-order
		assert.Equal(t, strict, first == 1)

		for _, one := range held[1:] {
			connections.put(one)
			connections.server.end()
		}
	}
}

// Guards against a pool that goes on to hold connections, or to wait for one, after other proxies hold them.
func TestRetiredPool(t *testing.T) {
	t.Parallel()

	served := &member{}
	connections := newPool(served, 2)

	first, err := connections.get(soon(), 2, 1, nil)
	require.NoError(t, err)
	second, err := connections.get(soon(), 2, 1, nil)
	require.NoError(t, err)
	connections.put(second)

	waited := make(chan error, 1)

	connections.mutex.Lock()
	connections.limit = 1
	connections.idle = nil
	connections.mutex.Unlock()

	go func() {
		_, err := connections.get(soon(), 2, 1, nil)
		waited <- err
	}()

	require.Eventually(t, func() bool { return connections.demand().Wanted > 1 }, 5*time.Second, time.Millisecond)
	connections.retire()
	assert.Equal(t, result.ServerUnreachable, result.CodeOf(<-waited))

	connections.put(first)
	connections.grant(5)
	assert.False(t, connections.reserve())
	assert.LessOrEqual(t, served.open, 1, "the connection that the test has taken away stays")
}

// Guards against connections that are opened all at once after a restart and keep statements from running. The load: 14
// callers at one proxy whose server has two slots.
func TestFewConnectionsAreOpenedAtOnce(t *testing.T) {
	t.Parallel()

	for _, strict := range []bool{false, true} {
		served := &member{}

		var opening, most atomic.Int64

		created := newServer(managedcontrol.Server{Server: topology.Server{ID: "s", Slots: 2}}, func(time.Time, topology.Server) (Backend, error) {
			present := opening.Add(1)
			for known := most.Load(); present > known && !most.CompareAndSwap(known, present); known = most.Load() {
			}

			time.Sleep(2 * time.Millisecond)
			opening.Add(-1)

			return served.dial()
		})
		connections := created.pool
		connections.grant(14)
		connections.divide(112, 8, strict)

		var callers sync.WaitGroup

		for range 14 {
			callers.Go(func() {
				got, err := connections.get(soon(), 2, 1, nil)
				if assert.NoError(t, err) {
					created.running.Add(1)
					time.Sleep(time.Millisecond)
					connections.put(got)
					created.end()
				}
			})
		}

		callers.Wait()
		assert.LessOrEqual(t, most.Load(), max(1, connections.fair))
	}
}
