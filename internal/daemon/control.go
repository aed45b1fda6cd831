package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"almondgrade/core/registry"
	"almondgrade/core/settings"
	"almondgrade/core/timer"
	"almondgrade/internal/consensus"
	"almondgrade/internal/controller"
	"almondgrade/internal/metrics"
	"almondgrade/internal/security"
	"almondgrade/io/control"
	"almondgrade/io/control/controlpb"
	"almondgrade/io/operator"
)

// RunControl runs a control process until the context ends or its member of the replicated log fails.
func RunControl(ctx context.Context, options Options) error {
	loaded, logger := options.Settings, options.Logger
	clock := timer.New()
	defer clock.Close()

	keys, err := security.NewKeys(loaded.TLS, clock, logger)
	if err != nil {
		return err //nolint:wrapcheck // It names the file.
	}
	defer keys.Close()

	listener, err := listen(ctx, loaded.VM.Control)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()

	state := registry.NewState()

	group, err := consensus.New(consensus.Options{
		Self: consensus.Member{Name: loaded.VM.Name, Address: loaded.VM.Control}, Initial: initialMembers(loaded),
		Folder: loaded.VM.Data, Machine: state, Dial: dialer(keys), Timer: clock, Logger: logger,
	})
	if err != nil {
		return err //nolint:wrapcheck // It names the fault of the log.
	}
	defer func() { _ = group.Close() }()

	counters := metrics.New()
	service := controller.New(controller.Options{
		Name: loaded.VM.Name, Log: group, State: state, LogMembers: logMembers(group), InitialSettings: loaded.Running,
		Login: backendLogin, Dial: dialer(keys), Timer: clock, Logger: logger, Metrics: counters.Registry,
	})
	defer service.Close()

	server := newServer(keys.Server(security.Mutual))
	group.Register(server)
	service.Register(server)

	closeOperators := func() {}

	if loaded.VM.Operator.IsValid() {
		if closeOperators, err = startOperatorServer(options, keys, clock, counters, state); err != nil {
			return err
		}
	}

	logger.Info("control process started", "name", loaded.VM.Name, "address", loaded.VM.Control)

	return serveControl(ctx, server, listener, group.Failed(), closeOperators, logger)
}

// serveControl runs the gRPC server of a control process until the context ends, or the server or the log fails. It closes
// the operators' listener first, because calls in progress there need the gRPC server.
func serveControl(
	ctx context.Context, server *grpc.Server, listener net.Listener, failed <-chan error, closeOperators func(), logger *slog.Logger,
) error {
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(listener) }()

	defer server.Stop()
	defer closeOperators()

	select {
	case <-ctx.Done():
		logger.Info("control process stopping")

		return nil
	case err := <-failed:
		return eris.Wrap(err, "control log failed")
	case err := <-ended:
		return eris.Wrap(err, "serve control")
	}
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", address.String())

	return listener, eris.Wrapf(err, "listen on %s", address)
}

func initialMembers(loaded settings.Settings) []consensus.Member {
	members := make([]consensus.Member, 0, len(loaded.Control))
	for _, member := range loaded.Control {
		members = append(members, consensus.Member{Name: member.Name, Address: member.Address})
	}

	return members
}

func logMembers(group *consensus.Group) controller.LogMembers {
	return func() []*controlpb.MemberStatus {
		var members []*controlpb.MemberStatus

		for _, member := range group.Status().Members {
			members = append(members, &controlpb.MemberStatus{
				Name: member.Name, Address: member.Address.String(), Voter: member.Voter, Match: member.Match,
			})
		}

		return members
	}
}

// startOperatorServer starts the operators' listener of a control process. It forwards requests to the leader of control.
func startOperatorServer(
	options Options, keys *security.Keys, clock timer.Service, counters *metrics.Metrics, state *registry.State,
) (func(), error) {
	httpOptions, err := webOptions(options, keys, clock, options.Settings.VM.Operator, options.Settings.Tokens.Operator)
	if err != nil {
		return nil, err
	}

	caller := control.NewLeaderClient(controlAddresses(options.Settings), dialer(keys))

	server, err := operator.New(operator.Options{
		Web: httpOptions, Control: caller, Registry: counters.Registry, Level: options.LogLevel,
		Settings: func() (settings.Running, bool) {
			view := state.View()

			return view.Running, view.ConfigurationNumber > 0
		},
	})
	if err != nil {
		caller.Close()

		return nil, err //nolint:wrapcheck // It names the listener.
	}

	return func() {
		closeHTTP(server.Close)()
		caller.Close()
	}, nil
}
