package main

import (
	"context"
	"log/slog"
	"net/netip"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/settings"
	"almondgrade/internal/daemon"
)

// controlCommand runs a control process.
type controlCommand struct {
	processCommand
}

func addControl(parser *flags.Parser, _ console) error {
	return addCommand(parser, "control", "Run a control process",
		"Runs a control process on this VM until SIGTERM or SIGINT.\n\n"+
			"Exit codes: 0 shut down, 1 faults in settings, 2 wrong command line, 5 failed.\n\n"+
			"Example:\n"+
			"almondgrade control docs/examples/local/base.json docs/examples/local/control1.json",
		&controlCommand{})
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	return c.run("control", func(vm settings.VM) (string, netip.AddrPort) { return "vm.control", vm.Control }, runControl)
}

func runControl(ctx context.Context, loaded *settings.Loaded, logger *slog.Logger, level *slog.LevelVar) error {
	return daemon.RunControl(ctx, daemon.Options{Settings: loaded.Settings, Logger: logger, LogLevel: level})
}
