package managedcontroller

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/share"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/consensus"
	"almondgrade/internal/managedproxy"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

// soloLog is a log of one member that always leads, unless it is cut off.
type soloLog struct {
	mutex sync.Mutex
	state *topology.State
	index uint64
	cut   bool
	// outside is true for a process that was replaced in the log, which tells it nothing.
	outside bool
	changed chan struct{}
}

// Propose implements Log.
func (l *soloLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.cut {
		return nil, result.New(result.NoQuorum, "cut off")
	}

	l.index++

	return l.state.Apply(l.index, command), nil
}

// Confirm implements Log.
func (l *soloLog) Confirm(context.Context) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.cut {
		return 0, result.New(result.NoQuorum, "cut off")
	}

	return l.index, nil
}

// Leader implements Log.
func (l *soloLog) Leader() (string, netip.AddrPort, bool) { return "a", netip.AddrPort{}, !l.outside }

// Changed implements Log.
func (l *soloLog) Changed() <-chan struct{} { return l.changed }

// Seek implements Log.
func (l *soloLog) Seek(context.Context, []netip.AddrPort) error { return nil }

// Status implements Log.
func (l *soloLog) Status() consensus.Status { return consensus.Status{Term: 7} }

// servers are stand-ins for backend servers, asked over managedproxy.Backend.
type servers struct {
	mutex   sync.Mutex
	primary string
	held    map[string]position.LSN
	down    map[string]bool
	// terms are the newest terms that the servers know, and busy those that have no room to say anything.
	terms  map[string]position.Term
	busy   map[string]bool
	orders []Order
	// outcomes are the answers to the next orders; late orders are carried out without an answer.
	outcomes []Promotion
	late     bool
	// cut is a former primary that was cut off from the group.
	cut string
}

type probeConn struct {
	servers *servers
	id      string
}

func (s *servers) dial(_ time.Time, server topology.Server) (managedproxy.Backend, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.down[server.ID] {
		return nil, &managedproxy.OutcomeError{Outcome: managedproxy.WrongServer}
	}

	return &probeConn{servers: s, id: server.ID}, nil
}

// Run implements managedproxy.Backend.
func (p *probeConn) Run(time.Time, ...managedproxy.Command) ([]managedproxy.Answer, error) {
	p.servers.mutex.Lock()
	defer p.servers.mutex.Unlock()

	if p.servers.down[p.id] {
		return nil, &managedproxy.OutcomeError{Outcome: managedproxy.WrongServer}
	}

	if p.servers.busy[p.id] {
		return []managedproxy.Answer{{Outcome: managedproxy.Busy}}, nil
	}

	return []managedproxy.Answer{{Status: &managedproxy.ServerStatus{
		Primary: p.servers.claims(p.id), Term: p.servers.terms[p.id],
		Received: position.Position{Term: 1, LSN: p.servers.held[p.id]},
	}}}, nil
}

// Alive implements managedproxy.Backend.
func (p *probeConn) Alive() bool { return true }

// Close implements managedproxy.Backend.
func (p *probeConn) Close() {}

func (s *servers) promote(_ context.Context, order Order) (Promotion, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.orders = append(s.orders, order)
	outcome := Accepted

	if len(s.outcomes) > 0 {
		outcome, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}

	if outcome == Accepted || outcome == Unanswered && s.late {
		s.lead(order.Server)
	}

	return outcome, nil
}

// lead makes a server lead the next term, of which those that are down don't hear.
func (s *servers) lead(id string) {
	next := s.terms[s.primary] + 1
	s.primary = id

	for other := range s.terms {
		if !s.down[other] {
			s.terms[other] = next
		}
	}
}

// claims reports whether a server takes itself for the primary: a former one that was cut off goes on doing so.
func (s *servers) claims(id string) bool {
	return s.primary == id || s.cut == id
}

func (s *servers) given() []Order {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return append([]Order(nil), s.orders...)
}

type fixture struct {
	t          *testing.T
	log        *soloLog
	servers    *servers
	controller *Controller
	sequence   uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	state := topology.NewState()
	f := &fixture{
		t: t, log: &soloLog{state: state, changed: make(chan struct{})},
		servers: &servers{primary: "a", held: map[string]position.LSN{"a": 9, "b": 5, "c": 7}, down: map[string]bool{},
			terms: map[string]position.Term{"a": 1, "b": 1, "c": 1}, busy: map[string]bool{}},
	}
	clock := timer.New()
	f.controller = New(Options{
		Name: "control", Log: f.log, State: state, Promote: f.servers.promote, Dial: f.servers.dial, Timer: clock,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(), Announce: time.Hour,
	})

	t.Cleanup(func() {
		f.controller.Close()
		clock.Close()
	})

	require.Eventually(t, func() bool { return f.controller.leadership() != nil }, 10*time.Second, time.Millisecond)

	for _, id := range []string{"a", "b", "c"} {
		f.announce(id, func(*topology.Server) {})
	}

	f.deliver(&managedcontrol.DeliverRequest{Configure: &topology.Configuration{
		Number: 1, Groups: []topology.GroupSettings{{Name: "g", Connections: 12}}, Document: []byte("{}"),
	}})

	return f
}

func (f *fixture) announce(id string, change func(*topology.Server)) {
	f.t.Helper()

	f.sequence++
	server := topology.Server{
		ID: id, Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 2, Sequence: f.sequence, Claims: id == "a",
	}
	change(&server)
	f.deliver(&managedcontrol.DeliverRequest{Announce: &server})
}

func (f *fixture) deliver(delivery *managedcontrol.DeliverRequest) {
	f.t.Helper()

	receipt, err := f.controller.Deliver(f.t.Context(), delivery)
	require.NoError(f.t, err)
	require.NoError(f.t, receipt.Err())
}

func (f *fixture) group() topology.Group {
	return f.log.state.View().Groups["g"]
}

func (f *fixture) awaitPrimary(id string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		group := f.group()

		return group.Primary == id && group.Phase == topology.Stable
	}, 30*time.Second, time.Millisecond)
}

// Guards against a takeover that takes the wrong server, gives more than one order, or reuses a token.
func TestDeadPrimaryIsReplaced(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name     string
		outcomes []Promotion
		late     bool
		orders   int
	}{
		{"accepted", nil, false, 1},
		{"rejected once", []Promotion{Rejected}, false, 2},
		{"carried out without an answer", []Promotion{Unanswered}, true, 1},
		{"never carried out", []Promotion{Unanswered}, false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			f.awaitPrimary("a")

			f.servers.mutex.Lock()
			f.servers.outcomes, f.servers.late = test.outcomes, test.late
			f.servers.down["a"] = true
			f.servers.mutex.Unlock()

			f.awaitPrimary("c")

			orders := f.servers.given()
			require.Len(t, orders, test.orders)

			for i, order := range orders {
				assert.Equal(t, "c", order.Server, "the replica that has received the most")

				if i > 0 {
					assert.Greater(t, order.Token, orders[i-1].Token)
				}
			}
		})
	}
}

// Guards against an order while a proxy still reads from the former primary.
func TestOrderWaitsForProxies(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	request := &managedcontrol.SyncRequest{Proxy: "p", Instance: 1}
	sync := func() *managedcontrol.SyncReply {
		reply, err := f.controller.Sync(t.Context(), request)
		require.NoError(t, err)

		if reply.View != nil {
			request.AppliedVersion = reply.View.Version
		}

		return reply
	}

	require.Positive(t, sync().Lease)

	f.servers.mutex.Lock()
	f.servers.down["a"] = true
	f.servers.mutex.Unlock()

	require.Eventually(t, func() bool { return f.group().Phase == topology.Fencing }, 20*time.Second, time.Millisecond)

	reply := sync()
	require.Equal(t, topology.Fencing, reply.View.Groups[0].Phase)
	assert.Empty(t, f.servers.given(), "the proxy has not said that it has applied the view")
	sync()
	f.awaitPrimary("c")
}

// Guards against a primary that leaves and is replaced only once it is gone, or by a server that leaves as well.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	f.servers.mutex.Lock()
	f.servers.held["b"], f.servers.held["c"] = 9, 9
	f.servers.mutex.Unlock()

	f.announce("b", func(server *topology.Server) { server.Leaving = true })
	f.announce("a", func(server *topology.Server) { server.Leaving = true })
	f.awaitPrimary("c")
}

// Guards against a leader that is cut off and grants leases, or returns a configuration as the newest.
func TestCutOffLeader(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.log.mutex.Lock()
	f.log.cut = true
	f.log.mutex.Unlock()

	receipt, err := f.controller.Deliver(t.Context(), &managedcontrol.DeliverRequest{Read: true})
	require.NoError(t, err)
	assert.Equal(t, result.NoQuorum, receipt.Code)
	assert.Nil(t, receipt.Configuration)

	request := &managedcontrol.SyncRequest{Proxy: "p", Instance: 1}

	require.Eventually(t, func() bool {
		reply, err := f.controller.Sync(t.Context(), request)
		require.NoError(t, err)

		return reply.Lease <= 0
	}, 30*time.Second, time.Millisecond, "leases must end with the last proof of leadership")
}

// Guards against a server that comes back by an announcement which was delayed until after its end.
func TestLateAnnouncement(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")
	f.deliver(&managedcontrol.DeliverRequest{Withdraw: "b"})
	assert.NotContains(t, f.log.state.View().Servers, "b")

	f.sequence = 1
	f.announce("b", func(*topology.Server) {})
	assert.NotContains(t, f.log.state.View().Servers, "b")

	f.sequence = 100
	f.announce("b", func(*topology.Server) {})
	assert.Contains(t, f.log.state.View().Servers, "b")
}

// Guards against connections that are granted beyond the operator's limit, and against positions that look younger than
// they are.
func TestSyncReply(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	sum := 0

	for _, name := range []string{"p", "q", "r"} {
		reply, err := f.controller.Sync(t.Context(), &managedcontrol.SyncRequest{
			Proxy: name, Instance: 1, Demands: map[string]share.Demand{"a": {Open: 1, Wanted: 20}, "unknown": {Wanted: 1}},
		})
		require.NoError(t, err)
		assert.EqualValues(t, 1, reply.Configuration.Number)
		assert.Empty(t, reply.Configuration.Document)
		assert.NotContains(t, reply.ConnectionLimits, "unknown")

		sum += max(1, reply.ConnectionLimits["a"])
	}

	assert.LessOrEqual(t, sum, 12+2)

	began := time.Now()

	require.Eventually(t, func() bool {
		reply, err := f.controller.Sync(t.Context(), &managedcontrol.SyncRequest{Proxy: "p", Instance: 1})
		require.NoError(t, err)

		seen, known := reply.Positions["g"]

		return known && seen.Position.LSN == 9 && seen.Age > 0 && seen.Age < time.Since(began)+positionTime
	}, 10*time.Second, time.Millisecond)
}

// Guards against a former primary that was cut off during a takeover and is promoted in the next one because it says that
// it leads, or because it has the highest position. Seen on teranga-postal-grown, trouble-1: reads at the primary between
// the two lacked commits which came back.
func TestFormerPrimaryIsNotPromoted(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name string
		cut  string
	}{
		{"takes itself for the primary", "a"},
		{"has become a replica", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			f.awaitPrimary("a")

			f.servers.mutex.Lock()
			f.servers.down["a"] = true
			f.servers.mutex.Unlock()
			f.awaitPrimary("c")

			f.servers.mutex.Lock()
			f.servers.cut, f.servers.down["a"], f.servers.down["c"] = test.cut, false, true
			f.servers.mutex.Unlock()
			f.awaitPrimary("b")
		})
	}
}

// Guards against a replica that is promoted without knowing its position, because it had no room to tell it. Seen on
// teranga-postal-grown, trouble-1, where servers were over their connection limit.
func TestReplicaOfUnknownPositionIsNotPromoted(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	f.servers.mutex.Lock()
	f.servers.down["a"], f.servers.busy["b"], f.servers.busy["c"] = true, true, true
	f.servers.mutex.Unlock()

	require.Eventually(t, func() bool { return f.group().Phase == topology.Fencing }, 20*time.Second, time.Millisecond)

	// The only server that tells its position is taken, though another one may be ahead.
	f.servers.mutex.Lock()
	f.servers.busy["b"] = false
	f.servers.mutex.Unlock()
	f.awaitPrimary("b")

	for _, order := range f.servers.given() {
		assert.Equal(t, "b", order.Server)
	}
}

// Guards against a takeover that never ends, and so repeats its order, because the new primary has no room to answer a
// probe. Seen on teranga-postal-grown, trouble-1: seven promotions of one group in 30 s.
func TestPrimaryWithoutRoomIsRecognized(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	f.servers.mutex.Lock()
	f.servers.down["a"] = true
	f.servers.mutex.Unlock()

	require.Eventually(t, func() bool {
		f.servers.mutex.Lock()
		defer f.servers.mutex.Unlock()

		f.servers.busy["c"] = len(f.servers.orders) > 0

		return f.servers.busy["c"]
	}, 20*time.Second, time.Millisecond)

	f.announce("c", func(server *topology.Server) { server.Claims = true })
	f.awaitPrimary("c")
	assert.Len(t, f.servers.given(), 1)
}

// Guards against a takeover that waits for the lease of a frozen proxy which forwards the group's statements to others and
// so reads nothing from the former primary; and against one that does not wait for a former holder.
func TestTakeoverWaitsForHoldersOnly(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	f.awaitPrimary("a")

	names := []string{"p", "q", "r", "s", "t", "u"}
	requests := make(map[string]*managedcontrol.SyncRequest)

	sync := func(name string) {
		request := requests[name]
		reply, err := f.controller.Sync(t.Context(), request)
		require.NoError(t, err)

		if reply.View != nil {
			request.AppliedVersion = reply.View.Version
		}
	}

	for i, name := range names {
		requests[name] = &managedcontrol.SyncRequest{
			Proxy: name, Instance: 1, Centre: "x", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.1.1"), uint16(i+1)),
		}
	}

	l := f.controller.leadership()
	view := func() managedcontrol.View {
		l.mutex.Lock()
		defer l.mutex.Unlock()

		return l.view
	}

	var pending []string

	require.Eventually(t, func() bool {
		for _, name := range names {
			sync(name)
		}

		pending = l.pending(time.Now(), "g", view().Version.Number+1)

		return len(view().Holders["g"]) == 2 && len(pending) == 2
	}, 20*time.Second, time.Millisecond, "only the holders use the servers")

	former := pending[0]
	requests[former].Leaving = true

	sync(former)
	require.Eventually(t, func() bool {
		for _, name := range names {
			if name != former {
				sync(name)
			}
		}

		return !named(view().Holders["g"], former)
	}, 20*time.Second, time.Millisecond)
	assert.Contains(t, l.pending(time.Now(), "g", view().Version.Number+1), former, "it has not applied the view without it")
}

// Guards against a control process that answers no call for good because it was replaced in the log while it was away.
// Seen on kalasag-reg-grown, trouble-2: eight control processes, seven members of the log.
func TestProcessOutsideTheLogPassesCallsOn(t *testing.T) {
	t.Parallel()

	leading := newFixture(t)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := grpc.NewServer()
	managedcontrol.Register(server, leading.controller)

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(server.Stop)

	client := managedcontrol.NewClient(managedcontrol.ClientOptions{
		Seeds: []netip.AddrPort{netip.MustParseAddrPort(listener.Addr().String())}, Logger: slog.New(slog.DiscardHandler),
		Dial: func(to netip.AddrPort) (*grpc.ClientConn, error) {
			return grpc.NewClient("passthrough:///"+to.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		},
	})
	defer client.Close()

	clock := timer.New()
	defer clock.Close()

	outside := New(Options{
		Log: &soloLog{outside: true, changed: make(chan struct{})}, State: topology.NewState(), Timer: clock,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.New(), Client: client,
	})
	defer outside.Close()

	receipt, err := outside.Carry(t.Context(), &managedcontrol.DeliverRequest{Read: true})
	require.NoError(t, err)
	assert.Equal(t, []byte("{}"), receipt.Configuration.Document)
}

// Guards against a connection for every proxy after a restart of all, because the new leader has heard from few of them
// when it chooses: on teranga-postal-grown, 89 proxies opened connections to servers that accept 56.
func TestNewLeaderWaitsForProxies(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	l := f.controller.leadership()
	now := time.Now()
	state := *f.log.state.View()
	state.Proxies = 20

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.began, l.counted, l.fewer = now, now, now
	known := peer{at: now.Add(placeTime), proxy: placement.Proxy{Name: "p", Centre: "x"}}
	l.peers = map[string]peer{"p": known}

	placed, holders := l.place(now, &state)
	assert.False(t, placed)
	assert.Empty(t, holders)

	placed, holders = l.place(now.Add(placeTime), &state)
	assert.True(t, placed)
	assert.Equal(t, []placement.Proxy{known.proxy}, holders["g"])

	// Where all can have connections of their own, nobody has to wait.
	state.Proxies = 4
	placed, holders = l.place(now, &state)
	assert.True(t, placed)
	assert.Empty(t, holders)
}
