package main

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"almondgrade/internal/standin"
)

type memberCommand struct {
	Name              string        `long:"name" required:"true" description:"name of the member"`
	Group             string        `long:"group" required:"true" description:"group that the member belongs to"`
	Listen            string        `long:"listen" default:"127.0.0.1:0" description:"address to serve"`
	Centre            string        `long:"centre" description:"data centre"`
	Primary           bool          `long:"primary" description:"start as the first primary of the group"`
	AnnounceAddresses []string      `long:"announce" description:"address to announce to (repeatable)"`
	Slots             int           `long:"slots" default:"5" description:"statements that run at once"`
	Connections       int           `long:"connections" default:"35" description:"open connections"`
	Lag               time.Duration `long:"lag" default:"10ms" description:"replay lag"`
	ReceiveDelay      time.Duration `long:"receive-delay" default:"1ms" description:"network delay of the log"`
	ConnectCost       time.Duration `long:"connect-cost" default:"10ms" description:"time that a new connection takes"`
	StatementCost     time.Duration `long:"statement-cost" default:"200us" description:"time that a statement takes"`
	DataFolder        string        `long:"data" description:"data folder; none keeps the data until the end"`
	FaultAddress      string        `long:"fault" description:"address of the fault interface"`
	Verbose           bool          `long:"verbose" description:"log details"`
}

func memberSubcommand() subcommand {
	return subcommand{
		name: "member", short: "Run a stand-in for a backend server",
		long:    "Runs a stand-in for one member of a database group until it is interrupted.",
		command: &memberCommand{},
	}
}

// Execute implements flags.Commander.
func (c *memberCommand) Execute([]string) error {
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}

	level := slog.LevelInfo
	if c.Verbose {
		level = slog.LevelDebug
	}

	member, err := standin.New(standin.Options{
		Name: c.Name, Group: c.Group, Centre: c.Centre, Listen: listen, Primary: c.Primary, AnnounceAddresses: c.AnnounceAddresses,
		Slots: c.Slots, Connections: c.Connections, Lag: explicitDuration(c.Lag), ReceiveDelay: explicitDuration(c.ReceiveDelay),
		ConnectCost: explicitDuration(c.ConnectCost), StatementCost: explicitDuration(c.StatementCost), DataFolder: c.DataFolder, FaultAddress: c.FaultAddress,
		Logger: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
	})
	if err != nil {
		return err
	}

	fmt.Println("listening on", member.Addr())

	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted

	return member.Close()
}

// explicitDuration returns a duration for standin.Options, where zero means the default and a negative value none.
func explicitDuration(duration time.Duration) time.Duration {
	if duration == 0 {
		return -1
	}

	return duration
}
