package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/io/control/controlpb"
	"almondgrade/io/operator"
)

// apply changes the running configuration.
type apply struct {
	console
	targetOptions

	BaseNumber *uint64 `long:"base-number" value-name:"N" description:"Number of the configuration that the change is based on; read from status if it is left out"`
	ID         string  `long:"id" value-name:"ID" description:"Id of the change; drawn at random if it is left out"`
	Author     string  `long:"author" env:"USER" value-name:"NAME" description:"Who makes the change"`
	DryRun     bool    `long:"dry-run" description:"Check the change and show the difference, but change nothing"`
	Args       struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"The whole running configuration as JSON; - reads standard input"`
	} `positional-args:"yes"`
}

func addApply(parser *flags.Parser, output console) error {
	return addCommand(parser, "apply", "Change the running configuration",
		"Replaces the running configuration (pools, users, login for backend servers, timing) by that of a file. "+
			"The change is accepted if it is based on the current number, and is in force everywhere within 4 s. If "+
			"no answer comes, send it again with the same id: an id that is known returns its first answer and "+
			"changes nothing again.\n\n"+
			"Exit codes: 0 accepted, 1 faults in the file, 2 wrong command line, 3 refused, 4 outcome unknown.\n\n"+
			"Example:\n"+
			"almondgrade status --address 127.0.0.1:7301 --settings > running.json\n"+
			"almondgrade apply --address 127.0.0.1:7301 --author awa --dry-run running.json",
		&apply{console: output})
}

// Execute implements flags.Commander.
func (a *apply) Execute([]string) error {
	if a.Author == "" {
		return usageError("want --author")
	}

	content, err := a.readConfiguration()
	if err != nil {
		return err
	}

	client, err := a.newClient()
	if err != nil {
		return err
	}

	ctx := context.Background()

	if a.ID == "" {
		a.ID = rand.Text()
	}

	if a.BaseNumber == nil {
		status, err := client.Status(ctx)
		if isOutcomeUnknown(err) {
			err = knownOutcomeError{err}
		}

		if err != nil {
			return fmt.Errorf("read the current number: %w; nothing was changed", err)
		}

		number := status.GetConfiguration()
		a.BaseNumber = &number
	}

	// The id is printed first, so that the operator knows it even if the command is interrupted.
	if err := a.print("change id %s, based on %d\n", a.ID, *a.BaseNumber); err != nil {
		return err
	}

	reply, err := client.Apply(ctx, &controlpb.Change{
		Id: a.ID, Base: *a.BaseNumber, Author: a.Author, Settings: content, Dry: a.DryRun,
	})

	return a.printReply(reply, err)
}

// knownOutcomeError hides the code of its cause from reportError: a status request that got no answer has changed nothing.
type knownOutcomeError struct {
	cause error
}

func (e knownOutcomeError) Error() string {
	return e.cause.Error()
}

// readConfiguration returns the content of the file. It checks it before anything is sent.
func (a *apply) readConfiguration() ([]byte, error) {
	var (
		content []byte
		err     error
	)

	if a.Args.File == "-" {
		content, err = io.ReadAll(os.Stdin)
	} else {
		content, err = os.ReadFile(a.Args.File)
	}

	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}

	_, faults := settings.CheckRunning(content)
	for i := range faults {
		faults[i].File = a.Args.File
	}

	if len(faults) > 0 {
		return nil, faults
	}

	return content, nil
}

// printReply prints the answer to the change.
func (a *apply) printReply(reply *controlpb.ChangeReply, err error) error {
	resendOptions := fmt.Sprintf("--id %s --base-number %d", a.ID, *a.BaseNumber)

	switch {
	case isOutcomeUnknown(err):
		return fmt.Errorf("%w\nsend the change again with %s", err, resendOptions)
	case result.CodeOf(err) == result.NumberNotCurrent:
		return fmt.Errorf("%w\ncurrent number %d by %s; difference between it and the change:\n%s", err,
			reply.GetNumber(), reply.GetAuthor(), differenceOrNone(reply.GetDifference()))
	case err != nil:
		return err
	}

	switch {
	case reply.GetRepeated():
		return a.print("accepted before as number %d\n", reply.GetNumber())
	case a.DryRun:
		return a.print("dry run, number %d stays; difference:\n%s", reply.GetNumber(), differenceOrNone(reply.GetDifference()))
	default:
		return a.print("accepted as number %d; difference:\n%s", reply.GetNumber(), differenceOrNone(reply.GetDifference()))
	}
}

// differenceOrNone returns a difference, or a line which says that there is none.
func differenceOrNone(difference string) string {
	if difference == "" {
		return "none\n"
	}

	return difference
}

// isOutcomeUnknown reports whether a change may have been accepted although no acceptance was received.
func isOutcomeUnknown(err error) bool {
	return errors.Is(err, operator.ErrNoAnswer) ||
		result.CodeOf(err) != result.OK && result.CodeOf(err).Ran() == result.RanUnknown
}
