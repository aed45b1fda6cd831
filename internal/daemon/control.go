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

// Control runs a control process until the context ends or its part in the log fails.
func Control(ctx context.Context, parts Parts) error {
	loaded, logger := parts.Settings, parts.Logger
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
		return err //nolint:wrapcheck // It says what is wrong with the log.
	}
	defer func() { _ = group.Close() }()

	counters := metrics.New()
	controls := controller.New(controller.Options{
		Name: loaded.VM.Name, Log: group, State: state, LogMembers: memberStatus(group), InitialSettings: loaded.Running,
		Login: backendLogin, Dial: dialer(keys), Timer: clock, Logger: logger, Metrics: counters.Registry,
	})
	defer controls.Close()

	server := newServer(keys.Server(security.Mutual))
	group.Register(server)
	controls.Register(server)

	if loaded.VM.Operator.IsValid() {
		operators, err := controlOperators(parts, keys, clock, counters, state)
		if err != nil {
			return err
		}
		defer operators()
	}

	logger.Info("control process started", "name", loaded.VM.Name, "address", loaded.VM.Control)

	return serve(ctx, server, listener, group.Failed(), logger)
}

// serve runs a gRPC server until the context ends or the process has failed.
func serve(ctx context.Context, server *grpc.Server, listener net.Listener, failed <-chan error, logger *slog.Logger) error {
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(listener) }()

	defer server.Stop()

	select {
	case <-ctx.Done():
		logger.Info("control process stops")

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

func memberStatus(group *consensus.Group) controller.LogMembers {
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

// controlOperators starts the operators' listener of a control process. Requests go to whichever process leads.
func controlOperators(
	parts Parts, keys *security.Keys, clock timer.Service, counters *metrics.Metrics, state *registry.State,
) (func(), error) {
	options, err := webOptions(parts, keys, clock, parts.Settings.VM.Operator, parts.Settings.Tokens.Operator)
	if err != nil {
		return nil, err
	}

	caller := control.NewLeaderClient(controlAddresses(parts.Settings), dialer(keys))

	server, err := operator.New(operator.Options{
		Web: options, Control: caller, Registry: counters.Registry, Level: parts.Level,
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
