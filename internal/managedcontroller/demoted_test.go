package managedcontroller

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondgrade/core/topology"
)

// Guards against a group that serves no writes any more because its primary has started again as a replica, which
// answers probes and is therefore not dead.
func TestDemotedPrimaryIsReplaced(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	f.servers.mutex.Lock()
	f.servers.steppedDown = true
	f.servers.received["a"] = 0
	f.servers.mutex.Unlock()

	f.awaitPrimary("c")
	assert.Len(t, f.servers.givenOrders(), 1)
}

// Guards against the replacement of a primary because one of its answers was wrong or another server leads already.
func TestServerThatLeadsAlreadyIsAdopted(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	f.servers.mutex.Lock()
	f.servers.makePrimary("b")
	f.servers.mutex.Unlock()

	f.announce("b", func(server *topology.Server) { server.ClaimsPrimary = true })
	f.awaitPrimary("b")
	assert.Empty(t, f.servers.givenOrders())
}
