package managedproxy

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Guards against a connection that returns to the pool with an open transaction because a command that set it up failed
// and the BEGIN behind it succeeded: acknowledged writes of other sessions ran inside that transaction and were rolled
// back with it.
func TestFailedSetupLeavesNoTransactionOpen(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name    string
		failing Kind
		outcome Outcome
		begin   Kind
		// rollbackFails makes the server fail the rollback as well.
		rollbackFails bool
	}{
		{"variable", Set, Failed, Begin, false},
		{"variable, server busy", Set, Busy, Begin, false},
		{"variable, rollback fails", Set, Failed, Begin, true},
		{"variable, read-only transaction", Set, TimedOut, BeginRead, false},
		{"prepared statement", Prepare, Failed, Begin, false},
		{"reset", Reset, Failed, Begin, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			primary := f.servers["p"]
			primary.limit = 1

			// A session that leaves a variable on the only connection, so that another one needs a reset.
			former := f.connect("latest")
			former.send(Statement{Kind: Set, Name: "former", Value: "1"})
			require.NoError(t, former.ask(Write, "WRITE 1 former").Err)

			failures := 0

			primary.mutex.Lock()
			primary.answerWith = func(command Command) (Answer, error, bool) {
				if command.Kind == test.failing {
					failures++

					return Answer{Outcome: test.outcome}, nil, true
				}

				return Answer{Outcome: Failed}, nil, test.rollbackFails && command.Kind == Rollback
			}
			primary.mutex.Unlock()

			session := f.connect("latest")
			session.send(Statement{Kind: Set, Name: "zone", Value: "a"})
			session.send(Statement{Kind: Prepare, Name: "s", Value: "shape"})
			session.ask(test.begin, "BEGIN")
			require.Error(t, session.send(Statement{ID: "2", Kind: Execute, Name: "s", Text: "EXECUTE s 1"}).Err)
			require.Positive(t, failures)
			assert.Empty(t, primary.ranInside, "the statement ran without its session state")

			primary.mutex.Lock()
			primary.answerWith = nil
			primary.mutex.Unlock()

			require.NoError(t, former.ask(Write, "WRITE 2 former").Err)
			require.NoError(t, f.connect("latest").ask(Write, "WRITE 3 other").Err)
			assert.Empty(t, primary.ranInside, "writes ran inside the transaction of another session")
		})
	}
}

// Guards against session variables that are left or missing on a shared connection, because the server answered that the
// command which set or cleared them had failed, although it had taken effect.
func TestSetupWithUnknownEffectIsRepeated(t *testing.T) {
	t.Parallel()

	for _, test := range []struct {
		name    string
		failing Kind
		// variable is what the session sets whose statement fails.
		variable string
		// former is true if the next statement is of the session that has used the connection before.
		former bool
		want   string
	}{
		{"variable", Set, "zone", false, "1 READ 3 map[]"},
		{"reset", Reset, "", true, "1 READ 3 map[former:1]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t)
			primary := f.servers["p"]
			primary.limit = 1
			former := f.connect("latest")
			former.send(Statement{Kind: Set, Name: "former", Value: "1"})
			require.NoError(t, former.ask(Write, "WRITE 1").Err)

			setFailure := func(failsAfter func(Command) bool) {
				primary.mutex.Lock()
				defer primary.mutex.Unlock()

				primary.failsAfter = failsAfter
			}

			setFailure(func(command Command) bool { return command.Kind == test.failing })

			session := f.connect("latest")
			if test.variable != "" {
				session.send(Statement{Kind: Set, Name: test.variable, Value: "a"})
			}

			require.Error(t, session.ask(Write, "WRITE 2").Err)
			setFailure(nil)

			next := former
			if !test.former {
				next = f.connect("latest")
			}

			require.NoError(t, next.ask(Read, "READ 3").Err)
			assert.Equal(t, []string{"1 WRITE 1 map[former:1]", test.want}, primary.ranStatements)
		})
	}
}

// Guards against a write that is acknowledged although the server ran it inside a transaction which nobody commits, and
// against a statement of a transaction that is acknowledged although the server has no transaction open.
func TestAnswersInTheWrongState(t *testing.T) {
	t.Parallel()

	f := newFixture(t)
	answer := func(wrong State, kinds ...Kind) {
		primary := f.servers["p"]

		primary.mutex.Lock()
		defer primary.mutex.Unlock()

		primary.wrongState = func(kind Kind, state State) State {
			if slices.Contains(kinds, kind) {
				return wrong
			}

			return state
		}
	}

	session := f.connect("latest")

	answer(Open, Write)

	reply := session.ask(Write, "WRITE 1 a")
	assert.Equal(t, result.ConnectionLost, result.CodeOf(reply.Err))

	answer(Idle, Write)
	session.ask(Begin, "BEGIN")

	reply = session.ask(Write, "WRITE 2 a")
	assert.Equal(t, result.ConnectionLost, result.CodeOf(reply.Err))
	assert.False(t, IsRolledBack(reply.Err), "the write may have been committed")
	assert.Equal(t, Aborted, reply.State)
	session.ask(Rollback, "ROLLBACK")

	// A statement is not sent if the server shows before that it has no transaction open.
	answer(Idle, Begin, Check)
	session.ask(Begin, "BEGIN")

	reply = session.ask(Write, "WRITE 3 a")
	assert.True(t, IsRolledBack(reply.Err))
	assert.NotContains(t, fmt.Sprint(f.servers["p"].ranStatements), "WRITE 3")
}

// Guards against a connection whose recorded state is that of the failed command and not of the last one that ran.
func TestConnectionStateFollowsTheLastAnswer(t *testing.T) {
	t.Parallel()

	fake := &fakeServer{primary: true, position: position.Position{Term: 1, LSN: 1}}
	backend, err := fake.dial()
	require.NoError(t, err)

	created := newConn(backend, &server{})
	set, begin := Command{Statement: Statement{Kind: Set, Name: "a", Value: "1"}}, Command{Statement: Statement{Kind: Begin}}
	fake.answerWith = func(command Command) (Answer, error, bool) {
		return Answer{Outcome: Failed}, nil, command.Kind == Set
	}

	_, err = created.run(soon(), set, begin, Command{Statement: Statement{Kind: Read}})
	require.ErrorIs(t, err, errSetup)
	assert.Equal(t, Open, created.state)
	assert.False(t, created.mayBeReused())

	created.rollbackUnlessIdle()
	assert.True(t, created.mayBeReused())

	fake.answerWith = func(Command) (Answer, error, bool) { return Answer{}, errors.New("connection reset"), true }

	_, err = created.run(soon(), begin)
	require.Error(t, err)
	assert.False(t, created.mayBeReused())
}
