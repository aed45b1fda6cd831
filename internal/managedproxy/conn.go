package managedproxy

import (
	"time"

	"github.com/rotisserie/eris"
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
	default:
	}
}

// run sends commands, of which all but the last set up the connection, and returns the answer to the last one, or the
// first answer that is not Done. The setup commands are sent together and each of them runs, so that a transaction may be
// open although a command before the one that opened it has failed. The last command is sent by itself, because it must
// not run unless all of the session state is in place.
func (c *conn) run(deadline time.Time, commands ...Command) (Answer, error) {
	if len(commands) > 1 {
		answers, err := c.send(deadline, commands[:len(commands)-1]...)
		if err != nil {
			return Answer{}, err
		}

		for _, answer := range answers {
			if answer.Outcome != Done {
				return answer, errSetup
			}
		}
	}

	answers, err := c.send(deadline, commands[len(commands)-1])
	if err != nil {
		return Answer{}, err
	}

	return answers[0], nil
}

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

		return nil, err
	}

	for i, command := range commands {
		c.server.recordVerdict(answers[i].Verdict)
		c.recordEffect(command, answers[i].Outcome)
	}

	// Commands behind one that failed have run as well, so only the last answer has the state of the connection.
	c.state = answers[len(answers)-1].State

	return answers, nil
}
