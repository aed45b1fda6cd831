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
	target

	Base   *uint64 `long:"base-number" value-name:"N" description:"Number of the configuration that the change is based on; read from status if it is left out"`
	ID     string  `long:"id" value-name:"ID" description:"Id of the change; drawn at random if it is left out"`
	Author string  `long:"author" env:"USER" value-name:"NAME" description:"Who makes the change"`
	Dry    bool    `long:"dry-run" description:"Check the change and show the difference, but change nothing"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"The whole running configuration as JSON; - reads standard input"`
	} `positional-args:"yes"`
}

func addApply(parser *flags.Parser, to console) error {
	return addCommand(parser, "apply", "Change the running configuration",
		"Replaces the running configuration (pools, users, login for backend servers, timing) by that of a file. "+
			"The change is accepted if it is based on the current number, and is in force everywhere within 4 s. If "+
			"no answer comes, send it again with the same id: an id that is known returns its first answer and "+
			"changes nothing again.\n\n"+
			"Exit codes: 0 accepted, 1 faults in the file, 2 wrong command line, 3 refused, 4 outcome unknown.\n\n"+
			"Example:\n"+
			"almondgrade status --address 127.0.0.1:7301 --settings > running.json\n"+
			"almondgrade apply --address 127.0.0.1:7301 --author awa --dry-run running.json",
		&apply{console: to})
}

// Execute implements flags.Commander.
func (a *apply) Execute([]string) error {
	if a.Author == "" {
		return usageError("want --author")
	}

	content, err := a.read()
	if err != nil {
		return err
	}

	client, err := a.client()
	if err != nil {
		return err
	}

	ctx := context.Background()

	if a.ID == "" {
		a.ID = rand.Text()
	}

	if a.Base == nil {
		status, err := client.Status(ctx)
		if unknownOutcome(err) {
			err = notSent{err}
		}

		if err != nil {
			return fmt.Errorf("read the current number: %w; nothing was changed", err)
		}

		number := status.GetConfiguration()
		a.Base = &number
	}

	// The id is printed first, so that it is known if the command is interrupted.
	if err := a.print("change id %s, based on %d\n", a.ID, *a.Base); err != nil {
		return err
	}

	reply, err := client.Apply(ctx, &controlpb.Change{
		Id: a.ID, Base: *a.Base, Author: a.Author, Settings: content, Dry: a.Dry,
	})

	return a.show(reply, err)
}

// notSent hides from report that a request for reading got no answer, because nothing was changed.
type notSent struct {
	cause error
}

func (n notSent) Error() string {
	return n.cause.Error()
}

// read returns the content of the file, which it checks before anything is sent.
func (a *apply) read() ([]byte, error) {
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

// show prints the answer.
func (a *apply) show(reply *controlpb.ChangeReply, err error) error {
	again := fmt.Sprintf("--id %s --base-number %d", a.ID, *a.Base)

	switch {
	case unknownOutcome(err):
		return fmt.Errorf("%w\nsend the change again with %s", err, again)
	case result.CodeOf(err) == result.NumberNotCurrent:
		return fmt.Errorf("%w\ncurrent number %d by %s; difference between it and the change:\n%s", err,
			reply.GetNumber(), reply.GetAuthor(), orNone(reply.GetDifference()))
	case err != nil:
		return err
	}

	switch {
	case reply.GetRepeated():
		return a.print("accepted before as number %d\n", reply.GetNumber())
	case a.Dry:
		return a.print("dry run, number %d stays; difference:\n%s", reply.GetNumber(), orNone(reply.GetDifference()))
	default:
		return a.print("accepted as number %d; difference:\n%s", reply.GetNumber(), orNone(reply.GetDifference()))
	}
}

// orNone returns a difference, or a line that says that there is none.
func orNone(difference string) string {
	if difference == "" {
		return "none\n"
	}

	return difference
}

// unknownOutcome reports whether a change may have been accepted although no acceptance was read.
func unknownOutcome(err error) bool {
	return errors.Is(err, operator.ErrNoAnswer) ||
		result.CodeOf(err) != result.OK && result.CodeOf(err).Ran() == result.RanUnknown
}
