package managedcontroller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

// Guards against a new primary that is replaced at once because proxies have not used it since it was down as a replica. With
// one server down no other one could be promoted, and the group had no primary for 12 s.
func TestNewPrimaryIsNotReplacedForEarlierReports(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	// report sends what two proxies know of server c. Each one has applied the current view.
	report := func(reachability managedcontrol.PrimaryReport) {
		for _, proxy := range []string{"p", "q"} {
			request := &managedcontrol.SyncRequest{
				Proxy: proxy, Instance: 1, PrimaryReports: []managedcontrol.PrimaryReport{reachability, {Server: "a", FailingFor: 2 * time.Second}},
			}

			leadership := f.controller.leadership()
			leadership.mutex.Lock()
			request.AppliedVersion = leadership.view.Version
			leadership.mutex.Unlock()

			_, err := f.controller.Sync(t.Context(), request)
			require.NoError(t, err)
		}
	}

	f.servers.mutex.Lock()
	f.servers.down["a"] = true
	f.servers.mutex.Unlock()

	for deadline := time.Now().Add(20 * time.Second); f.group().Primary != "c"; {
		require.True(t, time.Now().Before(deadline))
		report(managedcontrol.PrimaryReport{Server: "c", FailingFor: 4 * time.Second})
	}

	report(managedcontrol.PrimaryReport{Server: "c", Reached: true})

	for range 3 {
		assert.Equal(t, topology.PhaseStable, f.group().Phase)
		report(managedcontrol.PrimaryReport{Server: "c", Reached: true})
	}

	assert.Equal(t, "c", f.group().Primary)
	assert.Len(t, f.servers.givenOrders(), 1)
}
