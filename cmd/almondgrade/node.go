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

// nodeCommand runs a process on the users' platform, or checks a configuration of it.
type nodeCommand struct {
	console

	Args struct {
		Role string `positional-arg-name:"ROLE" required:"yes" choice:"proxy" choice:"control" choice:"check" description:"proxy, control or check"`
		File string `positional-arg-name:"FILE" description:"Configuration to check: the body of Config.Replace"`
	} `positional-args:"yes"`
	Against  string `long:"against" description:"check: configuration in force, to show the differences from" value-name:"NOW"`
	JSON     bool   `long:"json" description:"check: print the findings as JSON"`
	Settings string `long:"settings" description:"Settings file in the platform's form; by default the one that the platform names in the environment" value-name:"FILE"`
	Metrics  uint16 `long:"metrics" description:"Port on the VM's address at which /metrics is served; none by default" value-name:"PORT"`
}

func addNode(parser *flags.Parser, output console) error {
	return addCommand(parser, "node", "Run a process on the users' platform, or check its configuration",
		"Runs a proxy or a control process with the settings that the platform provides, until SIGTERM or SIGINT.\n\n"+
			"Exit codes: 0 shut down, 1 faults in settings, 2 wrong command line, 5 failed.\n\n"+
			"With check, checks a configuration before it is sent and prints one finding a line, errors first.\n\n"+
			"Exit codes of check: 0 nothing or differences only, 1 warnings, 2 errors or wrong command line, "+
			"5 a file can't be read.\n\n"+
			"Example:\n"+
			"almondgrade node proxy --settings /etc/almondgrade/boot.conf --metrics 9464\n"+
			"almondgrade node check next.json --against now.json",
		&nodeCommand{console: output})
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	if c.Args.Role == "check" {
		return c.check()
	}

	if c.Against != "" || c.JSON {
		return usageError("--against and --json go with check")
	}

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
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "the role is proxy, control or check, not " + c.Args.Role}
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
