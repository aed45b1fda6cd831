package managedproxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// conditionTimeout bounds the wait for what another goroutine does.
const conditionTimeout = 10 * time.Second

// Guards against callers that are logging in when the last session of a stopping proxy ends: they got a session, and the
// process ended while their first statement ran.
func TestPlannedStopCountsLogins(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	late := newLateClient()

	f.gateway.Accept(late)
	f.gateway.Drain()
	assert.Equal(t, 1, f.gateway.CloseSessions(false))

	close(late.login)
	require.Eventually(t, func() bool { return f.gateway.CloseSessions(false) == 0 }, conditionTimeout, time.Millisecond)
	<-late.closed
}

// Guards against a connection without a login that keeps a planned stop from ending.
func TestPlannedStopEndsSilentLogins(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	silent := newLateClient()

	f.gateway.Accept(silent)
	f.gateway.Drain()
	require.Eventually(t, func() bool { return f.gateway.CloseSessions(false) == 0 }, conditionTimeout, 10*time.Millisecond)
	<-silent.closed
}

// newLateClient returns a caller that does not log in until its channel is closed.
func newLateClient() *client {
	return &client{
		database: "latest", statements: make(chan Statement), replies: make(chan Reply, 1), interrupts: make(chan struct{}, 1),
		closed: make(chan struct{}), login: make(chan struct{}),
	}
}
