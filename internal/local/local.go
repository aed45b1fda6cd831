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
	// Listen is the address of the first proxy for callers; the others listen on the next ports. If it is not set,
	// all listen on free ports of 127.0.0.1.
	Listen netip.AddrPort
	// Proxies is the number of proxies, two if it is zero.
	Proxies int
	// Centres are the data centres over which proxies and stand-ins are spread in turn; one if it is empty.
	Centres []string
	// Members is the number of stand-ins, Lag the delay with which replicas show what they have received.
	Members int
	Lag     time.Duration
	// Slots and Connections are the limits of each stand-in; zero means the stand-in's default.
	Slots       int
	Connections int
	// Equal serves urgent traffic like all other, for comparison.
	Equal bool
	// Route names the routing policy of the proxies; empty means the default.
	Route string
	// Timing replaces the default durations if it is set.
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
	// UserName is a user without a password.
	UserName = "almond"

	defaultProxies = 2
	// proxyPorts is the number of addresses of a proxy.
	proxyPorts = 4
	// browseAge is the age of data that traffic of applications named browse* accepts.
	browseAge = 30 * time.Second
	// serveLimit bounds the time until the system serves.
	serveLimit = time.Minute
)

// System is a running system.
type System struct {
	// Control is the address of the control process, Callers are those of the proxies for callers.
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
	defer system.remove()

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

	defer s.remove()

	return s.group.Wait() //nolint:wrapcheck // The errors of the parts are complete.
}

func (s *System) remove() {
	closeMembers(s.Members)
	_ = os.RemoveAll(s.folder)
}

// Leader returns a caller for requests to control, which must be closed.
func (s *System) Leader() *control.LeaderClient {
	return control.NewLeaderClient([]netip.AddrPort{s.Control}, func(address netip.AddrPort) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	})
}

func start(ctx context.Context, group *errgroup.Group, options Options) (*System, error) {
	options = options.withDefaults()

	addresses, err := freeAddresses(ctx, 1+proxyPorts*options.Proxies)
	if err != nil {
		return nil, err
	}

	folder, err := os.MkdirTemp("", "almondgrade-up")
	if err != nil {
		return nil, eris.Wrap(err, "temporary data folder")
	}

	base := baseSettings(addresses[0], options)
	system := &System{Control: addresses[0], Running: base.Running, folder: folder, group: group}
	first := base
	first.VM = settings.VM{Name: "control1", Centre: options.centre(0), Control: addresses[0], Data: folder}

	group.Go(func() error {
		// Control goes on until the proxies have drained.
		return daemon.Control(ctx, daemon.Parts{Settings: first, Logger: options.Logger.With("vm", first.VM.Name)})
	})

	var announce []string

	for i := range options.Proxies {
		each := base
		free := addresses[1+proxyPorts*i:]
		caller := free[proxyPorts-1]

		if options.Listen.IsValid() {
			caller = netip.AddrPortFrom(options.Listen.Addr(), options.Listen.Port()+uint16(i))
		}

		each.VM = proxyVM(fmt.Sprintf("proxy%d", i+1), options.centre(i), caller, free)
		system.Callers = append(system.Callers, caller)
		announce = append(announce, each.VM.Platform.String())

		group.Go(func() error {
			return daemon.Proxy(ctx, daemon.Parts{Settings: each, Logger: options.Logger.With("vm", each.VM.Name), Route: options.Route})
		})
	}

	if system.Members, err = startMembers(options, announce); err != nil { //nolint:contextcheck // Closed with the system.
		system.remove()

		return nil, err
	}

	return system, nil
}

func (o Options) withDefaults() Options {
	if o.Proxies == 0 {
		o.Proxies = defaultProxies
	}

	if len(o.Centres) == 0 {
		o.Centres = []string{"local"}
	}

	return o
}

func (o Options) centre(i int) string {
	return o.Centres[i%len(o.Centres)]
}

func baseSettings(control netip.AddrPort, options Options) settings.Settings {
	running := settings.Defaults()
	running.Users = map[string]settings.User{UserName: {}}
	running.Pools = map[string]settings.Pool{PoolName: {
		Groups: []string{GroupName}, Database: "main", Traffic: []settings.TrafficRule{
			{Name: "browse", Applications: []string{"browse*"}, MaxAge: settings.Duration(browseAge), Session: "connection"},
			{Name: "urgent", Applications: []string{"inspector*", "urgent*"}, Urgent: !options.Equal},
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

func proxyVM(name, centre string, caller netip.AddrPort, addresses []netip.AddrPort) settings.VM {
	return settings.VM{
		Name: name, Centre: centre, Caller: caller, Peer: addresses[0], Platform: addresses[1], Operator: addresses[2],
	}
}

func startMembers(options Options, announce []string) ([]*standin.Member, error) {
	var members []*standin.Member

	for i := range options.Members {
		member, err := standin.New(standin.Options{
			Name: fmt.Sprintf("%s%c", GroupName, 'a'+i), Group: GroupName, Centre: options.centre(i), Primary: i == 0,
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Lag: options.Lag, Announce: announce,
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

// freeAddresses returns loopback addresses on which nothing listens at present.
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
