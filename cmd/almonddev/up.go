package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"almondgrade/core/settings"
	"almondgrade/internal/local"
	"almondgrade/internal/logging"
)

// upCommand runs a whole system in this process.
type upCommand struct {
	Listen        string        `long:"listen" default:"127.0.0.1:6432" value-name:"ADDRESS" description:"Address of the first proxy; the second listens on the next port"`
	Members       int           `long:"members" default:"3" description:"Stand-ins for backend servers"`
	Lag           time.Duration `long:"lag" default:"10ms" description:"Replay lag of replicas"`
	Slots         int           `long:"slots" default:"5" description:"Statements that each stand-in runs at once"`
	Connections   int           `long:"connections" default:"35" description:"Connections that each stand-in allows"`
	EqualPriority bool          `long:"equal" description:"Serve urgent traffic like all other, for comparison"`
	RoutingPolicy string        `long:"route" value-name:"POLICY" description:"Routing policy for reads: fresh, or for comparison primary or turn"`
	LogLevel      string        `long:"level" default:"warn" description:"Log level: debug, info, warn or error"`
}

func upSubcommand() subcommand {
	return subcommand{
		name: "up", short: "Run a whole system in one process",
		long: "Runs a control process, two proxies and a group of stand-ins until it is interrupted. Prints the " +
			"addresses of the two proxies, one a line, and a client command.\n\nExample:\nalmonddev up",
		command: &upCommand{},
	}
}

// Execute implements flags.Commander.
func (u *upCommand) Execute([]string) error {
	listen, err := netip.ParseAddrPort(u.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}

	if u.Members < 1 {
		return fmt.Errorf("--members: %d; must be at least 1", u.Members)
	}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	logger, _ := logging.New(settings.Log{Format: "text", Level: u.LogLevel}, os.Stderr)

	return local.Run(ctx, local.Options{
		Listen: listen, MemberCount: u.Members, Lag: u.Lag, Slots: u.Slots,
		Connections: u.Connections, EqualPriority: u.EqualPriority, RoutingPolicy: u.RoutingPolicy, Logger: logger, Out: os.Stdout,
	})
}
