package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"almondgrade/core/settings"
	"almondgrade/internal/bench"
	"almondgrade/internal/logging"
)

// benchFailover measures failovers of the primary in a system that it runs in this process.
type benchFailover struct {
	FaultsPerKind int           `long:"faults" default:"5" description:"faults of each kind with each thresholds"`
	FaultKinds    []string      `long:"kind" default:"stop" default:"freeze" default:"cut" description:"kind of fault: stop, freeze or cut (repeatable)"`
	Freezes       int           `long:"jitter" default:"0" description:"freezes of 0.5 s to 1.5 s with each thresholds, which must cause no change of primary"`
	Thresholds    []string      `long:"thresholds" default:"500ms/1s/3" description:"monitor interval, timeout and failures (repeatable; they take turns)"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the times of faults"`
	WriteInterval time.Duration `long:"period" default:"5ms" description:"time between two writes through a proxy"`
	WriteTimeout  time.Duration `long:"patience" default:"1s" description:"time after which a writer gives up a write and its connection"`
	LogLevel      string        `long:"level" default:"error" description:"log level of the system: debug, info, warn or error"`
	OutputFile    string        `long:"out" description:"file for the result as JSON"`
}

// Execute implements flags.Commander.
func (c *benchFailover) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	logger, _ := logging.New(settings.Log{Format: "text", Level: c.LogLevel}, os.Stderr)

	options, err := c.newOptions(logger)
	if err != nil {
		return err
	}

	result, err := bench.Failover(ctx, options)
	if err != nil {
		return err
	}

	result.Command = strings.Join(append([]string{"almonddev"}, os.Args[1:]...), " ")

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

func (c *benchFailover) newOptions(logger *slog.Logger) (bench.FailoverOptions, error) {
	options := bench.FailoverOptions{
		FaultsPerKind: c.FaultsPerKind, FaultKinds: c.FaultKinds, ShortFreezes: c.Freezes, Seed: c.Seed, WriteInterval: c.WriteInterval, WriteTimeout: c.WriteTimeout,
		Logger: logger, Progress: func(run bench.FailoverRun) { fmt.Fprintf(os.Stderr, "%+v\n", run) },
	}

	for _, text := range c.Thresholds {
		thresholds, err := bench.ParseThresholds(text)
		if err != nil {
			return options, fmt.Errorf("--thresholds: %w", err)
		}

		options.Thresholds = append(options.Thresholds, thresholds)
	}

	return options, nil
}

// writeResult writes a result as JSON to a file if the path is not empty.
func writeResult(path string, result any) error {
	if path == "" {
		return nil
	}

	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}

	return os.WriteFile(path, append(encoded, '\n'), 0o600)
}
