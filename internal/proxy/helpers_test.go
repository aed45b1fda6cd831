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
	patience  = 30 * time.Second
	groupName = "g1"
	term      = position.Term(1)
)

// cluster is a group of stand-ins with proxies in front of it, in one process.
type cluster struct {
	t       testing.TB
	members []*standin.Member
	admins  []*backend.Admin
	mu      []sync.Mutex
	view    atomic.Pointer[registry.View]
	proxies map[string]*running

	unconfirmed atomic.Bool
	// confirmError replaces the answer of Confirm, barrierError that of Barrier.
	confirmError atomic.Pointer[result.Error]
	barriers     atomic.Int64
	confirms     atomic.Int64
	forwards     atomic.Int64
	failures     atomic.Int64
	slots        []chan struct{}
	connections  []chan struct{}
}

// running is one proxy.
type running struct {
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
	limit       int
	lag         time.Duration
	traffic     []settings.Traffic
	users       map[string]settings.User
	timing      func(*settings.Timing)
	proxies     []string
	// scripts are servers that take the place of the stand-ins.
	scripts []*script
}

func context30(t testing.TB) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)

	return ctx
}

func memberName(i int) string { return fmt.Sprintf("db%d", i) }

// newCluster starts a primary, replicas that are attached to it, and proxies.
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

	c := &cluster{t: t, proxies: make(map[string]*running)}
	view := &registry.View{
		Version: 1, Configuration: 1, Running: settings.Defaults(),
		Groups: map[string]registry.Group{}, Servers: map[string]registry.Server{}, Proxies: map[string]registry.Proxy{},
	}
	view.Running.Users = o.users
	view.Running.Backend = settings.Login{User: "almondgrade"}
	view.Running.Pools = map[string]settings.Pool{
		"app": {Groups: []string{groupName}, Database: "app", Traffic: o.traffic},
		"two": {Groups: []string{groupName, "g2"}, Database: "app"},
	}

	if o.timing != nil {
		o.timing(&view.Running.Timing)
	}

	group := registry.Group{
		Name: groupName, Term: term, Primary: memberName(0), Phase: registry.PhaseStable,
		History: position.NewHistory(position.Begin{Term: term}),
	}

	for i, one := range o.scripts {
		c.add(view, &group, o, i, one.address())
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

		admin, err := backend.OpenAdmin(context30(t), member.Addr(), backend.Login{User: "almondgrade", Database: "app"}, "ag/fake/monitor")
		require.NoError(t, err)
		t.Cleanup(admin.Close)

		if i == 0 {
			require.NoError(t, admin.SetTerm(context30(t), memberName(0), term))
		} else {
			require.NoError(t, admin.Attach(context30(t), memberName(i), term, c.members[0].Addr()))
		}

		c.members, c.admins = append(c.members, member), append(c.admins, admin)
		c.add(view, &group, o, i, member.Addr())
	}

	c.mu = make([]sync.Mutex, len(c.slots))
	view.Groups[groupName] = group

	for i, name := range o.proxies {
		view.Proxies[name] = registry.Proxy{Name: name, Number: uint32(i + 7)}
	}

	c.view.Store(view)

	for _, name := range o.proxies {
		c.startProxy(name, o.limit)
	}

	return c
}

func (c *cluster) add(view *registry.View, group *registry.Group, o options, i int, address netip.AddrPort) {
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
		Coordination: &fake{cluster: c}, Name: name, Listener: listener, Metrics: registry, CallerLimit: limit,
	})
	one := &running{Server: server, name: name, address: listener.Addr().String(), metrics: registry, done: make(chan error, 1)}
	c.proxies[name] = one

	ctx, cancel := context.WithCancel(context.Background())

	go func() { one.done <- server.Serve(ctx) }()

	c.t.Cleanup(func() {
		cancel()
		assert.NoError(c.t, <-one.done)
	})
}

// change replaces the view.
func (c *cluster) change(edit func(view *registry.View)) {
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

func (r *running) count(name string) int64 {
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

	conn, err := pgx.Connect(context30(c.t), c.url(proxy, extra))
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close(context30(c.t)) })

	return conn
}

func (c *cluster) exec(conn *pgx.Conn, sql string, args ...any) {
	c.t.Helper()

	_, err := conn.Exec(context30(c.t), sql, args...)
	require.NoError(c.t, err, sql)
}

func query[T any](t testing.TB, conn *pgx.Conn, sql string, args ...any) T {
	t.Helper()

	var value T
	require.NoError(t, conn.QueryRow(context30(t), sql, args...).Scan(&value), sql)

	return value
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, 2*time.Millisecond, what)
}

func stateOf(err error) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}

	return ""
}

// codeOf returns the number in front of an error's message, such as 1402.
func codeOf(err error) string {
	var failure *pgconn.PgError
	if !errors.As(err, &failure) || !strings.HasPrefix(failure.Message, "AG") {
		return ""
	}

	code, _, _ := strings.Cut(failure.Message[2:], ":")

	return code
}

// fake is a Coordination that asks the stand-ins itself.
type fake struct {
	cluster *cluster
}

func (f *fake) View() *registry.View { return f.cluster.view.Load() }

func (f *fake) Confirmed() bool { return !f.cluster.unconfirmed.Load() }

func (f *fake) observe(ctx context.Context, i int) (backend.Observation, error) {
	if f.cluster.admins == nil {
		return backend.Observation{InsertLSN: scriptLSN, ReplayedLSN: scriptLSN}, nil
	}

	f.cluster.mu[i].Lock()
	defer f.cluster.mu[i].Unlock()

	return f.cluster.admins[i].Observe(ctx)
}

func (f *fake) Barrier(ctx context.Context, group string) (proxy.Barrier, error) {
	f.cluster.barriers.Add(1)

	seen, err := f.observe(ctx, 0)
	if err != nil {
		return proxy.Barrier{}, result.New(result.NoPrimary, "barrier: %w", err)
	}

	return proxy.Barrier{
		Position:     position.Position{Term: term, LSN: seen.InsertLSN},
		Observations: f.Observations(group),
	}, nil
}

func (f *fake) Observations(string) []proxy.Observation {
	var observations []proxy.Observation

	for i := range f.cluster.slots {
		seen, err := f.observe(context.Background(), i)
		observations = append(observations, proxy.Observation{
			Server: memberName(i), Reachable: err == nil, At: time.Now(),
			Replayed: position.Position{Term: term, LSN: seen.ReplayedLSN},
		})
	}

	return observations
}

func (f *fake) Confirm(ctx context.Context, _ string, of position.Term, _ bool) (position.Position, error) {
	f.cluster.confirms.Add(1)

	if failure := f.cluster.confirmError.Load(); failure != nil {
		return position.Position{}, failure
	}

	want, err := f.observe(ctx, 0)
	if err != nil {
		return position.Position{}, result.New(result.NotConfirmed, "confirm: %w", err)
	}

	quorum := len(f.cluster.members)/2 + 1

	for {
		seen, err := f.observe(ctx, 0)
		if err != nil {
			return position.Position{}, result.New(result.NotConfirmed, "confirm: %w", err)
		}

		count := 1

		for _, follower := range seen.Followers {
			if follower.FlushedLSN >= want.InsertLSN {
				count++
			}
		}

		if count >= quorum || f.cluster.admins == nil {
			return position.Position{Term: of, LSN: want.InsertLSN}, nil
		}

		select {
		case <-ctx.Done():
			return position.Position{}, result.New(result.NotConfirmed, "confirm: %w", ctx.Err())
		case <-time.After(time.Millisecond):
		}
	}
}

type permit struct {
	once sync.Once
	from chan struct{}
}

func (p *permit) Release() { p.once.Do(func() { <-p.from }) }

func (f *fake) take(ctx context.Context, of []chan struct{}, server string) (proxy.Permit, error) {
	var index int
	if _, err := fmt.Sscanf(server, "db%d", &index); err != nil {
		return nil, err
	}

	select {
	case of[index] <- struct{}{}:
		return &permit{from: of[index]}, nil
	case <-ctx.Done():
		return nil, result.New(result.NoPermit, "no permit in time")
	}
}

func (f *fake) Connection(ctx context.Context, server string, _ bool) (proxy.Permit, error) {
	return f.take(ctx, f.cluster.connections, server)
}

func (f *fake) Slot(ctx context.Context, server string, _ bool) (proxy.Permit, error) {
	return f.take(ctx, f.cluster.slots, server)
}

func (f *fake) Failed(string) { f.cluster.failures.Add(1) }

func (f *fake) ForwardCancel(ctx context.Context, process uint32, secret []byte) error {
	f.cluster.forwards.Add(1)

	for name, known := range f.cluster.view.Load().Proxies {
		if known.Number == process>>16 {
			f.cluster.proxies[name].Cancel(ctx, process, secret)
		}
	}

	return nil
}

func (c *cluster) leave(leaving bool) {
	c.change(func(view *registry.View) {
		server := view.Servers[memberName(0)]
		server.Leaving = leaving
		view.Servers[memberName(0)] = server
	})
}

// fill takes all permits, empty returns them.
func (c *cluster) fill(permits chan struct{}) {
	for range cap(permits) {
		permits <- struct{}{}
	}
}

func (c *cluster) empty(permits chan struct{}) {
	for range cap(permits) {
		<-permits
	}
}

func connectError(t testing.TB, url string) error {
	t.Helper()

	conn, err := pgx.Connect(context30(t), url)
	if err == nil {
		_ = conn.Close(context30(t))
	}

	require.Error(t, err)

	return err
}

// copyAll reads to the end; a reset counts as the end.
func copyAll(to io.Writer, from io.Reader) (int64, error) {
	n, err := io.Copy(to, from)
	if errors.Is(err, syscall.ECONNRESET) {
		err = nil
	}

	return n, err
}
