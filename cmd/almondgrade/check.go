package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/settings"
)

// check merges and checks settings files.
type check struct {
	console

	JSON  bool `long:"json" description:"Print the values as JSON"`
	Quiet bool `short:"q" long:"quiet" description:"Print nothing if the settings have no faults"`
	Args  struct {
		Base     string   `positional-arg-name:"BASE" required:"yes" description:"Base file"`
		Overlays []string `positional-arg-name:"OVERLAY" description:"Overlays in the order in which they are merged"`
	} `positional-args:"yes"`
}

func addCheck(parser *flags.Parser, output console) error {
	return addCommand(parser, "check", "Check settings files and show the merged result",
		"Merges the base file and the overlays by JSON merge patch, checks the result whole and prints every value "+
			"with the file and line that set it, or \"default\". Faults are listed all at once.\n\n"+
			"Exit codes: 0 no faults, 1 faults, 2 wrong command line.\n\n"+
			"Example:\n"+
			"almondgrade check docs/examples/local/base.json",
		&check{console: output})
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	loaded, err := settings.Load(c.Args.Base, c.Args.Overlays...)
	if err != nil {
		return err //nolint:wrapcheck // Faults are complete messages.
	}

	switch {
	case c.Quiet:
		return nil
	case c.JSON:
		return c.printJSON(loaded.Values())
	default:
		return c.printTable(loaded.Values())
	}
}

// originValue is the JSON form of a setting's value with its origin.
type originValue struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	File  string          `json:"file,omitempty"`
	Line  int             `json:"line,omitempty"`
}

func (c *check) printJSON(values []settings.Value) error {
	rows := make([]originValue, 0, len(values))
	for _, value := range values {
		rows = append(rows, originValue{value.Path, json.RawMessage(value.Text), value.Origin.File, value.Origin.Line})
	}

	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")

	if err := encoder.Encode(rows); err != nil {
		return fmt.Errorf("write values: %w", err)
	}

	return nil
}

func (c *check) printTable(values []settings.Value) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)

	for _, value := range values {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\n", value.Path, value.Text, value.Origin); err != nil {
			return fmt.Errorf("write values: %w", err)
		}
	}

	if err := table.Flush(); err != nil {
		return fmt.Errorf("write values: %w", err)
	}

	return nil
}
