package managedproxy

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

// member is a stand-in for a backend server.
type member struct {
	mutex    sync.Mutex
	primary  bool
	position position.Position
	limit    int
	open     int
	dials    int
	// down refuses connections.
	down bool
	// script, if set, answers commands; ok is false to answer as usual.
	script func(command Command) (answer Answer, err error, ok bool)
	ran    []string
}

// link is a connection to a member.
type link struct {
	member   *member
	values   map[string]string
	prepared map[string]bool
	state    State
	closed   bool
}

func (m *member) dial() (Backend, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.dials++

	if m.down {
		return nil, errors.New("connection refused")
	}

	if m.limit > 0 && m.open >= m.limit {
		return nil, &OutcomeError{Outcome: ConnectionLimit}
	}

	m.open++

	return &link{member: m, values: map[string]string{}, prepared: map[string]bool{}}, nil
}

// Run implements Backend.
func (l *link) Run(_ time.Time, commands ...Command) ([]Answer, error) {
	l.member.mutex.Lock()
	defer l.member.mutex.Unlock()

	var answers []Answer

	for _, command := range commands {
		answer, err := l.run(command)
		if err != nil {
			return nil, err
		}

		answer.State = l.state
		answer.Position = l.member.position
		answers = append(answers, answer)
	}

	return answers, nil
}

func (l *link) run(command Command) (Answer, error) {
	if l.member.script != nil {
		if answer, err, ok := l.member.script(command); ok {
			return answer, err
		}
	}

	switch command.Kind {
	case Set:
		l.values[command.Name] = command.Value
	case Reset:
		clear(l.values)
		clear(l.prepared)
	case Prepare:
		l.prepared[command.Prepared] = true
	case Begin, BeginRead:
		if command.Kind == Begin && !l.member.primary {
			return Answer{Outcome: NotPrimary}, nil
		}

		l.state = Open
	case Rollback:
		l.state = Idle
	case Read, Write, Execute, Commit:
		return l.work(command), nil
	default:
	}

	return Answer{}, nil
}

func (l *link) work(command Command) Answer {
	switch {
	case command.Writes && !l.member.primary:
		return Answer{Outcome: NotPrimary}
	case l.member.position.Less(command.After):
		return Answer{Outcome: Behind}
	case command.Kind == Execute && !l.prepared[command.Prepared]:
		return Answer{Outcome: UnknownStatement}
	case command.Kind == Commit:
		l.state = Idle
	}

	if command.Writes {
		l.member.position.LSN++
	}

	l.member.ran = append(l.member.ran, fmt.Sprint(command.ID, " ", command.Text, " ", l.values))

	return Answer{Signature: "signed", Rows: []string{command.Text}}
}

// Alive implements Backend.
func (l *link) Alive() bool {
	return !l.closed
}

// Close implements Backend.
func (l *link) Close() {
	l.member.mutex.Lock()
	defer l.member.mutex.Unlock()

	if !l.closed {
		l.member.open--
	}

	l.closed = true
}

// fixture is a gateway with one group of a primary "p" and a replica "r".
type fixture struct {
	require *require.Assertions
	gateway *Gateway
	members map[string]*member
	now     time.Time
	mutex   sync.Mutex
	version uint64
	group   topology.Group
	// placed are the holders of the group, if not each proxy holds its own connections.
	placed []placement.Proxy
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	f := &fixture{
		require: require.New(t), now: time.Unix(1000, 0), group: topology.Group{Name: "g", Primary: "p"},
		members: map[string]*member{
			"p": {primary: true, position: position.Position{Term: 1, LSN: 10}}, "r": {position: position.Position{Term: 1, LSN: 10}},
		},
	}
	clock := timer.New()
	f.gateway = New(Options{
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(), Timer: clock, Boot: f.boot,
		Dial: func(_ time.Time, server topology.Server) (Backend, error) { return f.member(server.ID).dial() },
	})

	t.Cleanup(func() {
		f.gateway.Close()
		clock.Close()
	})
	f.configure(1)
	f.show()
	f.gateway.Extend(f.now.Add(time.Hour))

	return f
}

func (f *fixture) boot() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.now
}

func (f *fixture) member(id string) *member {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.members[id]
}

// replace replaces the members while the gateway runs.
func (f *fixture) replace(members map[string]*member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.members = members
}

func (f *fixture) pass(duration time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.now = f.now.Add(duration)
}

func (f *fixture) configure(number uint64) {
	pool := func(name string, freshness topology.Freshness) topology.Pool {
		return topology.Pool{
			Name: name, Database: name, Group: "g", Freshness: freshness, MaxAge: time.Second, Timeout: 500 * time.Millisecond,
			Aim: 300 * time.Millisecond, Priority: 2,
		}
	}

	f.gateway.Apply(&topology.Configuration{
		Number: number, Groups: []topology.GroupSettings{{Name: "g", Connections: 10}},
		Pools: []topology.Pool{
			pool("latest", topology.Latest), pool("bounded", topology.Bounded), pool("session", topology.Session),
		},
		Limits: topology.Limits{IdleTransaction: 30 * time.Millisecond},
	}, nil)
}

// show applies a view of the present group.
func (f *fixture) show() {
	f.version++

	var servers []managedcontrol.Server

	for id := range f.members {
		servers = append(servers, managedcontrol.Server{Server: topology.Server{
			ID: id, Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2,
		}})
	}

	view := &managedcontrol.View{
		Version: managedcontrol.Version{Term: 1, Number: f.version}, Groups: []topology.Group{f.group}, Servers: servers, Proxies: 1,
		HoldersKnown: true,
	}
	if f.placed != nil {
		view.Holders = map[string][]placement.Proxy{"g": f.placed}
	}

	f.gateway.Apply(nil, view)
}

// client is a Caller whose statements come from a test.
type client struct {
	database   string
	statements chan Statement
	replies    chan Reply
	rejected   error
	interrupts chan struct{}
	closed     chan struct{}
}

func (f *fixture) connect(database string) *client {
	c := &client{
		database: database, statements: make(chan Statement), replies: make(chan Reply, 1),
		interrupts: make(chan struct{}, 1), closed: make(chan struct{}),
	}

	go f.gateway.Serve(c)

	return c
}

// Login implements Caller.
func (c *client) Login(time.Time) (string, error) { return c.database, nil }

// Welcome implements Caller.
func (c *client) Welcome() error { return nil }

// Reject implements Caller.
func (c *client) Reject(err error) { c.rejected = err }

// Next implements Caller.
func (c *client) Next(deadline time.Time) (Statement, error) {
	var expired <-chan time.Time

	if !deadline.IsZero() {
		expired = time.After(time.Until(deadline))
	}

	select {
	case statement, open := <-c.statements:
		if !open {
			return Statement{}, io.EOF
		}

		return statement, nil
	case <-c.interrupts:
		return Statement{}, ErrInterrupted
	case <-expired:
		return Statement{}, ErrIdle
	}
}

// Reply implements Caller.
func (c *client) Reply(reply Reply) error {
	c.replies <- reply

	return nil
}

// Interrupt implements Caller.
func (c *client) Interrupt() {
	select {
	case c.interrupts <- struct{}{}:
	default:
	}
}

// Close implements Caller.
func (c *client) Close() { close(c.closed) }

func (c *client) ask(kind Kind, text string) Reply {
	return c.send(Statement{ID: "1", Kind: kind, Text: text, Writes: kind == Write})
}

func (c *client) send(statement Statement) Reply {
	c.statements <- statement

	return <-c.replies
}

// Guards against reads that all go to the primary, and against a read on a replica that lacks what it has to hold.
func TestReadsGoWhereTheirFreshnessAllows(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name     string
		database string
		replica  position.LSN
		want     string
	}{
		{"latest", "latest", 10, "p"},
		{"bounded, replica current", "bounded", 10, "r"},
		{"bounded, replica behind", "bounded", 5, "p"},
		{"session, replica current", "session", 10, "r"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			f.members["r"].position.LSN = test.replica
			f.gateway.Observe("g", f.boot(), position.Position{Term: 1, LSN: 10})

			reply := f.connect(test.database).ask(Read, "READ 1")
			require.NoError(t, reply.Err)
			assert.Equal(t, "signed", reply.Signature)
			assert.Len(t, f.members[test.want].ran, 1)
		})
	}
}

// Guards against a session that does not see its own write because a replica serves the read.
func TestSessionSeesItsWrite(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.gateway.Observe("g", f.boot(), position.Position{Term: 1, LSN: 10})

	session := f.connect("session")
	require.NoError(t, session.ask(Write, "WRITE 1 a").Err)
	require.NoError(t, session.ask(Read, "READ 1").Err)
	assert.Len(t, f.members["p"].ran, 2)
	assert.Empty(t, f.members["r"].ran)
}

// Guards against a read of the latest data from a primary that may have been replaced: the lease has run out, for
// example while the VM was suspended.
func TestLatestReadNeedsALease(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.gateway.Extend(f.boot().Add(time.Second))
	session := f.connect("latest")
	require.NoError(t, session.ask(Read, "READ 1").Err)

	f.pass(2 * time.Second)

	reply := session.ask(Read, "READ 1")
	assert.Equal(t, result.Unconfirmed, result.CodeOf(reply.Err))
	assert.NoError(t, session.ask(Write, "WRITE 1 a").Err, "the primary itself refuses writes that it may not take")
	assert.Len(t, f.members["p"].ran, 2)
}

// Guards against an observation from before a suspension that still serves as a floor.
func TestFloorExpires(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.gateway.Observe("g", f.boot(), position.Position{Term: 1, LSN: 10})
	f.gateway.Extend(time.Time{})
	f.pass(2 * time.Second)

	reply := f.connect("bounded").ask(Read, "READ 1")
	assert.Equal(t, result.Unconfirmed, result.CodeOf(reply.Err))
	assert.Empty(t, f.members["r"].ran)
}

// Guards against a write that runs again, or is answered as not run, after its answer was lost.
func TestLostAnswerOfAWrite(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.members["p"].script = func(command Command) (Answer, error, bool) {
		return Answer{}, io.ErrUnexpectedEOF, command.Kind == Write
	}

	reply := f.connect("latest").ask(Write, "WRITE 1 a")
	assert.Equal(t, result.ConnectionLost, result.CodeOf(reply.Err))
	assert.Equal(t, 1, f.members["p"].dials)
}

// Guards against a lost answer of a read that reaches the caller though another server can serve it.
func TestLostAnswerOfARead(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.gateway.Observe("g", f.boot(), position.Position{Term: 1, LSN: 10})
	f.members["r"].script = func(Command) (Answer, error, bool) { return Answer{}, io.ErrUnexpectedEOF, true }

	reply := f.connect("bounded").ask(Read, "READ 1")
	require.NoError(t, reply.Err)
	assert.Len(t, f.members["p"].ran, 1)
}

// Guards against values and prepared statements of one session that another one meets on a shared connection.
func TestSessionsShareAConnection(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	a, b := f.connect("latest"), f.connect("latest")

	a.send(Statement{Kind: Set, Name: "zone", Value: "a"})
	a.send(Statement{Kind: Prepare, Name: "s", Value: "shape1"})
	b.send(Statement{Kind: Prepare, Name: "s", Value: "shape2"})

	for range 2 {
		require.NoError(t, a.send(Statement{ID: "a", Kind: Execute, Name: "s", Text: "EXECUTE s 1"}).Err)
		require.NoError(t, b.send(Statement{ID: "b", Kind: Execute, Name: "s", Text: "EXECUTE s 1"}).Err)
	}

	assert.Equal(t, []string{
		"a EXECUTE s 1 map[zone:a]", "b EXECUTE s 1 map[]", "a EXECUTE s 1 map[zone:a]", "b EXECUTE s 1 map[]",
	}, f.members["p"].ran)
	assert.Equal(t, 1, f.members["p"].dials)

	unknown := b.send(Statement{Kind: Execute, Name: "other"})
	assert.Equal(t, UnknownStatement, outcomeOf(unknown.Err))
}

// Guards against a connection that is opened anew for each transaction that finds no room: on kalasag-reg-grown a
// primary of two slots got 2,422 connections in 16 s, more work than it could do.
func TestCrowdedServerKeepsItsConnections(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	refusals := 3
	f.members["p"].script = func(command Command) (Answer, error, bool) {
		if command.Kind != Begin && command.Kind != Write || refusals == 0 {
			return Answer{}, nil, false
		}

		refusals--

		return Answer{Outcome: Busy}, nil, true
	}

	session := f.connect("latest")
	require.NoError(t, session.ask(Begin, "BEGIN").Err)
	require.NoError(t, session.ask(Write, "WRITE 1 a").Err)
	require.NoError(t, session.ask(Commit, "COMMIT").Err)
	assert.Equal(t, 1, f.members["p"].dials)
	assert.Zero(t, refusals)
}

// Guards against a panic by a pause that overflows after many attempts, which ended 36 proxies on kalasag-reg-grown.
func TestCrowdedDelayIsBounded(t *testing.T) {
	t.Parallel()

	for attempts := range 200 {
		for _, urgent := range []bool{true, false} {
			delay := crowdedDelay(attempts, urgent, 0.999)
			assert.Positive(t, delay)
			assert.LessOrEqual(t, delay, crowdedPauseMost)
		}
	}
}

// Guards against a transaction whose statements reach two servers, and against a commit after a failure.
func TestFailedTransaction(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	session := f.connect("latest")

	require.Equal(t, Open, session.ask(Begin, "BEGIN").State)
	require.NoError(t, session.ask(Write, "WRITE 1 a").Err)

	f.members["p"].script = func(command Command) (Answer, error, bool) {
		return Answer{}, io.ErrUnexpectedEOF, command.Kind == Write
	}

	lost := session.ask(Write, "WRITE 2 b")
	assert.True(t, IsRolledBack(lost.Err))
	assert.Equal(t, Aborted, lost.State)
	assert.Error(t, session.ask(Read, "READ 1").Err)

	end := session.ask(Commit, "COMMIT")
	assert.True(t, IsRolledBack(end.Err))
	assert.Equal(t, Idle, end.State)
	assert.NoError(t, session.ask(Read, "READ 1").Err)
}

// Guards against "not run" in answer to a commit whose outcome is unknown.
func TestLostAnswerOfACommit(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name  string
		write bool
		want  bool
	}{{"wrote", true, false}, {"only read", false, true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			session := f.connect("latest")
			session.ask(Begin, "BEGIN")

			if test.write {
				session.ask(Write, "WRITE 1 a")
			} else {
				session.ask(Read, "READ 1")
			}

			f.members["p"].script = func(command Command) (Answer, error, bool) {
				return Answer{}, io.ErrUnexpectedEOF, command.Kind == Commit
			}

			reply := session.ask(Commit, "COMMIT")
			assert.Equal(t, test.want, IsRolledBack(reply.Err))
			assert.Equal(t, Idle, reply.State)
		})
	}
}

// Guards against a transaction that holds a connection while its caller rests, and against a later commit of it.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	session := f.connect("latest")
	session.ask(Begin, "BEGIN")
	require.NoError(t, session.ask(Write, "WRITE 1 a").Err)

	require.Eventually(t, func() bool { return f.gateway.options.Metrics.Counter("idle_transactions").Count() == 1 },
		5*time.Second, time.Millisecond)
	assert.True(t, IsRolledBack(session.ask(Commit, "COMMIT").Err))
	assert.Len(t, f.members["p"].ran, 1)
}

// Guards against a statement that is refused during a takeover though the new primary comes in time.
func TestStatementWaitsForTheNewPrimary(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.group.Phase = topology.Promoting
	f.show()

	session := f.connect("latest")
	session.statements <- Statement{ID: "1", Kind: Write, Text: "WRITE 1 a", Writes: true}

	f.members["r"].primary = true
	f.group.Phase, f.group.Primary = topology.Stable, "r"
	f.show()

	require.NoError(t, (<-session.replies).Err)
	assert.Len(t, f.members["r"].ran, 1)
}

// Guards against a database that is refused though a newer configuration has it, and an older one that replaces it.
func TestConfigurationsNeverGoBack(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.configure(5)
	f.gateway.Apply(&topology.Configuration{Number: 4}, nil)

	_, number := f.gateway.Applied()
	assert.EqualValues(t, 5, number)

	unknown := f.connect("other")
	<-unknown.closed
	assert.Equal(t, result.PoolUnknown, result.CodeOf(unknown.rejected))
}

// Guards against callers who are sent to a proxy that is cut off from control: in incident eea6 of kalasag-reg, seven
// of twelve proxies refused 407 reads that the others could have served.
func TestReadyNeedsControl(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	assert.True(t, f.gateway.Ready())
	f.pass(readyTime)
	assert.False(t, f.gateway.Ready())
	f.gateway.Extend(f.boot().Add(time.Second))
	assert.True(t, f.gateway.Ready())
}

// Guards against a planned stop that cuts a transaction, or that keeps idle sessions.
func TestCloseIdle(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	idle, busy := f.connect("latest"), f.connect("latest")
	require.NoError(t, idle.ask(Read, "READ 1").Err)
	busy.ask(Begin, "BEGIN")

	f.gateway.Drain()
	assert.False(t, f.gateway.Ready())
	f.gateway.CloseIdle(false)
	<-idle.closed

	require.NoError(t, busy.ask(Write, "WRITE 1 a").Err)
	require.NoError(t, busy.ask(Commit, "COMMIT").Err)
	<-busy.closed
}

// Guards against a caller that is told to come back with a statement which may have run, or can never succeed.
func TestRetryAfter(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		err  error
		want time.Duration
	}{
		{nil, 0},
		{errors.New("unknown"), 0},
		{result.New(result.NoPrimary, "x"), comeBack},
		{result.New(result.ConnectionLost, "x"), 0},
		{result.New(result.PoolUnknown, "x"), 0},
		{result.New(result.Protocol, "x"), 0},
		{result.New(result.TooLarge, "x"), 0},
		{&OutcomeError{Outcome: Busy}, comeBack},
		{&OutcomeError{Outcome: Behind}, 0},
		{&OutcomeError{Outcome: Failed}, 0},
		{&abortedError{result.New(result.NoPrimary, "x")}, 0},
		{&abortedError{&OutcomeError{Outcome: Busy}}, 0},
	} {
		assert.Equal(t, test.want, RetryAfter(test.err), "%v", test.err)
	}
}
