package local

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"almondgrade/core/settings"
	"almondgrade/internal/daemon"
	"almondgrade/internal/standin"
)

// Options describe the system to run.
type Options struct {
	// Listen is the address of the first proxy for callers; the second one listens on the next port.
	Listen netip.AddrPort
	// Members is the number of stand-ins, Lag the delay with which replicas show what they have received.
	Members int
	Lag     time.Duration
	// Slots and Connections are the limits of each stand-in; zero means the stand-in's default.
	Slots       int
	Connections int
	// Equal serves urgent traffic like all other, for comparison.
	Equal bool
	// Route names the routing policy of the proxies; empty means the default.
	Route  string
	Logger *slog.Logger
	// Out receives the addresses and a client command once the system serves.
	Out io.Writer
}

const (
	poolName  = "main"
	groupName = "group1"
	userName  = "almond"
	// browseAge is the age of data that traffic of applications named browse* accepts.
	browseAge = 30 * time.Second
	// serveLimit bounds the time until the system serves.
	serveLimit = time.Minute
)

// Run runs the system until the context ends.
func Run(ctx context.Context, options Options) error {
	folder, err := os.MkdirTemp("", "almondgrade-up")
	if err != nil {
		return eris.Wrap(err, "temporary data folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()

	addresses, err := freeAddresses(ctx, 7)
	if err != nil {
		return err
	}

	second := netip.AddrPortFrom(options.Listen.Addr(), options.Listen.Port()+1)
	base := baseSettings(addresses[0], !options.Equal)
	control := base
	control.VM = settings.VM{Name: "control1", Centre: "local", Control: addresses[0], Data: folder}
	first, other := base, base
	first.VM = proxyVM("proxy1", options.Listen, addresses[1:4])
	other.VM = proxyVM("proxy2", second, addresses[4:7])

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// Control goes on until the proxies have drained.
		return daemon.Control(ctx, daemon.Parts{Settings: control, Logger: options.Logger.With("vm", "control1")})
	})

	for _, each := range []settings.Settings{first, other} {
		group.Go(func() error {
			return daemon.Proxy(ctx, daemon.Parts{Settings: each, Logger: options.Logger.With("vm", each.VM.Name), Route: options.Route})
		})
	}

	announce := []string{first.VM.Platform.String(), other.VM.Platform.String()}

	members, err := startMembers(options, announce)
	defer closeMembers(members)

	if err != nil {
		return err
	}

	group.Go(func() error { return announceReady(ctx, options, options.Listen, second) })

	return group.Wait() //nolint:wrapcheck // The errors above are complete.
}

func baseSettings(control netip.AddrPort, urgent bool) settings.Settings {
	running := settings.Defaults()
	running.Users = map[string]settings.User{userName: {}}
	running.Pools = map[string]settings.Pool{poolName: {
		Groups: []string{groupName}, Database: "main", Traffic: []settings.Traffic{
			{Name: "browse", Applications: []string{"browse*"}, MaxAge: settings.Duration(browseAge), Session: "connection"},
			{Name: "urgent", Applications: []string{"inspector*", "urgent*"}, Urgent: urgent},
		},
	}}

	return settings.Settings{
		Format: settings.Format, Site: "local", Running: running,
		Control: []settings.ControlMember{{Name: "control1", Address: control}},
	}
}

func proxyVM(name string, caller netip.AddrPort, addresses []netip.AddrPort) settings.VM {
	return settings.VM{
		Name: name, Centre: "local", Caller: caller, Peer: addresses[0], Platform: addresses[1], Operator: addresses[2],
	}
}

func startMembers(options Options, announce []string) ([]*standin.Member, error) {
	var members []*standin.Member

	for i := range options.Members {
		member, err := standin.New(standin.Options{
			Name: fmt.Sprintf("%s%c", groupName, 'a'+i), Group: groupName, Centre: "local", Primary: i == 0,
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
