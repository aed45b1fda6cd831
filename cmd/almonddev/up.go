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

// up runs a whole system in this process.
type up struct {
	Listen  string        `long:"listen" default:"127.0.0.1:6432" value-name:"ADDRESS" description:"Address of the first proxy; the second listens on the next port"`
	Members int           `long:"members" default:"3" description:"Stand-ins for backend servers"`
	Lag     time.Duration `long:"lag" default:"10ms" description:"Replay lag of replicas"`
	Slots   int           `long:"slots" default:"5" description:"Statements that each stand-in runs at once"`
	Conns   int           `long:"connections" default:"35" description:"Connections that each stand-in allows"`
	Equal   bool          `long:"equal" description:"Serve urgent traffic like all other, for comparison"`
	Route   string        `long:"route" value-name:"POLICY" description:"Routing policy for reads: fresh, or for comparison primary or turn"`
	Level   string        `long:"level" default:"warn" description:"Log level: debug, info, warn or error"`
}

func upSubcommand() subcommand {
	return subcommand{
		name: "up", short: "Run a whole system in one process",
		long: "Runs a control process, two proxies and a group of stand-ins until it is interrupted. Prints the " +
			"addresses of the two proxies, one a line, and a client command.\n\nExample:\nalmonddev up",
		command: &up{},
	}
}

// Execute implements flags.Commander.
func (u *up) Execute([]string) error {
	listen, err := netip.ParseAddrPort(u.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}

	if u.Members < 1 {
		return fmt.Errorf("--members: %d; at least 1 is needed", u.Members)
	}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	logger, _ := logging.New(settings.Log{Format: "text", Level: u.Level}, os.Stderr)

	return local.Run(ctx, local.Options{
		Listen: listen, Members: u.Members, Lag: u.Lag, Slots: u.Slots,
		Connections: u.Conns, Equal: u.Equal, Route: u.Route, Logger: logger, Out: os.Stdout,
	})
}
