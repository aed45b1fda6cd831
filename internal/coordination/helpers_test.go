package coordination_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/settings"
	"almondgrade/core/timer"
	"almondgrade/internal/coordination"
	"almondgrade/internal/coordinator"
	"almondgrade/internal/standin"
	"almondgrade/io/backend"
)

const (
	groupName = "db"
	// maxWait bounds each wait of a test. It is long, because only a hanging test reaches it.
	maxWait = 30 * time.Second
)

//nolint:gochecknoglobals // Constant.
var login = backend.Login{User: "almondgrade", Database: "app"}

// cluster is a group of stand-in servers with several proxies that may coordinate it, all in this process.
type cluster struct {
	t       testing.TB
	members []*standin.Member
	view    atomic.Pointer[registry.View]
	proxies map[string]*proxyProcess

	mutex   sync.Mutex
	changed chan struct{}
}

// proxyProcess is one proxy. It is the Source of its own views.
type proxyProcess struct {
	*coordination.Coordination
	cluster           *cluster
	name              string
	instance          uint64
	server            *grpc.Server
	unconfirmed       atomic.Bool
	suspects          atomic.Int64
	cancels           atomic.Int64
	closeIdleRequests chan string
	// refuseDials makes new connections from this proxy to other proxies fail.
	refuseDials atomic.Bool
	timer       *timer.Clock
	// metrics holds the counters of the proxy.
	metrics metrics.Registry
}

func (p *proxyProcess) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}

func (p *proxyProcess) View() *registry.View { return p.cluster.view.Load() }

func (p *proxyProcess) Confirmed() bool { return !p.unconfirmed.Load() }

func (p *proxyProcess) Changed() <-chan struct{} {
	p.cluster.mutex.Lock()
	defer p.cluster.mutex.Unlock()

	return p.cluster.changed
}

type clusterShape struct {
	members     int
	slots       int
	connections int
	proxies     []string
}

// newCluster starts stand-in servers in term 1 and the named proxies. The first proxy coordinates the group.
func newCluster(t testing.TB, shape clusterShape) *cluster {
	t.Helper()

	c := &cluster{t: t, proxies: make(map[string]*proxyProcess), changed: make(chan struct{})}
	view := &registry.View{
		Version: 1, ConfigurationNumber: 1, Running: settings.Defaults(),
		Groups: map[string]registry.Group{}, Servers: map[string]registry.Server{}, Proxies: map[string]registry.Proxy{},
	}
	group := registry.Group{
		Name: groupName, Term: 1, Primary: memberName(0), Phase: registry.PhaseStable, Coordinator: shape.proxies[0],
		Epoch: 1, History: position.NewHistory(position.TermBegin{Term: 1}), MemberIdentities: map[string]string{},
	}
	view.Running.Timing.MonitorInterval = settings.Duration(20 * time.Millisecond)
	view.Running.Timing.MonitorTimeout = settings.Duration(500 * time.Millisecond)

	for i := range shape.members {
		name := memberName(i)

		member, err := standin.New(standin.Options{
			Name: name, Group: groupName, Primary: i == 0, ConnectCost: -1, StatementCost: -1,
			ReceiveDelay: time.Millisecond, Lag: time.Millisecond, Connections: 100,
		})
		require.NoError(t, err)
		t.Cleanup(func() { _ = member.Close() })

		c.members = append(c.members, member)
		c.withAdmin(i, func(ctx context.Context, admin *backend.Admin) error {
			if i == 0 {
				return admin.SetTerm(ctx, name, 1)
			}

			return admin.Attach(ctx, name, 1, c.members[0].Addr())
		})

		group.Members = append(group.Members, name)
		group.MemberIdentities[name] = "disk"
		view.Servers[name] = registry.Server{
			Name: name, Group: groupName, Address: member.Addr(), Identity: "disk", Incarnation: 1,
			Slots: shape.slots, Connections: shape.connections, Recovery: i > 0,
		}
	}

	view.Groups[groupName] = group

	listeners := make(map[string]net.Listener)

	for i, name := range shape.proxies {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)

		listeners[name] = listener
		view.Proxies[name] = registry.Proxy{
			Name: name, Instance: uint64(i + 1), Number: uint32(i + 1), Peer: addressOf(listener),
		}
	}

	c.view.Store(view)

	for _, name := range shape.proxies {
		c.startProxy(name, listeners[name])
	}

	return c
}

func (c *cluster) startProxy(name string, listener net.Listener) *proxyProcess {
	p := &proxyProcess{
		cluster: c, name: name, instance: c.view.Load().Proxies[name].Instance, closeIdleRequests: make(chan string, 1000),
		timer: timer.New(), metrics: metrics.NewRegistry(),
	}
	c.proxies[name] = p
	p.Coordination = coordination.New(coordination.Options{
		Name: name, Instance: p.instance, Source: p, Login: login, Timer: p.timer, Metrics: p.metrics,
		Suspect: func(string, position.Term, string, string) { p.suspects.Add(1) },
		Cancel:  func(uint32, []byte) { p.cancels.Add(1) },
		CloseIdle: func(server string, _ int) {
			select {
			case p.closeIdleRequests <- server:
			default:
			}
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if p.refuseDials.Load() {
				return nil, net.ErrClosed
			}

			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
	})
	p.server = grpc.NewServer()
	p.Register(p.server)

	go func() { _ = p.server.Serve(listener) }()

	c.t.Cleanup(p.stop)

	return p
}

// stop ends a proxy like a crash: neither control nor other proxies are told.
func (p *proxyProcess) stop() {
	p.server.Stop()
	p.Close()
	p.timer.Close()
}

// changeView edits a copy of the view and publishes it to all proxies.
func (c *cluster) changeView(edit func(view *registry.View, group *registry.Group)) {
	next := *c.view.Load()
	next.Version++
	next.Groups = maps.Clone(next.Groups)
	next.Servers = maps.Clone(next.Servers)
	next.Proxies = maps.Clone(next.Proxies)
	group := next.Groups[groupName]
	edit(&next, &group)
	next.Groups[groupName] = group

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.view.Store(&next)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cluster) withAdmin(index int, use func(ctx context.Context, admin *backend.Admin) error) {
	c.t.Helper()

	ctx := testContext(c.t)
	admin, err := backend.OpenAdmin(ctx, c.members[index].Addr(), login, "agcontrol/test")
	require.NoError(c.t, err)

	defer admin.Close()

	require.NoError(c.t, use(ctx, admin))
}

// exec runs a statement on a member.
func (c *cluster) exec(index int, sql string) {
	c.t.Helper()

	ctx := testContext(c.t)
	conn, err := pgx.Connect(ctx, "postgres://almondgrade@"+c.members[index].Addr().String()+"/app?sslmode=disable")
	require.NoError(c.t, err)

	defer func() { _ = conn.Close(ctx) }()

	_, err = conn.Exec(ctx, sql)
	require.NoError(c.t, err)
}

// insertPosition returns the position of the end of a primary's log.
func (c *cluster) insertPosition(index int) position.LSN {
	var seen backend.Observation

	c.withAdmin(index, func(ctx context.Context, admin *backend.Admin) (err error) {
		seen, err = admin.Observe(ctx)

		return err
	})

	return seen.InsertLSN
}

// connections returns the number of connections that a member shows, by application name.
func (c *cluster) connections(index int) map[string]int {
	var shown map[string]int

	c.withAdmin(index, func(ctx context.Context, admin *backend.Admin) (err error) {
		shown, err = admin.Connections(ctx)

		return err
	})

	return shown
}

// promote makes a fenced member the primary of a term and returns the position at which the term begins.
func (c *cluster) promote(index int, term position.Term) position.LSN {
	var begin position.LSN

	c.withAdmin(index, func(ctx context.Context, admin *backend.Admin) error {
		seen, err := admin.Observe(ctx)
		if err != nil {
			return err
		}

		begin = seen.ReceivedLSN

		return admin.Promote(ctx, memberName(index), term)
	})

	return begin
}

// atomicNumber is a counter or maximum that several goroutines change.
type atomicNumber struct{ number atomic.Int64 }

func (a *atomicNumber) add(delta int64) int64 { return a.number.Add(delta) }

func (a *atomicNumber) value() int64 { return a.number.Load() }

func (a *atomicNumber) raise(to int64) {
	for {
		present := a.number.Load()
		if present >= to || a.number.CompareAndSwap(present, to) {
			return
		}
	}
}

func memberName(index int) string {
	return fmt.Sprintf("db%d", index)
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func testContext(t testing.TB) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	t.Cleanup(cancel)

	return ctx
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, maxWait, 2*time.Millisecond, what)
}

var _ coordinator.Admin = (*backend.Admin)(nil)
