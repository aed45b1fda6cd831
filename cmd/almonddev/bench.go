package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"almondgrade/internal/bench"
)

// benchCommand groups the subcommands of bench.
type benchCommand struct {
	List     benchList     `command:"list" description:"List the workloads"`
	Run      benchRun      `command:"run" description:"Run a workload against proxies"`
	Compare  benchCompare  `command:"compare" description:"Compare two results"`
	Failover benchFailover `command:"failover" description:"Run a system in this process and measure changes of primary"`
	Control  benchControl  `command:"control" description:"Measure the cost of control for numbers of proxies and groups"`
}

func benchSubcommand() subcommand {
	return subcommand{
		name: "bench", short: "Load a system and measure it",
		long:    "Runs one of the ready workloads against proxies, checks every answer and reports latencies as JSON.",
		command: &benchCommand{},
	}
}

type benchList struct{}

// Execute implements flags.Commander.
func (*benchList) Execute([]string) error {
	for _, workload := range bench.Workloads() {
		fmt.Printf("%s: %s\n", workload.Name, workload.Description)
	}

	return nil
}

type benchRun struct {
	Proxies     []string      `long:"proxy" required:"true" description:"address of a proxy (repeatable)"`
	Databases   []string      `long:"database" required:"true" description:"database to connect to, POOL or POOL.GROUP (repeatable)"`
	User        string        `long:"user" default:"app" description:"user"`
	Password    string        `long:"password" description:"password"`
	Duration    time.Duration `long:"duration" default:"30s" description:"measured time"`
	Warmup      time.Duration `long:"warmup" default:"2s" description:"time before that is not measured"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Scale       float64       `long:"scale" default:"1" description:"factor of all arrival rates"`
	Records     int           `long:"records" default:"200" description:"records of each database"`
	Connections int           `long:"connections" default:"8" description:"connections of a class to a database of a proxy"`
	Deadline    time.Duration `long:"deadline" default:"30s" description:"time after which a request is given up"`
	OutputFile  string        `long:"out" description:"file for the result as JSON"`
	Arguments   struct {
		Workload string `positional-arg-name:"WORKLOAD" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *benchRun) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	result, err := bench.Run(ctx, bench.Options{
		Workload: c.Arguments.Workload, Proxies: c.Proxies, Databases: c.Databases, User: c.User, Password: c.Password,
		Duration: c.Duration, Warmup: c.Warmup, Seed: c.Seed, Scale: c.Scale, Records: c.Records,
		Connections: c.Connections, Deadline: c.Deadline,
	})
	if err != nil {
		return err
	}

	if err := writeResult(c.OutputFile, result); err != nil {
		return err
	}

	if err := result.Write(os.Stdout); err != nil {
		return err
	}

	if result.Void {
		return errors.New("the run is void")
	}

	return nil
}

type benchCompare struct {
	Arguments struct {
		Before string `positional-arg-name:"BEFORE"`
		After  string `positional-arg-name:"AFTER"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *benchCompare) Execute([]string) error {
	var results [2]bench.Result

	for i, path := range []string{c.Arguments.Before, c.Arguments.After} {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}

		if err := json.Unmarshal(content, &results[i]); err != nil {
			return fmt.Errorf("result %s: %w", path, err)
		}
	}

	return bench.Compare(results[0], results[1], os.Stdout)
}
