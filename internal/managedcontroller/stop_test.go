package managedcontroller

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/core/viewlog"
	"almondgrade/internal/metrics"
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

// transferredLog is a log whose leadership can move to another member.
type transferredLog struct {
	*fakeLog

	transferred atomic.Bool
}

// nextLeader is the address of the other member.
func nextLeader() netip.AddrPort { return netip.MustParseAddrPort("10.0.0.2:80") }

// Leader implements Log.
func (l *transferredLog) Leader() (string, netip.AddrPort, bool) {
	if l.transferred.Load() {
		return "b", nextLeader(), false
	}

	return l.fakeLog.Leader()
}

// Guards against proxies that look for a leader at all control processes, and log that control is unreachable, where the former
// one knows the next.
func TestWaitingCallsNameNextLeader(t *testing.T) {
	t.Parallel()

	const callers = 20

	state := topology.NewState()
	log := &transferredLog{fakeLog: &fakeLog{state: state, changed: make(chan struct{})}}
	clock := timer.New()
	controller := New(Options{
		Name: "control", Log: log, State: state, Timer: clock, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(),
		AnnounceInterval: time.Hour,
	})

	t.Cleanup(func() {
		controller.Close()
		clock.Close()
	})

	request := managedcontrol.SyncRequest{ViewPosition: &viewlog.Position{}}

	require.Eventually(t, func() bool {
		reply, err := controller.Sync(t.Context(), &request)
		if err != nil || reply.View == nil {
			return false
		}

		request.AppliedVersion = reply.View.Version

		return true
	}, 30*time.Second, time.Millisecond)

	var running sync.WaitGroup

	held := make(chan struct{}, callers)

	for range callers {
		running.Go(func() {
			for first := true; ; first = false {
				reply, err := controller.Sync(t.Context(), &request)
				if !assert.NoError(t, err) {
					return
				}

				if reply.Lease <= 0 {
					assert.Equal(t, nextLeader(), reply.Leader)

					return
				}

				if first {
					held <- struct{}{}
				}
			}
		})
	}

	for range callers {
		<-held
	}

	log.transferred.Store(true)
	running.Wait()
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
