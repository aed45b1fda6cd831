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

// process holds what the commands that run a process have in common.
type process struct {
	Args struct {
		Base     string   `positional-arg-name:"BASE" required:"yes" description:"Base file"`
		Overlays []string `positional-arg-name:"OVERLAY" description:"Overlays in the order in which they are merged"`
	} `positional-args:"yes"`
}

// runner runs a process until the context ends. It then finishes the requests in progress and returns.
type runner func(ctx context.Context, loaded *settings.Loaded, logger *slog.Logger, level *slog.LevelVar) error

// run loads the settings and calls the runner. The first SIGTERM or SIGINT begins a graceful shutdown, the second
// ends the process at once. Needed is the address without which the VM doesn't have the role.
func (p *process) run(role string, needed func(settings.VM) (path string, address netip.AddrPort), run runner) error {
	loaded, err := settings.Load(p.Args.Base, p.Args.Overlays...)
	if err != nil {
		return err //nolint:wrapcheck // Faults are complete messages.
	}

	if path, address := needed(loaded.Settings.VM); !address.IsValid() {
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
