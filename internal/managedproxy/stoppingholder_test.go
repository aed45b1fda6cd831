package managedproxy

import (
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/drain"
	"almondgrade/core/placement"
	"almondgrade/core/result"
	"almondgrade/io/managedcontrol"
	"almondgrade/io/managedpeer"
)

// Guards against a statement that is refused although a holder can serve it, because several other holders stop at the same
// time: each says so at once, but counted as a holder that did not answer.
func TestStatementIsSentOnAfterSeveralHoldersStop(t *testing.T) {
	t.Parallel()

	for _, kind := range []Kind{Read, Write, Begin} {
		h := newForwardFixture(t)
		stopping := make(map[netip.AddrPort]bool)

		for i := range maxUnanswered {
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.8"), uint16(i+1))
			stopping[address] = true
			h.front.holders = append([]placement.Proxy{{Name: address.String(), Address: address}}, h.front.holders...)
		}

		h.front.applyView()

		h.before = func(to netip.AddrPort, _ *ForwardRequest) error {
			if stopping[to] {
				return errors.Join(managedpeer.ErrNotSent, managedpeer.ErrStopping)
			}

			return nil
		}

		for range 20 {
			h.front.gateway.holderHealth = holderHealth{}
			session := h.front.connect("latest")

			if kind == Begin {
				require.NoError(t, session.ask(Begin, "BEGIN").Err)
				require.NoError(t, session.ask(Write, "WRITE 1 a").Err)
				require.NoError(t, session.ask(Commit, "COMMIT").Err)
			} else {
				require.NoError(t, session.ask(kind, "X 1").Err)
			}
		}
	}
}

// Guards against statements that keep being sent to a holder that declines them, because its answers to a transaction that
// it still keeps, and to statements from before, end the time for which it is avoided.
func TestHolderThatDeclinesIsAvoidedWhileItKeepsATransaction(t *testing.T) {
	t.Parallel()

	h := newForwardFixture(t)

	// No transaction may time out here.
	for _, f := range append(h.fixtures(), h.front) {
		f.idleTimeout = time.Minute
		f.applyConfiguration(2)
	}

	var declining netip.AddrPort

	for address, holder := range h.holders {
		if holder.gateway.options.Name == "h1" {
			declining = address
		}
	}

	// Only h1 is left in the front's view, so that the transaction is there.
	all := h.front.holders
	h.front.holders = all[:1]
	h.front.applyView()

	inTransaction := h.front.connect("latest")
	require.NoError(t, inTransaction.ask(Begin, "BEGIN").Err)
	require.NoError(t, inTransaction.ask(Write, "WRITE 1 a").Err)

	// A read that h1 has accepted is answered after it has begun to decline.
	begun, release := make(chan struct{}), make(chan struct{})
	h.after = func(_ netip.AddrPort, request *ForwardRequest) error {
		if request.Statement.Text == "READ before" {
			close(begun)
			<-release
		}

		return nil
	}
	before := h.front.connect("latest")
	before.statements <- Statement{ID: "1", Kind: Read, Text: "READ before"}

	<-begun

	holder := h.holders[declining]
	holder.holders = all[1:]
	holder.applyView()

	h.front.holders = all
	h.front.applyView()

	var sent atomic.Int64

	h.before = func(to netip.AddrPort, request *ForwardRequest) error {
		if to == declining && request.isFirst() {
			sent.Add(1)
		}

		return nil
	}

	session, began := h.front.connect("latest"), time.Now()

	for i := range 40 {
		require.NoError(t, session.ask(Write, "WRITE 2 b").Err)
		require.NoError(t, inTransaction.ask(Write, "WRITE 1 a").Err)

		if i == 20 {
			close(release)
			require.NoError(t, (<-before.replies).Err)
		}
	}

	require.NoError(t, inTransaction.ask(Commit, "COMMIT").Err)
	assert.LessOrEqual(t, sent.Load(), 1+int64(time.Since(began)/holderRetryInterval), "statements sent to a holder that declines")
}

// Guards against a holder that is asked again each second although it has declined for long.
func TestHolderIsTriedLessOftenAfterDeclines(t *testing.T) {
	t.Parallel()

	health, now := &holderHealth{}, time.Now()
	request := &ForwardRequest{}

	var pauses []time.Duration

	for range 3 {
		health.record("h", request, now, &ForwardReply{Declined: true}, nil)
		pauses = append(pauses, health.failures["h"].pause)

		failure := health.failures["h"]
		failure.until = now
		health.failures["h"] = failure
	}

	assert.Equal(t, []time.Duration{holderRetryInterval, 2 * holderRetryInterval, 4 * holderRetryInterval}, pauses)

	health.record("h", request, time.Now(), &ForwardReply{}, nil)
	assert.Empty(t, health.failures, "it accepts statements again")
}

// Guards against a transaction that stays open at a holder, with its locks and its connection, until the idle time has
// passed, because the proxy of its caller ends before it has told the holder to roll it back.
func TestStoppingProxyWaitsForTheRollbackAtTheHolder(t *testing.T) {
	t.Parallel()

	h := newForwardFixture(t)
	h.front.idleTimeout = time.Minute
	h.front.applyConfiguration(2)

	session := h.front.connect("latest")
	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.ask(Write, "WRITE 1 a").Err)

	sent, release := make(chan struct{}), make(chan struct{})
	h.before = func(_ netip.AddrPort, request *ForwardRequest) error {
		if request.Statement.Kind == Rollback {
			close(sent)
			<-release
		}

		return nil
	}

	h.front.gateway.Drain()
	h.front.gateway.ContinueDrain(drain.Refusing)
	<-sent
	h.front.gateway.ContinueDrain(drain.Answering)
	assert.Never(t, func() bool { return h.front.gateway.WorkLeft().Total() == 0 }, 50*time.Millisecond, time.Millisecond,
		"the holder has not been told yet")
	close(release)
	<-session.closed
	assert.Eventually(t, func() bool { return h.front.gateway.WorkLeft().Total() == 0 }, 5*time.Second, time.Millisecond)

	for _, holder := range h.fixtures() {
		holder.gateway.mutex.Lock()
		assert.Empty(t, holder.gateway.heldTransactions)
		holder.gateway.mutex.Unlock()
	}
}

// Guards against an unknown outcome of a statement that still waits at a holder when the proxy of its caller ends.
func TestStoppingProxyTakesItsStatementsOutOfTheHoldersQueue(t *testing.T) {
	t.Parallel()

	h := newForwardFixture(t)

	var pools []*connPool

	for _, holder := range h.fixtures() {
		pool := holder.gateway.servers["p"].connPool
		pool.setGrant(1)

		_, err := pool.get(soon(), 1, connUser{})
		require.NoError(t, err)

		pools = append(pools, pool)
	}

	waiting := func() (count int) {
		for _, pool := range pools {
			pool.mutex.Lock()
			count += pool.conns.Waiting()
			pool.mutex.Unlock()
		}

		return count
	}

	settings := h.front.gateway.view.Load().pools["latest"]
	settings.Timeout, settings.TargetLatency = 20*time.Second, 20*time.Second
	session := h.front.connect("latest")
	session.statements <- Statement{ID: "1", Kind: Write, Writes: true}

	require.Eventually(t, func() bool { return waiting() == 1 }, 5*time.Second, time.Millisecond)
	h.front.gateway.Drain()
	h.front.gateway.AbandonForwards()

	select {
	case reply := <-session.replies:
		assert.Equal(t, result.RanNo, result.CodeOf(reply.Err).Ran(), reply.Err)
	case <-time.After(managedpeer.CloseTimeout):
		t.Error("the holder has not answered when the client closes the connection")
		session.gone.Store(true)
		<-session.replies
	}

	assert.Zero(t, waiting())

	// A caller that comes back at once must not leave a further statement behind.
	calls := h.calls.Load()
	reply := h.front.connect("latest").ask(Write, "WRITE 1 a")
	assert.Equal(t, result.RanNo, result.CodeOf(reply.Err).Ran(), reply.Err)
	assert.Equal(t, calls, h.calls.Load())
}

// Guards against a refusal (1302) of statements that wait for a connection at a holder when control publishes holders without
// it, as at the beginning of its planned stop and after another one's. They have not run, and the next holder serves them.
func TestStatementThatWaitsGoesToTheNextHolder(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name string
		// own is true if the caller is connected to the former holder.
		own  bool
		kind Kind
	}{
		{"write", false, Write},
		{"read", false, Read},
		{"transaction", false, Begin},
		{"write of an own caller", true, Write},
		{"read of an own caller", true, Read},
		{"transaction of an own caller", true, Begin},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			h := newForwardFixture(t)

			var former *fixture

			for _, holder := range h.holders {
				holder.gateway.options.Forward = h.call

				if holder.gateway.options.Name == "h1" {
					former = holder
				}
			}

			pool := former.gateway.servers["p"].connPool
			pool.setGrant(1)

			_, err := pool.get(soon(), 1, connUser{})
			require.NoError(t, err)

			front := h.front
			if test.own {
				front = former
			}

			settings := front.gateway.view.Load().pools["latest"]
			settings.Timeout, settings.TargetLatency = 20*time.Second, 20*time.Second

			// The front prefers h1.
			front.gateway.holderHealth.recordFailure("h2", time.Now().Add(time.Minute))

			session := front.connect("latest")
			statement := Statement{ID: "1", Kind: test.kind, Text: "X 1", Writes: test.kind == Write}

			if test.kind == Begin {
				require.NoError(t, session.ask(Begin, "BEGIN").Err)

				statement.Kind, statement.Writes = Write, true
			}

			session.statements <- statement

			require.Eventually(t, func() bool {
				pool.mutex.Lock()
				defer pool.mutex.Unlock()

				return pool.conns.Waiting() == 1
			}, 5*time.Second, time.Millisecond)

			// Control leaves out the groups that a proxy has no connections to.
			former.version++
			former.gateway.Apply(nil, &managedcontrol.View{
				Version: managedcontrol.Version{Term: 1, Number: former.version}, Proxies: 1, HoldersKnown: true,
				Holders: map[string][]placement.Proxy{"g": h.front.holders[1:]},
			})

			require.NoError(t, (<-session.replies).Err)
		})
	}
}
