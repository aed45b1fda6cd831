package main

import (
	"context"
	"log/slog"
	"net/netip"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/settings"
	"almondgrade/internal/daemon"
)

// proxyCommand runs a proxy.
type proxyCommand struct {
	processCommand
}

func addProxy(parser *flags.Parser, _ console) error {
	return addCommand(parser, "proxy", "Run a proxy",
		"Runs a proxy on this VM until SIGTERM or SIGINT, then finishes the requests in progress.\n\n"+
			"Exit codes: 0 shut down, 1 faults in settings, 2 wrong command line, 5 failed.\n\n"+
			"Example:\n"+
			"almondgrade proxy docs/examples/local/base.json",
		&proxyCommand{})
}

// Execute implements flags.Commander.
func (c *proxyCommand) Execute([]string) error {
	return c.run("proxy", func(vm settings.VM) (string, netip.AddrPort) { return "vm.caller", vm.Caller }, runProxy)
}

func runProxy(ctx context.Context, loaded *settings.Loaded, logger *slog.Logger, level *slog.LevelVar) error {
	return daemon.RunProxy(ctx, daemon.Options{Settings: loaded.Settings, Logger: logger, LogLevel: level})
}
