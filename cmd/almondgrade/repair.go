package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/settings"
	"almondgrade/io/disk"
)

// repair moves the content of a damaged data folder aside.
type repair struct {
	console

	Args struct {
		Base     string   `positional-arg-name:"BASE" required:"yes" description:"Base file"`
		Overlays []string `positional-arg-name:"OVERLAY" description:"Overlays in the order in which they are merged"`
	} `positional-args:"yes"`
}

func addRepair(parser *flags.Parser, to console) error {
	return addCommand(parser, "repair", "Repair the data folder of a control process that refuses to start",
		"Reads the data folder of this VM (vm.data). If it is damaged, its content is moved into a folder within it, "+
			"and the control process rejoins with an empty folder under a new identity. An intact folder is left "+
			"alone. Check the disk first, and repair one VM at a time: the others must have a quorum.\n\n"+
			"Exit codes: 0 repaired or intact, 1 faults in settings, 2 wrong command line, 5 failed.\n\n"+
			"Example:\n"+
			"almondgrade repair docs/examples/local/base.json docs/examples/local/control1.json",
		&repair{console: to})
}

// Execute implements flags.Commander.
func (r *repair) Execute([]string) error {
	loaded, err := settings.Load(r.Args.Base, r.Args.Overlays...)
	if err != nil {
		return err //nolint:wrapcheck // Faults are complete messages.
	}

	folder := loaded.Settings.VM.Data
	if folder == "" {
		return settings.Faults{{File: loaded.Files[len(loaded.Files)-1], Path: "vm.data",
			Allowed: "missing; the command repair needs it"}}
	}

	// Opening a log creates its folder, which would hide a wrong path.
	if _, err := os.Stat(folder); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}

	report, err := disk.Repair(disk.Options{Folder: folder})
	if err != nil {
		return fmt.Errorf("repair %s: %w", folder, err)
	}

	if report.Damage == nil {
		return r.print("%s is intact, nothing was changed\n", folder)
	}

	return r.print("damage: %v\nmoved to %s: %s\nstart the control process again; it rejoins under a new identity\n",
		report.Damage, report.MovedTo, strings.Join(report.Moved, ", "))
}
