package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/internal/proxy"
	"almondgrade/internal/standin"
	"almondgrade/io/backend"
)

const (
	testTimeout = 30 * time.Second
	groupName   = "g1"
	term        = position.Term(1)
)

// cluster is a group of stand-in servers with proxies in front of it, in one process.
type cluster struct {
	t            testing.TB
	members      []*standin.Member
	admins       []*backend.Admin
	adminMutexes []sync.Mutex
	view         atomic.Pointer[registry.View]
	proxies      map[string]*runningProxy

	configurationUnconfirmed atomic.Bool
	// confirmFailure is the error of ConfirmCommits, if it is set.
	confirmFailure     atomic.Pointer[result.Error]
	barrierCalls       atomic.Int64
	confirmCalls       atomic.Int64
	forwardCancelCalls atomic.Int64
	reportFailureCalls atomic.Int64
	slotCalls          atomic.Int64
	slots              []chan struct{}
	connections        []chan struct{}
}

// runningProxy is one proxy.
type runningProxy struct {
	*proxy.Server
	name    string
	address string
	metrics metrics.Registry
	done    chan error
}

type options struct {
	replicas    int
	slots       int
	connections int
	callerLimit int
	lag         time.Duration
	traffic     []settings.TrafficRule
	users       map[string]settings.User
	timing      func(*settings.Timing)
	proxies     []string
	// scripts are scripted servers to use instead of the stand-ins.
	scripts []*scriptedServer
	// relay returns the address at which the proxies reach a stand-in, if it is set.
	relay func(server netip.AddrPort) netip.AddrPort
}

func testContext(t testing.TB) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)

	return ctx
}

func memberName(i int) string { return fmt.Sprintf("db%d", i) }

// newCluster starts a primary, replicas that follow it, and proxies.
func newCluster(t testing.TB, o options) *cluster {
	t.Helper()

	if o.slots == 0 {
		o.slots = 5
	}

	if o.connections == 0 {
		o.connections = 30
	}

	if o.proxies == nil {
		o.proxies = []string{"p1"}
	}

	if o.users == nil {
		o.users = map[string]settings.User{"app": {}}
	}

	c := &cluster{t: t, proxies: make(map[string]*runningProxy)}
	view := &registry.View{
		Version: 1, ConfigurationNumber: 1, Running: settings.Defaults(),
		Groups: map[string]registry.Group{}, Servers: map[string]registry.Server{}, Proxies: map[string]registry.Proxy{},
	}
	view.Running.Users = o.users
	view.Running.Backend = settings.BackendLogin{User: "almondgrade"}
	view.Running.Pools = map[string]settings.Pool{
		"app": {Groups: []string{groupName}, Database: "app", Traffic: o.traffic},
		"two": {Groups: []string{groupName, "g2"}, Database: "app"},
	}

	if o.timing != nil {
		o.timing(&view.Running.Timing)
	}

	group := registry.Group{
		Name: groupName, Term: term, Primary: memberName(0), Phase: registry.PhaseStable,
		History: position.NewHistory(position.TermBegin{Term: term}),
	}

	for i, scripted := range o.scripts {
		c.addServer(view, &group, o, i, scripted.address())
	}

	for i := range o.replicas + 1 {
		if o.scripts != nil {
			break
		}

		member, err := standin.New(standin.Options{
			Name: memberName(i), Group: groupName, Primary: i == 0, ConnectCost: -1, StatementCost: -1,
			ReceiveDelay: time.Millisecond, Lag: max(o.lag, time.Millisecond), Slots: o.slots, Connections: o.connections + 5,
		})
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, member.Close()) })

		admin, err := backend.OpenAdmin(testContext(t), member.Addr(), backend.Login{User: "almondgrade", Database: "app"}, "ag/fake/monitor")
		require.NoError(t, err)
		t.Cleanup(admin.Close)

		if i == 0 {
			require.NoError(t, admin.SetTerm(testContext(t), memberName(0), term))
		} else {
			require.NoError(t, admin.Attach(testContext(t), memberName(i), term, c.members[0].Addr()))
		}

		c.members, c.admins = append(c.members, member), append(c.admins, admin)

		address := member.Addr()
		if o.relay != nil {
			address = o.relay(address)
		}

		c.addServer(view, &group, o, i, address)
	}

	c.adminMutexes = make([]sync.Mutex, len(c.slots))
	view.Groups[groupName] = group

	for i, name := range o.proxies {
		view.Proxies[name] = registry.Proxy{Name: name, Number: uint32(i + 7)}
	}

	c.view.Store(view)

	for _, name := range o.proxies {
		c.startProxy(name, o.callerLimit)
	}

	return c
}

func (c *cluster) addServer(view *registry.View, group *registry.Group, o options, i int, address netip.AddrPort) {
	c.slots = append(c.slots, make(chan struct{}, o.slots))
	c.connections = append(c.connections, make(chan struct{}, o.connections))
	group.Members = append(group.Members, memberName(i))
	view.Servers[memberName(i)] = registry.Server{
		Name: memberName(i), Group: groupName, Address: address, Identity: "disk", Incarnation: 1,
		Slots: o.slots, Connections: o.connections, Recovery: i > 0,
	}
}

func (c *cluster) startProxy(name string, limit int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)

	registry := metrics.NewRegistry()
	server := proxy.NewServer(proxy.Options{
		Coordination: &fakeCoordination{cluster: c}, Name: name, Listener: listener, Metrics: registry, CallerLimit: limit,
	})
	started := &runningProxy{Server: server, name: name, address: listener.Addr().String(), metrics: registry, done: make(chan error, 1)}
	c.proxies[name] = started

	ctx, cancel := context.WithCancel(context.Background())

	go func() { started.done <- server.Serve(ctx) }()

	c.t.Cleanup(func() {
		cancel()
		assert.NoError(c.t, <-started.done)
	})
}

// changeView publishes an edited copy of the view.
func (c *cluster) changeView(edit func(view *registry.View)) {
	next := *c.view.Load()
	next.Version++
	groups := make(map[string]registry.Group)

	for name, group := range next.Groups {
		groups[name] = group
	}

	servers := make(map[string]registry.Server)

	for name, server := range next.Servers {
		servers[name] = server
	}

	next.Groups, next.Servers = groups, servers
	edit(&next)
	c.view.Store(&next)
}

func (r *runningProxy) count(name string) int64 {
	if counter, ok := r.metrics.Get(name).(metrics.Counter); ok {
		return counter.Count()
	}

	return 0
}

func (c *cluster) url(proxy, extra string) string {
	return "postgres://app@" + c.proxies[proxy].address + "/app?sslmode=disable" + extra
}

func (c *cluster) connect(proxy, extra string) *pgx.Conn {
	c.t.Helper()

	conn, err := pgx.Connect(testContext(c.t), c.url(proxy, extra))
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close(testContext(c.t)) })

	return conn
}

func (c *cluster) exec(conn *pgx.Conn, sql string, args ...any) {
	c.t.Helper()

	_, err := conn.Exec(testContext(c.t), sql, args...)
	require.NoError(c.t, err, sql)
}

func queryValue[T any](t testing.TB, conn *pgx.Conn, sql string, args ...any) T {
	t.Helper()

	var value T
	require.NoError(t, conn.QueryRow(testContext(t), sql, args...).Scan(&value), sql)

	return value
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, 2*time.Millisecond, what)
}

func stateOf(err error) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}

	return ""
}

// codeOf returns the code at the beginning of an error's message, such as 1402, or an empty string.
func codeOf(err error) string {
	var failure *pgconn.PgError
	if !errors.As(err, &failure) || !strings.HasPrefix(failure.Message, "AG") {
		return ""
	}

	code, _, _ := strings.Cut(failure.Message[2:], ":")

	return code
}

// fakeCoordination is a Coordination that queries the stand-ins directly.
type fakeCoordination struct {
	cluster *cluster
}

func (f *fakeCoordination) View() *registry.View { return f.cluster.view.Load() }

func (f *fakeCoordination) ConfigurationConfirmed() bool {
	return !f.cluster.configurationUnconfirmed.Load()
}

func (f *fakeCoordination) observe(ctx context.Context, i int) (backend.Observation, error) {
	if f.cluster.admins == nil {
		return backend.Observation{InsertLSN: scriptLSN, ReplayedLSN: scriptLSN}, nil
	}

	f.cluster.adminMutexes[i].Lock()
	defer f.cluster.adminMutexes[i].Unlock()

	return f.cluster.admins[i].Observe(ctx)
}

func (f *fakeCoordination) Barrier(ctx context.Context, group string) (proxy.Barrier, error) {
	f.cluster.barrierCalls.Add(1)

	observed, err := f.observe(ctx, 0)
	if err != nil {
		return proxy.Barrier{}, result.New(result.NoPrimary, "barrier: %w", err)
	}

	return proxy.Barrier{
		Position:     position.Position{Term: term, LSN: observed.InsertLSN},
		Observations: f.Observations(group),
	}, nil
}

func (f *fakeCoordination) Observations(string) []proxy.Observation {
	var observations []proxy.Observation

	for i := range f.cluster.slots {
		observed, err := f.observe(context.Background(), i)
		observations = append(observations, proxy.Observation{
			Server: memberName(i), Reachable: err == nil, At: time.Now(),
			Replayed: position.Position{Term: term, LSN: observed.ReplayedLSN},
		})
	}

	return observations
}

func (f *fakeCoordination) ConfirmCommits(ctx context.Context, _ string, commitTerm position.Term, _ bool) (position.Position, error) {
	f.cluster.confirmCalls.Add(1)

	if failure := f.cluster.confirmFailure.Load(); failure != nil {
		return position.Position{}, failure
	}

	want, err := f.observe(ctx, 0)
	if err != nil {
		return position.Position{}, result.New(result.NotConfirmed, "confirm: %w", err)
	}

	quorum := len(f.cluster.members)/2 + 1

	for {
		observed, err := f.observe(ctx, 0)
		if err != nil {
			return position.Position{}, result.New(result.NotConfirmed, "confirm: %w", err)
		}

		count := 1

		for _, follower := range observed.Followers {
			if follower.FlushedLSN >= want.InsertLSN {
				count++
			}
		}

		if count >= quorum || f.cluster.admins == nil {
			return position.Position{Term: commitTerm, LSN: want.InsertLSN}, nil
		}

		select {
		case <-ctx.Done():
			return position.Position{}, result.New(result.NotConfirmed, "confirm: %w", ctx.Err())
		case <-time.After(time.Millisecond):
		}
	}
}

type permit struct {
	once    sync.Once
	permits chan struct{}
}

func (p *permit) Release() { p.once.Do(func() { <-p.permits }) }

func (f *fakeCoordination) acquire(ctx context.Context, permits []chan struct{}, server string) (proxy.Permit, error) {
	var index int
	if _, err := fmt.Sscanf(server, "db%d", &index); err != nil {
		return nil, err
	}

	select {
	case permits[index] <- struct{}{}:
		return &permit{permits: permits[index]}, nil
	case <-ctx.Done():
		return nil, result.New(result.NoPermit, "no permit became free in time")
	}
}

func (f *fakeCoordination) AcquireConnection(ctx context.Context, server string, _ bool) (proxy.Permit, error) {
	return f.acquire(ctx, f.cluster.connections, server)
}

func (f *fakeCoordination) AcquireSlot(ctx context.Context, server string, _ bool) (proxy.Permit, error) {
	f.cluster.slotCalls.Add(1)

	return f.acquire(ctx, f.cluster.slots, server)
}

func (f *fakeCoordination) ReportFailure(string) { f.cluster.reportFailureCalls.Add(1) }

func (f *fakeCoordination) ForwardCancel(ctx context.Context, process uint32, secret []byte) error {
	f.cluster.forwardCancelCalls.Add(1)

	for name, known := range f.cluster.view.Load().Proxies {
		if known.Number == process>>16 {
			f.cluster.proxies[name].Cancel(ctx, process, secret)
		}
	}

	return nil
}

func (c *cluster) setPrimaryLeaving(leaving bool) {
	c.changeView(func(view *registry.View) {
		server := view.Servers[memberName(0)]
		server.Leaving = leaving
		view.Servers[memberName(0)] = server
	})
}

// takeAllPermits takes all permits, releaseAllPermits returns them.
func (c *cluster) takeAllPermits(permits chan struct{}) {
	for range cap(permits) {
		permits <- struct{}{}
	}
}

func (c *cluster) releaseAllPermits(permits chan struct{}) {
	for range cap(permits) {
		<-permits
	}
}

func connectError(t testing.TB, url string) error {
	t.Helper()

	conn, err := pgx.Connect(testContext(t), url)
	if err == nil {
		_ = conn.Close(testContext(t))
	}

	require.Error(t, err)

	return err
}

// copyAll copies up to the end of the connection; a reset counts as the end.
func copyAll(to io.Writer, from io.Reader) (int64, error) {
	n, err := io.Copy(to, from)
	if errors.Is(err, syscall.ECONNRESET) {
		err = nil
	}

	return n, err
}
