package main

import (
	"encoding/json"
	"fmt"
	"os"

	configcheck "almondgrade/core/topology/check"
	"almondgrade/platform"
)

// The exit codes of node check. Differences alone end with ExitOK, because each new configuration has some.
const (
	exitWarnings exitStatus = 1
	exitErrors   exitStatus = 2
)

// exitStatus is the error of a command that has printed its result and ends with this exit code.
type exitStatus int

// Error implements error.
func (s exitStatus) Error() string {
	return fmt.Sprintf("exit status %d", int(s))
}

// check checks a configuration and prints the findings.
func (c *nodeCommand) check() error {
	if c.Args.File == "" {
		return usageError("check needs the FILE with the configuration")
	}

	proposed, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}

	var inForce []byte

	if c.Against != "" {
		if inForce, err = os.ReadFile(c.Against); err != nil {
			return fmt.Errorf("read configuration in force: %w", err)
		}
	}

	found, err := platform.CheckConfiguration(proposed, inForce)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Against, err)
	}

	if err := c.printFindings(found); err != nil {
		return err
	}

	switch configcheck.Worst(found) {
	case configcheck.Error:
		return exitErrors
	case configcheck.Warning:
		return exitWarnings
	default:
		return nil
	}
}

func (c *nodeCommand) printFindings(found []configcheck.Finding) error {
	if c.JSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)

		if err := encoder.Encode(found); err != nil {
			return fmt.Errorf("write findings: %w", err)
		}

		return nil
	}

	for _, finding := range found {
		if err := c.print("%s\n", finding); err != nil {
			return err
		}
	}

	return nil
}
