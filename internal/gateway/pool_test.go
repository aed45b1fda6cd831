package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/deployment"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/io/fleet"
)

func newPool(served *member, limit int) *pool {
	created := newServer(fleet.Server{Server: deployment.Server{ID: "s", Slots: 2}},
		func(time.Time, deployment.Server) (Backend, error) { return served.dial() })
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
