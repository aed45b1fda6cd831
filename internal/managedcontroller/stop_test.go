package managedcontroller

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

// Guards against calls passed on by other control processes that are cut off when the leader stops, and against a stop that
// takes no end because of new ones.
func TestDeliveriesAreFinished(t *testing.T) {
	t.Parallel()

	f := newFixture(t)

	f.log.mutex.Lock()

	delivered := make(chan error, 1)

	go func() {
		for {
			reply, err := f.controller.Deliver(t.Context(), &managedcontrol.DeliverRequest{Configure: &topology.Configuration{
				Number: 2, Groups: []topology.GroupSettings{{Name: "g", MaxConnections: 12}}, Document: []byte("{}"),
			}})
			if err == nil && reply.Code == result.NotLeader {
				continue // The test holds the semaphore.
			}

			if err == nil {
				err = reply.Err()
			}

			delivered <- err

			return
		}
	}()

	// The call is in progress once no other can hold all of the semaphore.
	for f.controller.deliveries.TryAcquire(allDeliveries) {
		f.controller.deliveries.Release(allDeliveries)
	}

	finished := make(chan struct{})

	go func() {
		defer close(finished)

		f.controller.FinishDeliveries(t.Context())
	}()

	for {
		reply, err := f.controller.Deliver(t.Context(), &managedcontrol.DeliverRequest{Withdraw: "unknown"})
		require.NoError(t, err)

		if reply.Code == result.NotLeader {
			break
		}
	}

	select {
	case <-finished:
		assert.Fail(t, "a call was in progress")
	default:
	}

	f.log.mutex.Unlock()
	require.NoError(t, <-delivered)
	<-finished
}

// Guards against a stop that waits for a call that takes no end.
func TestFinishOfDeliveriesIsBounded(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	require.True(t, f.controller.deliveries.TryAcquire(1))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.controller.FinishDeliveries(ctx)
}
