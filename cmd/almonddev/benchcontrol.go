package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"almondgrade/core/settings"
	"almondgrade/internal/bench"
	"almondgrade/internal/logging"
)

// benchControl measures the cost of control in this process.
type benchControl struct {
	Proxies          []int         `long:"proxies" default:"25" default:"50" default:"100" default:"200" description:"numbers of simulated proxies (repeatable)"`
	Groups           []int         `long:"groups" default:"50" default:"100" default:"200" default:"400" description:"numbers of groups with three servers each (repeatable)"`
	IdleTime         time.Duration `long:"idle" default:"5s" description:"time for which the idle system is measured"`
	Changes          int           `long:"changes" default:"20" description:"configuration changes"`
	ChangesPerMinute float64       `long:"changes-per-minute" default:"300" description:"rate of configuration changes"`
	AnnounceTime     time.Duration `long:"announcing" default:"3s" description:"time for which every server announces itself each second"`
	OutputFile       string        `long:"out" description:"file for the result as JSON"`
}

// Execute implements flags.Commander.
func (c *benchControl) Execute([]string) error {
	if c.Changes < 1 || c.ChangesPerMinute <= 0 {
		return fmt.Errorf("--changes %d, --changes-per-minute %v: both must be positive", c.Changes, c.ChangesPerMinute)
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	logger, _ := logging.New(settings.Log{Format: "text", Level: "error"}, os.Stderr)

	result, err := bench.Control(ctx, bench.ControlOptions{
		Proxies: c.Proxies, Groups: c.Groups, IdleTime: c.IdleTime, Changes: c.Changes,
		ChangeInterval: time.Duration(float64(time.Minute) / c.ChangesPerMinute), AnnounceTime: c.AnnounceTime, Logger: logger,
		Progress: func(cell bench.ControlCell) { fmt.Fprintf(os.Stderr, "%+v\n", cell) },
	})
	if err != nil {
		return err
	}

	result.Command = strings.Join(append([]string{"almonddev"}, os.Args[1:]...), " ")

	if err := writeResult(c.OutputFile, result); err != nil {
		return err
	}

	return result.Write(os.Stdout)
}
