// Command almonddev is the tool for development: it runs stand-ins, a whole local system and benchmarks.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// subcommand describes a subcommand. Each is declared in a file of its own.
type subcommand struct {
	name, short, long string
	// command is a flags.Commander, or a struct of further subcommands.
	command any
}

// subcommands lists the subcommands in the order of the help text.
func subcommands() []subcommand {
	return []subcommand{
		upSubcommand(),
		memberSubcommand(),
		querySubcommand(),
		benchSubcommand(),
	}
}

func main() {
	parser := flags.NewNamedParser("almonddev", flags.HelpFlag|flags.PassDoubleDash)

	for _, command := range subcommands() {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.command); err != nil {
			fmt.Fprintln(os.Stderr, "almonddev:", err)
			os.Exit(1)
		}
	}

	_, err := parser.Parse()

	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Println(err)
		return
	}

	if err != nil {
		fmt.Fprintln(os.Stderr, "almonddev:", err)
		os.Exit(1)
	}
}
