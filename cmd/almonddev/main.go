// Command almonddev is the development program: stand-ins, a whole local system and experiments.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// subcommand is one subcommand; each is added by a file of its own.
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

	for _, each := range subcommands() {
		if _, err := parser.AddCommand(each.name, each.short, each.long, each.command); err != nil {
			fmt.Fprintln(os.Stderr, "almonddev:", err)
			os.Exit(1)
		}
	}

	_, err := parser.Parse()

	var failed *flags.Error
	if errors.As(err, &failed) && failed.Type == flags.ErrHelp {
		fmt.Println(err)
		return
	}

	if err != nil {
		fmt.Fprintln(os.Stderr, "almonddev:", err)
		os.Exit(1)
	}
}
