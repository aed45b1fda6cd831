package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"almondgrade/core/settings"
	"almondgrade/internal/logging"
	"almondgrade/platform"
)

// nodeCommand runs a process on the users' platform.
type nodeCommand struct {
	Args struct {
		Role string `positional-arg-name:"ROLE" required:"yes" choice:"proxy" choice:"control" description:"proxy or control"`
	} `positional-args:"yes"`
	Settings string `long:"settings" description:"Settings file in the platform's form; by default the one that the platform names in the environment" value-name:"FILE"`
	Metrics  uint16 `long:"metrics" description:"Port on the VM's address at which /metrics is served; none by default" value-name:"PORT"`
}

func addNode(parser *flags.Parser, _ console) error {
	return addCommand(parser, "node", "Run a process on the users' platform",
		"Runs a proxy or a control process with the settings that the platform provides, until SIGTERM or SIGINT.\n\n"+
			"Exit codes: 0 shut down, 1 faults in settings, 2 wrong command line, 5 failed.\n\n"+
			"Example:\n"+
			"almondgrade node proxy --settings /etc/almondgrade/boot.conf --metrics 9464",
		&nodeCommand{})
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}

	run := platform.RunProxy

	switch c.Args.Role {
	case "proxy":
	case "control":
		run = platform.RunControl
	default:
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "the role is proxy or control, not " + c.Args.Role}
	}

	out := logging.NewBounded(os.Stdout)
	defer out.Close()

	logger, _ := logging.New(settings.Log{Level: "info", Format: "json"}, out)

	// The platform announces changed settings by SIGHUP, which ends a process that does not handle it. The settings that
	// may change are read again when they are needed.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	go logSettingsChanges(ctx, reloads, logger)

	if err := run(ctx, platform.Options{SettingsPath: path, MetricsPort: c.Metrics, Logger: logger}); err != nil {
		logger.Error("process failed", "error", err)

		return eris.Wrap(err, c.Args.Role)
	}

	return nil
}

func logSettingsChanges(ctx context.Context, reloads <-chan os.Signal, logger *slog.Logger) {
	for {
		select {
		case <-reloads:
			logger.Info("settings file has changed")
		case <-ctx.Done():
			return
		}
	}
}
