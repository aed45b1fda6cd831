package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"almondgrade/core/settings"
	"almondgrade/internal/logging"
)

// processCommand holds the arguments of the commands that run a process.
type processCommand struct {
	Args struct {
		Base     string   `positional-arg-name:"BASE" required:"yes" description:"Base file"`
		Overlays []string `positional-arg-name:"OVERLAY" description:"Overlays in the order in which they are merged"`
	} `positional-args:"yes"`
}

// runner runs a process until the context ends. It then finishes the requests in progress and returns.
type runner func(ctx context.Context, loaded *settings.Loaded, logger *slog.Logger, level *slog.LevelVar) error

// run loads the settings and calls the runner. The first SIGTERM or SIGINT begins a graceful shutdown, the second
// ends the process at once. The function requiredAddress returns the address that a VM with the role must have.
func (p *processCommand) run(role string, requiredAddress func(settings.VM) (path string, address netip.AddrPort), run runner) error {
	loaded, err := settings.Load(p.Args.Base, p.Args.Overlays...)
	if err != nil {
		return err //nolint:wrapcheck // Faults are complete messages.
	}

	if path, address := requiredAddress(loaded.Settings.VM); !address.IsValid() {
		return settings.Faults{{File: loaded.Files[len(loaded.Files)-1], Path: path,
			Allowed: "missing; the command " + role + " needs it"}}
	}

	logger, level := logging.New(loaded.Settings.Log, os.Stderr)
	logger = logger.With("vm", loaded.Settings.VM.Name, "role", role)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	context.AfterFunc(ctx, func() {
		logger.Info("shutdown begins")
		stop()
	})

	logger.Info("process starts", "files", loaded.Files)

	if err := run(ctx, loaded, logger, level); err != nil {
		logger.Error("process failed", "error", err)

		return err
	}

	logger.Info("process ends")

	return nil
}
