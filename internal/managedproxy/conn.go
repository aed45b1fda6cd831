package managedproxy

import (
	"time"

	"github.com/rotisserie/eris"
)

// conn is a connection to a backend server with the session state that the server holds for it.
type conn struct {
	backend  Backend
	server   *server
	values   map[string]string
	prepared map[string]bool
	// session is the session that used the connection last.
	session uint64
	// taken is the time since which the connection is in use, used that at which its last use ended.
	taken  time.Time
	used   time.Time
	broken bool
}

func newConn(backend Backend, to *server) *conn {
	return &conn{backend: backend, server: to, values: make(map[string]string), prepared: make(map[string]bool)}
}

// matches reports whether the connection has exactly the given values.
func (c *conn) matches(values map[string]string) bool {
	if len(c.values) != len(values) {
		return false
	}

	for name, value := range values {
		if held, found := c.values[name]; !found || held != value {
			return false
		}
	}

	return true
}

// setup returns the commands that give the connection the values of a session and a prepared statement.
func (c *conn) setup(values map[string]string, needed *prepared) []Command {
	var commands []Command

	reset := false

	for name := range c.values {
		if _, wanted := values[name]; !wanted {
			reset = true
		}
	}

	if reset {
		commands = append(commands, Command{Statement: Statement{Kind: Reset}})
	}

	for name, value := range values {
		if held, found := c.values[name]; reset || !found || held != value {
			commands = append(commands, Command{Statement: Statement{Kind: Set, Name: name, Value: value}})
		}
	}

	if needed != nil && (reset || !c.prepared[needed.name]) {
		commands = append(commands, Command{
			Statement: Statement{Kind: Prepare, Value: needed.shape, Writes: needed.writes}, Prepared: needed.name,
		})
	}

	return commands
}

// note records the effect of a setup command.
func (c *conn) note(command Command) {
	switch command.Kind {
	case Reset:
		clear(c.values)
		clear(c.prepared)
	case Set:
		c.values[command.Name] = command.Value
	case Prepare:
		c.prepared[command.Prepared] = true
	default:
	}
}

// run sends commands of which all but the last prepare the connection, and returns the answer to the last one, or the
// first answer that is not Done. The state of the session must be in place before a statement depends on it, so the
// last command is sent by itself.
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

// settle makes a connection usable for others after an answer that left it in a state. Opening another one would cost
// the server more than a rollback.
func (c *conn) settle(state State) {
	if state == Idle || c.broken {
		return
	}

	answer, err := c.run(time.Now().Add(rollbackTimeout), Command{Statement: Statement{Kind: Rollback}})
	c.broken = c.broken || err != nil || answer.Outcome != Done || answer.State != Idle
}

// errSetup is returned with the answer of a setup command that failed.
var errSetup = eris.New("the connection could not be given the state of the session")

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
		if answers[i].Outcome == Done {
			c.note(command)
		}
	}

	return answers, nil
}
