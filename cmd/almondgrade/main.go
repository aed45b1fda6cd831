// Command almondgrade is the database proxy, its control process and the command line tool of its operators.
//
// Each subcommand is documented by --help. The exit codes are the Exit constants.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// The exit codes of every subcommand; "node check" has its own for what it finds.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFaults means that settings have faults. Nothing was changed.
	ExitFaults = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitRefused means that the system refused the request, with a result code.
	ExitRefused = 3
	// ExitUnknown means that no answer arrived. A change may have been accepted; send it again with the same id.
	ExitUnknown = 4
	// ExitFailed means that a process or a file operation failed.
	ExitFailed = 5
)

// console is where a command writes its output.
type console struct {
	out io.Writer
}

// print writes formatted text.
func (c console) print(format string, args ...any) error {
	if _, err := fmt.Fprintf(c.out, format, args...); err != nil {
		return fmt.Errorf("write output: %w", err)
	}

	return nil
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses and executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	_, err := newParser(stdout).ParseArgs(args)

	return reportError(err, stdout, stderr)
}

// newParser returns a parser with every subcommand.
func newParser(stdout io.Writer) *flags.Parser {
	parser := flags.NewNamedParser("almondgrade", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "database proxy with session consistency"
	parser.LongDescription = "Exit codes: 0 done, 1 faults in settings, 2 wrong command line, 3 refused with a " +
		"result code, 4 no answer and the outcome is unknown, 5 a process or file operation failed."

	for _, add := range []func(*flags.Parser, console) error{
		addCheck, addApply, addStatus, addDrain, addRepair, addProxy, addControl, addNode,
	} {
		if err := add(parser, console{out: stdout}); err != nil {
			panic(err) // The options of a subcommand are declared wrongly, whatever the command line is.
		}
	}

	return parser
}

// addCommand adds a subcommand. Its long description ends with a working example.
func addCommand(parser *flags.Parser, name, short, long string, command any) error {
	if _, err := parser.AddCommand(name, short, long, command); err != nil {
		return fmt.Errorf("subcommand %s: %w", name, err)
	}

	return nil
}

// reportError prints an error and returns its exit code.
func reportError(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}

	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, usage.Message)

			return ExitOK
		}

		_, _ = fmt.Fprintln(stderr, usage.Message)

		return ExitUsage
	}

	var status exitStatus
	if errors.As(err, &status) {
		return int(status)
	}

	_, _ = fmt.Fprintln(stderr, err)

	var faults settings.Faults

	switch {
	case errors.As(err, &faults):
		return ExitFaults
	case isOutcomeUnknown(err):
		return ExitUnknown
	case result.CodeOf(err) != result.OK:
		return ExitRefused
	default:
		return ExitFailed
	}
}
