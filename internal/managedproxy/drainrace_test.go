package managedproxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/drain"
	"almondgrade/core/result"
)

// slowClient is a caller to whom an answer, or the end of a session, takes a while to send.
type slowClient struct {
	*client

	// replying and ending receive a value when the call begins. The call returns when the release channel is closed.
	replying, ending, release chan struct{}
}

// Reply implements Caller.
func (c *slowClient) Reply(reply Reply) error {
	c.replying <- struct{}{}

	if reply.Err != nil {
		<-c.release
	}

	return c.client.Reply(reply)
}

// EndSession implements Caller.
func (c *slowClient) EndSession(reason error, deadline time.Time) []string {
	c.ending <- struct{}{}
	<-c.release

	return c.client.EndSession(reason, deadline)
}

func (f *fixture) connectSlow(database string) *slowClient {
	c := &slowClient{
		client: &client{
			database: database, statements: make(chan Statement), replies: make(chan Reply, 1), interrupts: make(chan struct{}, 1),
			closed: make(chan struct{}),
		},
		replying: make(chan struct{}, 10), ending: make(chan struct{}, 10), release: make(chan struct{}),
	}

	go f.gateway.Serve(c)

	return c
}

// Guards against a statement that ends just after a planned stop has taken over its answer: the session closed the connection,
// and the process could end, while the answer was being sent.
func TestPlannedStopAnswersStatementThatEndsMeanwhile(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	session := f.connectSlow("latest")

	received, finish := make(chan struct{}), make(chan struct{})
	f.server("p").setAnswer(func(command Command) (Answer, error, bool) {
		if command.ID == "slow" {
			close(received)
			<-finish
		}

		return Answer{}, nil, false
	})

	session.statements <- Statement{ID: "slow", Kind: Write, Text: "WRITE 1 a", Writes: true}

	<-received
	f.gateway.Drain()
	f.gateway.ContinueDrain(drain.Answering)
	<-session.replying
	close(finish)

	select {
	case <-session.closed:
		assert.Fail(t, "the connection was closed before the answer was sent")
	case <-time.After(200 * time.Millisecond):
	}

	assert.Equal(t, DrainWork{Sessions: 1}, f.gateway.WorkLeft(), "the process must not end before the answer is sent")

	close(session.release)

	reply := <-session.replies
	assert.Equal(t, result.ConnectionLost, result.CodeOf(reply.Err))
	<-session.closed
	require.Eventually(t, func() bool { return f.gateway.WorkLeft().Total() == 0 }, conditionTimeout, time.Millisecond)
	assert.Empty(t, session.replies, "a statement has one answer")
}
