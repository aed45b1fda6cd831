package managedproxy

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/io/managedcontrol"
	"almondgrade/io/managedpeer"
)

// crossing is a front proxy and the holders that it forwards statements to.
type crossing struct {
	front   *fixture
	holders map[netip.AddrPort]*fixture
	// before and after are called around each call; an error takes the place of the answer.
	before func(to netip.AddrPort, forwarded *Forwarded) error
	after  func(to netip.AddrPort, forwarded *Forwarded) error
	calls  atomic.Int64
}

func newCrossing(t *testing.T) *crossing {
	t.Helper()

	h := &crossing{front: newFixture(t), holders: make(map[netip.AddrPort]*fixture)}

	var proxies []placement.Proxy

	for _, name := range []string{"h1", "h2"} {
		holder := newFixture(t)
		holder.replace(h.front.members)
		holder.gateway.options.Name = name
		address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), uint16(len(proxies)+1))
		h.holders[address] = holder

		proxies = append(proxies, placement.Proxy{Name: name, Address: address})
	}

	for _, f := range append(h.fixtures(), h.front) {
		f.placed = proxies
		f.show()
		f.gateway.Observe("g", f.boot(), position.Position{Term: 1, LSN: 10})
	}

	h.front.gateway.options.Forward = h.call

	return h
}

func (h *crossing) fixtures() []*fixture {
	var all []*fixture
	for _, holder := range h.holders {
		all = append(all, holder)
	}

	return all
}

// call carries a statement as the wire does.
func (h *crossing) call(ctx context.Context, to netip.AddrPort, forwarded *Forwarded) (*ForwardReply, error) {
	h.calls.Add(1)

	if h.before != nil {
		if err := h.before(to, forwarded); err != nil {
			return nil, err
		}
	}

	received, reply := new(Forwarded), new(ForwardReply)
	if err := transcode(forwarded, received); err != nil {
		return nil, err
	}

	answered := h.holders[to].gateway.Forward(ctx, received)

	if h.after != nil {
		if err := h.after(to, forwarded); err != nil {
			return nil, err
		}
	}

	return reply, transcode(answered, reply)
}

func transcode(from, to any) error {
	encoded, err := cbor.Marshal(from)
	if err != nil {
		return err
	}

	return cbor.Unmarshal(encoded, to)
}

// Guards against session state, positions or results that get lost on the way through a holder, and against a proxy that
// opens connections though others hold them.
func TestForwardedSession(t *testing.T) {
	t.Parallel()

	h := newCrossing(t)
	opened := h.front.members["p"].dials
	session := h.front.connect("session")

	require.NoError(t, session.send(Statement{Kind: Set, Name: "zone", Value: "north"}).Err)
	require.NoError(t, session.send(Statement{Kind: Prepare, Name: "w", Value: "q1", Writes: true}).Err)

	reply := session.ask(Write, "WRITE 1 a")
	require.NoError(t, reply.Err)
	assert.Equal(t, position.Position{Term: 1, LSN: 11}, reply.Position)

	reply = session.ask(Read, "READ 1")
	require.NoError(t, reply.Err)
	assert.Equal(t, "signed", reply.Signature)
	assert.Equal(t, []string{"READ 1"}, reply.Rows)
	assert.Contains(t, h.front.members["p"].ran, "1 READ 1 map[zone:north]", "the replica lacks the session's write")

	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.send(Statement{ID: "2", Kind: Execute, Name: "w", Text: "EXECUTE w 1 b"}).Err)
	assert.Equal(t, Open, session.ask(Write, "WRITE 1 c").State)
	assert.Equal(t, Idle, session.ask(Commit, "COMMIT").State)

	reply = session.ask(Commit, "COMMIT")
	assert.Equal(t, result.Protocol, result.CodeOf(reply.Err))

	for range 3 {
		h.front.gateway.tend(time.Now())
	}

	assert.Zero(t, h.front.gateway.servers["p"].pool.open, "opened before: %d", opened)
	assert.Empty(t, h.front.gateway.Sights())
}

// Guards against a write that runs twice, or is answered as not run, when a holder was lost; and against reads that are
// not tried elsewhere.
func TestLostHolder(t *testing.T) {
	t.Parallel()

	lost := errors.New("lost")

	for _, test := range []struct {
		name    string
		kind    Kind
		before  error
		after   error
		code    result.Code
		calls   int64
		effects int
	}{
		{"write not sent", Write, managedpeer.ErrNotSent, nil, result.OK, 2, 1},
		{"write sent", Write, lost, nil, result.ConnectionLost, 1, 0},
		{"answer to a write lost", Write, nil, lost, result.ConnectionLost, 1, 1},
		{"read lost", Read, lost, nil, result.OK, 2, 1},
		{"answer to a read lost", Read, nil, lost, result.OK, 2, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			h := newCrossing(t)
			once := func(err error) func(netip.AddrPort, *Forwarded) error {
				return func(netip.AddrPort, *Forwarded) error {
					if h.calls.Load() == 1 {
						return err
					}

					return nil
				}
			}
			h.before, h.after = once(test.before), once(test.after)

			reply := h.front.connect("latest").ask(test.kind, "X 1")
			assert.Equal(t, test.code, result.CodeOf(reply.Err))
			assert.Equal(t, test.calls, h.calls.Load())
			assert.Len(t, h.front.members["p"].ran, test.effects)
		})
	}
}

// Guards against a transaction that stays open at a holder whose front proxy was lost, against one that goes on at another
// holder, and against a commit of unknown outcome that is answered as rolled back.
func TestForwardedTransactionEnds(t *testing.T) {
	t.Parallel()

	h := newCrossing(t)
	session := h.front.connect("latest")
	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.ask(Write, "WRITE 1 a").Err)

	held := func() (count int) {
		for _, holder := range h.holders {
			holder.gateway.mutex.Lock()
			count += len(holder.gateway.guests)
			holder.gateway.mutex.Unlock()
		}

		return count
	}
	assert.Equal(t, 1, held())

	for _, holder := range h.holders {
		holder.gateway.dismiss(time.Now().Add(time.Minute), false)
	}

	assert.Zero(t, held())

	reply := session.ask(Commit, "COMMIT")
	assert.True(t, IsRolledBack(reply.Err), reply.Err)
	assert.Equal(t, Idle, reply.State)

	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.ask(Write, "WRITE 1 b").Err)

	h.after = func(netip.AddrPort, *Forwarded) error { return errors.New("lost") }
	reply = session.ask(Commit, "COMMIT")
	assert.False(t, IsRolledBack(reply.Err), reply.Err)
	assert.Equal(t, result.ConnectionLost, result.CodeOf(reply.Err))

	// The caller leaves in a transaction.
	h.after = nil

	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.ask(Write, "WRITE 1 c").Err)
	close(session.statements)
	<-session.closed
	assert.Eventually(t, func() bool { return held() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a statement that is refused because the holders have just changed.
func TestFormerHolderDeclines(t *testing.T) {
	t.Parallel()

	h := newCrossing(t)

	var former *fixture

	for _, holder := range h.holders {
		if holder.gateway.options.Name == "h1" {
			former = holder
		}
	}

	former.placed = former.placed[1:]
	former.show()

	session := h.front.connect("latest")

	for range 10 {
		require.NoError(t, session.ask(Write, "WRITE 1 a").Err)
	}

	assert.Len(t, h.front.members["p"].ran, 10)

	// Without holders in the view of a new leader, the former ones stay.
	h.front.gateway.Apply(nil, &managedcontrol.View{Version: managedcontrol.Version{Term: 2}})
	assert.True(t, h.front.gateway.view.Load().holders["g"].remote())
}

// Guards against failures whose kind, and so their promise to the caller, changes between proxies.
func TestFailureKeepsItsKind(t *testing.T) {
	t.Parallel()

	for _, err := range []error{
		nil,
		result.New(result.QueueFull, "no room"),
		&OutcomeError{Outcome: Failed, Detail: "x"},
		&abortedError{result.New(result.NoPrimary, "none")},
		&abortedError{&OutcomeError{Outcome: NotPrimary, Detail: "p"}},
	} {
		sent, received := failureOf(err), (*Failure)(nil)
		require.NoError(t, transcode(sent, &received))
		assert.Equal(t, err, received.Err())
	}
}

// Guards against statements that fail because the one holder that they are sent to is cut off from the primary, while
// another one reaches it. Seen on teranga-postal-grown, trouble-1 (primary_cut).
func TestHolderCutOffFromThePrimary(t *testing.T) {
	t.Parallel()

	for _, kind := range []Kind{Write, Read, Begin} {
		h := newCrossing(t)

		for _, holder := range h.holders {
			if holder.gateway.options.Name == "h1" {
				holder.replace(map[string]*member{"p": {down: true}, "r": {down: true}})
			}
		}

		session := h.front.connect("latest")

		for range 5 {
			if kind == Begin {
				require.NoError(t, session.ask(Begin, "BEGIN").Err)
				require.NoError(t, session.ask(Write, "WRITE 1 a").Err)
				require.NoError(t, session.ask(Commit, "COMMIT").Err)
			} else {
				require.NoError(t, session.ask(kind, "X 1").Err)
			}
		}
	}

	// If no holder reaches it, the last one waits for a takeover.
	h := newCrossing(t)
	for _, holder := range h.holders {
		holder.replace(map[string]*member{"p": {down: true}, "r": {down: true}})
	}

	reply := h.front.connect("latest").ask(Write, "WRITE 1 a")
	// The last thing before the deadline is a wait for a takeover or another attempt to connect.
	assert.Contains(t, []result.Code{result.NoPrimary, result.ServerUnreachable}, result.CodeOf(reply.Err))
	assert.Equal(t, result.RanNo, result.CodeOf(reply.Err).Ran())
	assert.EqualValues(t, 2, h.calls.Load())
}

// Guards against a session that forgets its last commit, and so may read older data, after a failure that the holder has
// no session for.
func TestFailureKeepsTheSessionsPosition(t *testing.T) {
	t.Parallel()

	h := newCrossing(t)
	session := h.front.connect("session")
	require.NoError(t, session.ask(Write, "WRITE 1 a").Err)
	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.ask(Read, "READ 1").Err)

	for _, holder := range h.holders {
		holder.gateway.dismiss(time.Now().Add(time.Minute), false)
	}

	assert.True(t, IsRolledBack(session.ask(Read, "READ 1").Err))
	require.NoError(t, session.ask(Rollback, "ROLLBACK").Err)

	var wrote position.Position

	h.before = func(_ netip.AddrPort, forwarded *Forwarded) error {
		wrote = forwarded.Wrote

		return nil
	}

	require.NoError(t, session.ask(Read, "READ 1").Err)
	assert.Equal(t, position.Position{Term: 1, LSN: 11}, wrote)
}
