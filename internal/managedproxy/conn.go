package managedproxy

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/pairing"
)

// conn is a connection to a backend server, with the session state that the server keeps for it.
type conn struct {
	backend Backend
	server  *server
	// customer is the customer whose statements the connection serves, or empty.
	customer      string
	variables     map[string]string
	preparedNames map[string]bool
	// lastSessionID is the ID of the session that used the connection last.
	lastSessionID uint64
	// inUseSince is the time at which the current use began, lastUsed that at which the last use ended.
	inUseSince time.Time
	lastUsed   time.Time
	broken     bool
	// state is the state after the last answer.
	state State
	// setupUncertain is true if variables and preparedNames may differ from what the server keeps, because a setup
	// command ran and failed.
	setupUncertain bool
}

func newConn(backend Backend, backendServer *server) *conn {
	return &conn{backend: backend, server: backendServer, variables: make(map[string]string), preparedNames: make(map[string]bool)}
}

// hasVariables reports whether exactly the given session variables are set on the connection.
func (c *conn) hasVariables(variables map[string]string) bool {
	if len(c.variables) != len(variables) {
		return false
	}

	for name, value := range variables {
		if current, found := c.variables[name]; !found || current != value {
			return false
		}
	}

	return true
}

// setupCommands returns the commands that put a session's variables and a prepared statement in place.
func (c *conn) setupCommands(variables map[string]string, prepared *preparedStatement) []Command {
	var commands []Command

	reset := c.setupUncertain

	for name := range c.variables {
		if _, wanted := variables[name]; !wanted {
			reset = true
		}
	}

	if reset {
		commands = append(commands, Command{Statement: Statement{Kind: Reset}})
	}

	for name, value := range variables {
		if current, found := c.variables[name]; reset || !found || current != value {
			commands = append(commands, Command{Statement: Statement{Kind: Set, Name: name, Value: value}})
		}
	}

	if prepared != nil && (reset || !c.preparedNames[prepared.name]) {
		commands = append(commands, Command{
			Statement: Statement{Kind: Prepare, Value: prepared.shape, Writes: prepared.writes}, Prepared: prepared.name,
		})
	}

	return commands
}

// recordEffect records what a command has changed on the connection.
func (c *conn) recordEffect(command Command, outcome Outcome) {
	if outcome != Done {
		switch command.Kind {
		case Reset, Set, Prepare:
			c.setupUncertain = c.setupUncertain || outcome.Ran()
		default:
		}

		return
	}

	switch command.Kind {
	case Reset:
		clear(c.variables)
		clear(c.preparedNames)

		c.setupUncertain = false
	case Set:
		c.variables[command.Name] = command.Value
	case Prepare:
		c.preparedNames[command.Prepared] = true
	case Rollback:
		// A repeated answer may hide that the rollback has failed; the answer to a reset shows the state again.
		c.setupUncertain = c.setupUncertain || c.server.answers.repeats.Load()
	default:
	}
}

// run sends commands, of which all but the last set up the connection, and returns the answer to the last one, or the
// first answer that is not Done. The setup commands are sent together and each of them runs, so that a transaction may be
// open although a command before the one that opened it has failed. The last command is sent by itself, because it must
// not run unless all of the session state is in place.
func (c *conn) run(deadline time.Time, commands ...Command) (Answer, error) {
	setup, last := commands[:len(commands)-1], commands[len(commands)-1]

	if c.server.answers.repeats.Load() {
		c.server.countAnswers("answers_repeated", int64(c.backend.DropUnexpected()))
	}

	if len(setup) > 0 {
		answer, err := c.setUp(deadline, setup)
		if err != nil {
			return answer, err
		}
	}

	inTransaction := c.state != Idle

	answers, err := c.send(deadline, last)
	if err != nil {
		return Answer{}, err
	}

	if answers[0].Verdict == pairing.Ambiguous && answers[0].Outcome != Done {
		return c.resolve(deadline, last, answers[0], inTransaction)
	}

	return answers[0], nil
}

// setUp sends commands that set up the connection. It returns the first answer that is not Done together with errSetup.
func (c *conn) setUp(deadline time.Time, setup []Command) (Answer, error) {
	if c.server.answers.repeats.Load() {
		setup = confirmed(setup)
	}

	answers, err := c.send(deadline, setup...)
	if err != nil {
		return Answer{}, err
	}

	for i, answer := range answers {
		if answer.Outcome == Done {
			continue
		}

		if answer.Verdict == pairing.Ambiguous {
			c.settleRefusedSetup(deadline, setup[i].Kind)
		}

		return answer, errSetup
	}

	return Answer{}, nil
}

// confirmed returns setup commands that have the same effect and whose last success is no repetition. One repeated answer
// among those to all of them shows, but to the last one it does not until the next command was sent, which must not
// run if the last one has failed.
func confirmed(setup []Command) []Command {
	switch last := setup[len(setup)-1]; last.Kind {
	case Begin, BeginRead:
		return slices.Concat(setup, []Command{{Statement: Statement{Kind: Rollback}}, last})
	case Set, Reset:
		return slices.Concat(setup, []Command{last})
	default:
		// A prepared statement that does not exist is refused when it is used.
		return setup
	}
}

// settleRefusedSetup makes a connection usable after a refused setup command if the refusal may be a repetition, so that the
// command may have succeeded.
func (c *conn) settleRefusedSetup(deadline time.Time, kind Kind) {
	c.setupUncertain = true

	if kind != Begin && kind != BeginRead {
		return
	}

	// The answer is a refusal if no transaction is open.
	answers, err := c.send(earlierTime(deadline, time.Now().Add(rollbackTimeout)), Command{Statement: Statement{Kind: Rollback}})
	c.broken = c.broken || err != nil || answers[0].State != Idle
}

// resolve finds out whether a failure of a statement may be a repetition of an earlier one, in which case the answer to the
// statement is still to come. A command whose success has no signature is sent behind the statement: its answer arrives after
// that of the statement.
func (c *conn) resolve(deadline time.Time, statement Command, failure Answer, inTransaction bool) (Answer, error) {
	follower := Command{Statement: Statement{Kind: Reset}}

	switch {
	case statement.Kind == Commit:
		follower.Kind = Rollback
	case inTransaction:
		// Closing the connection rolls the transaction back, whatever has become of the statement.
		c.broken = true

		return failure, errAmbiguous
	case !statement.Writes:
		// A read may run again at once. The connection is reset before its next use, which shows the answer that is still to come.
		c.setupUncertain = true

		return failure, nil
	}

	answers, err := c.send(deadline, follower)
	if err != nil {
		return Answer{}, err
	}

	settled := answers[0]
	if statement.Kind != Commit && settled.Outcome == failure.Outcome && settled.Detail == failure.Detail {
		// One of the two is the answer to the statement.
		c.broken = true

		return failure, nil
	}

	if settled.State != Idle || settled.Outcome != Done && statement.Kind != Commit {
		c.broken = true

		return Answer{}, eris.Wrapf(errAmbiguous, "the command behind the statement was answered with %s", settled.Outcome)
	}

	if settled.Late != nil {
		return *settled.Late, nil
	}

	failure.State = Idle

	return failure, nil
}

// errAmbiguous is returned for a failure that may be a repetition of an earlier one. The connection is closed.
var errAmbiguous = eris.New("the failure may be a repetition of an earlier one")

// rollbackUnlessIdle rolls back a transaction that is open on the connection, so that other sessions can use it. This
// costs the server less than opening another connection.
func (c *conn) rollbackUnlessIdle() {
	if c.state == Idle || c.broken {
		return
	}

	answer, err := c.run(time.Now().Add(rollbackTimeout), Command{Statement: Statement{Kind: Rollback}})
	c.broken = c.broken || err != nil || answer.Outcome != Done || c.state != Idle
}

// mayBeReused reports whether other sessions may use the connection.
func (c *conn) mayBeReused() bool {
	return !c.broken && c.state == Idle
}

// errSetup is returned together with the answer to a setup command that failed.
var errSetup = eris.New("session state could not be set up on the connection")

func (c *conn) send(deadline time.Time, commands ...Command) ([]Answer, error) {
	answers, err := c.backend.Run(deadline, commands...)
	if err == nil && len(answers) != len(commands) {
		err = eris.Errorf("server returned %d answers to %d commands", len(answers), len(commands))
	}

	if err != nil {
		c.broken = true
		c.server.recordUnexpected(err)

		return nil, err
	}

	for i, command := range commands {
		c.server.recordPairing(&answers[i])
		c.recordEffect(command, answers[i].Outcome)
	}

	// Commands behind one that failed have run as well, so only the last answer has the state of the connection.
	c.state = answers[len(answers)-1].State

	return answers, nil
}
