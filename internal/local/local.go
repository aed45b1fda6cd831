package local

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/core/settings"
	"almondgrade/internal/daemon"
	"almondgrade/internal/standin"
	"almondgrade/io/control"
)

// Options describe the system to run.
type Options struct {
	// Listen is the address of the first proxy for callers. The other proxies listen on the next ports. If it is not set,
	// all proxies listen on free ports of 127.0.0.1.
	Listen netip.AddrPort
	// ProxyCount is the number of proxies. Zero means two.
	ProxyCount int
	// Centres are the data centres to which proxies and stand-ins are assigned in turn. If it is empty, there is one.
	Centres []string
	// MemberCount is the number of stand-ins, Lag the delay with which replicas replay what they have received.
	MemberCount int
	Lag         time.Duration
	// Slots and Connections are the limits of each stand-in. Zero means the stand-in's default.
	Slots       int
	Connections int
	// EqualPriority gives urgent traffic the same priority as all other traffic, for comparison.
	EqualPriority bool
	// RoutingPolicy is the name of the proxies' routing policy. An empty name means the default.
	RoutingPolicy string
	// Timing replaces the default timing if it is set.
	Timing *settings.Timing
	Logger *slog.Logger
	// Out receives the addresses and a client command once the system serves.
	Out io.Writer
}

const (
	// PoolName is the pool that callers connect to.
	PoolName = "main"
	// GroupName is the only group of the pool.
	GroupName = "group1"
	// UserName is a user that has no password.
	UserName = "almond"

	defaultProxies = 2
	// addressesPerProxy is the number of addresses that a proxy listens on.
	addressesPerProxy = 4
	// browseMaxAge is the maximum age of the data that applications named browse* read.
	browseMaxAge = 30 * time.Second
	// startTimeout bounds the time until every proxy serves.
	startTimeout = time.Minute
)

// System is a running system.
type System struct {
	// Control is the address of the control process. Callers are the addresses of the proxies for callers.
	Control netip.AddrPort
	Callers []netip.AddrPort
	Members []*standin.Member
	Running settings.Running

	folder string
	group  *errgroup.Group
	cancel context.CancelFunc
}

// Run runs the system until the context ends.
func Run(ctx context.Context, options Options) error {
	group, ctx := errgroup.WithContext(ctx)

	system, err := start(ctx, group, options)
	if err != nil {
		return err
	}
	defer system.cleanUp()

	group.Go(func() error { return announceReady(ctx, options, system.Callers...) })

	return group.Wait() //nolint:wrapcheck // The errors above are complete.
}

// Start starts a system and returns when every proxy serves. It must be closed.
func Start(ctx context.Context, options Options) (*System, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)

	system, err := start(ctx, group, options)
	if err != nil {
		cancel()

		return nil, err
	}

	system.cancel = cancel

	if err := waitReady(ctx, system.Callers); err != nil {
		return nil, errors.Join(err, system.Close())
	}

	return system, nil
}

// Close ends the system and removes its data.
func (s *System) Close() error {
	s.cancel()

	defer s.cleanUp()

	return s.group.Wait() //nolint:wrapcheck // The errors of the processes are complete.
}

func (s *System) cleanUp() {
	closeMembers(s.Members)
	_ = os.RemoveAll(s.folder)
}

// NewControlCaller returns a client for requests to control. It must be closed.
func (s *System) NewControlCaller() *control.LeaderClient {
	return control.NewLeaderClient([]netip.AddrPort{s.Control}, func(address netip.AddrPort) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	})
}

func start(ctx context.Context, group *errgroup.Group, options Options) (*System, error) {
	options = options.withDefaults()

	addresses, err := freeAddresses(ctx, 1+addressesPerProxy*options.ProxyCount)
	if err != nil {
		return nil, err
	}

	folder, err := os.MkdirTemp("", "almondgrade-up")
	if err != nil {
		return nil, eris.Wrap(err, "temporary data folder")
	}

	base := baseSettings(addresses[0], options)
	system := &System{Control: addresses[0], Running: base.Running, folder: folder, group: group}
	controlSettings := base
	controlSettings.VM = settings.VM{Name: "control1", Centre: options.centreOf(0), Control: addresses[0], Data: folder}

	group.Go(func() error {
		// Control keeps running until the proxies have drained.
		return daemon.RunControl(ctx, daemon.Options{Settings: controlSettings, Logger: options.Logger.With("vm", controlSettings.VM.Name)})
	})

	var announceAddresses []string

	for i := range options.ProxyCount {
		proxySettings := base
		proxyAddresses := addresses[1+addressesPerProxy*i:]
		callerAddress := proxyAddresses[addressesPerProxy-1]

		if options.Listen.IsValid() {
			callerAddress = netip.AddrPortFrom(options.Listen.Addr(), options.Listen.Port()+uint16(i))
		}

		proxySettings.VM = proxyVM(fmt.Sprintf("proxy%d", i+1), options.centreOf(i), callerAddress, proxyAddresses)
		system.Callers = append(system.Callers, callerAddress)
		announceAddresses = append(announceAddresses, proxySettings.VM.Platform.String())

		group.Go(func() error {
			return daemon.RunProxy(ctx, daemon.Options{Settings: proxySettings, Logger: options.Logger.With("vm", proxySettings.VM.Name), RoutingPolicy: options.RoutingPolicy})
		})
	}

	if system.Members, err = startMembers(options, announceAddresses); err != nil { //nolint:contextcheck // Closed with the system.
		system.cleanUp()

		return nil, err
	}

	return system, nil
}

func (o Options) withDefaults() Options {
	if o.ProxyCount == 0 {
		o.ProxyCount = defaultProxies
	}

	if len(o.Centres) == 0 {
		o.Centres = []string{"local"}
	}

	return o
}

func (o Options) centreOf(i int) string {
	return o.Centres[i%len(o.Centres)]
}

func baseSettings(control netip.AddrPort, options Options) settings.Settings {
	running := settings.Defaults()
	running.Users = map[string]settings.User{UserName: {}}
	running.Pools = map[string]settings.Pool{PoolName: {
		Groups: []string{GroupName}, Database: "main", Traffic: []settings.TrafficRule{
			{Name: "browse", Applications: []string{"browse*"}, MaxAge: settings.Duration(browseMaxAge), Session: "connection"},
			{Name: "urgent", Applications: []string{"inspector*", "urgent*"}, Urgent: !options.EqualPriority},
		},
	}}

	if options.Timing != nil {
		running.Timing = *options.Timing
	}

	return settings.Settings{
		Format: settings.Format, Site: "local", Running: running,
		Control: []settings.ControlMember{{Name: "control1", Address: control}},
	}
}

func proxyVM(name, centre string, callerAddress netip.AddrPort, addresses []netip.AddrPort) settings.VM {
	return settings.VM{
		Name: name, Centre: centre, Caller: callerAddress, Peer: addresses[0], Platform: addresses[1], Operator: addresses[2],
	}
}

func startMembers(options Options, announceAddresses []string) ([]*standin.Member, error) {
	var members []*standin.Member

	for i := range options.MemberCount {
		member, err := standin.New(standin.Options{
			Name: fmt.Sprintf("%s%c", GroupName, 'a'+i), Group: GroupName, Centre: options.centreOf(i), Primary: i == 0,
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Lag: options.Lag, AnnounceAddresses: announceAddresses,
			Slots: options.Slots, Connections: options.Connections,
		})
		if err != nil {
			return members, eris.Wrap(err, "start stand-in")
		}

		members = append(members, member)
	}

	return members, nil
}

func closeMembers(members []*standin.Member) {
	for _, member := range members {
		_ = member.Close()
	}
}

// freeAddresses returns loopback addresses on which nothing listens at the time of the call.
func freeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, count)

	for i := range addresses {
		var config net.ListenConfig

		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "find a free port")
		}
		defer func() { _ = listener.Close() }()

		addresses[i] = netip.MustParseAddrPort(listener.Addr().String())
	}

	return addresses, nil
}
