package main

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"

	"almondgrade/io/control/controlpb"
)

// drain takes a backend server or a proxy out of service.
type drain struct {
	console
	targetOptions

	Server string `long:"server" value-name:"NAME" description:"Backend server to drain; a primary is switched over first"`
	Proxy  string `long:"proxy" value-name:"NAME" description:"Proxy to drain"`
	Undo   bool   `long:"undo" description:"Take it back into service"`
}

func addDrain(parser *flags.Parser, output console) error {
	return addCommand(parser, "drain", "Take a backend server or a proxy out of service, or back",
		"A server or proxy that is drained gets no new work after 3 s. Requests in progress finish. Draining "+
			"twice is the same as once.\n\n"+
			"Exit codes: 0 done, 2 wrong command line, 3 refused, 4 outcome unknown (send it again).\n\n"+
			"Example:\n"+
			"almondgrade drain --address 127.0.0.1:7301 --server db1a\n"+
			"almondgrade drain --address 127.0.0.1:7301 --server db1a --undo",
		&drain{console: output})
}

// Execute implements flags.Commander.
func (d *drain) Execute([]string) error {
	if (d.Server == "") == (d.Proxy == "") {
		return usageError("want either --server or --proxy")
	}

	client, err := d.newClient()
	if err != nil {
		return err
	}

	request := &controlpb.DrainRequest{Server: d.Server, Proxy: d.Proxy, Undo: d.Undo}

	if _, err := client.Drain(context.Background(), request); err != nil {
		return fmt.Errorf("drain: %w", err)
	}

	subject, outcome := "server "+d.Server, "drains"
	if d.Proxy != "" {
		subject = "proxy " + d.Proxy
	}

	if d.Undo {
		outcome = "is back in service"
	}

	return d.print("%s %s\n", subject, outcome)
}
