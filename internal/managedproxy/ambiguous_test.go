package managedproxy

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/pairing"
)

// scriptedBackend answers commands from a list.
type scriptedBackend struct {
	answers []Answer
	sent    []Kind
}

var errScriptEnded = errors.New("connection reset")

// Run implements Backend.
func (b *scriptedBackend) Run(_ time.Time, commands ...Command) (answers []Answer, err error) {
	for _, command := range commands {
		b.sent = append(b.sent, command.Kind)

		if len(b.answers) == 0 {
			return nil, errScriptEnded
		}

		answers = append(answers, b.answers[0])
		b.answers = b.answers[1:]
	}

	return answers, nil
}

// DropUnexpected implements Backend.
func (b *scriptedBackend) DropUnexpected() int { return 0 }

// Alive implements Backend.
func (b *scriptedBackend) Alive() bool { return true }

// Close implements Backend.
func (b *scriptedBackend) Close() {}

// Guards against a refusal that is passed on as a promise although it repeats an earlier one and the statement ran, against a
// connection that is used again while an answer is still to come, and against statements that are sent once more.
func TestAmbiguousRefusals(t *testing.T) {
	t.Parallel()

	busy := Answer{Outcome: Busy, Detail: "BUSY i-1", Verdict: pairing.Ambiguous}
	busyOpen := Answer{Outcome: Busy, Detail: "BUSY i-1", Verdict: pairing.Ambiguous, State: Open}
	signed := Answer{Signature: "signed"}
	write, read, commit := Command{Statement: Statement{Kind: Write}}, Command{Statement: Statement{Kind: Read}}, Command{Statement: Statement{Kind: Commit}}
	write.Writes = true

	for _, test := range []struct {
		name     string
		state    State
		repeats  bool
		commands []Command
		answers  []Answer
		sent     []Kind
		want     Answer
		err      error
		reusable bool
		reset    bool
	}{
		{"certain refusal", Idle, false, []Command{write}, []Answer{{Outcome: Busy}}, []Kind{Write}, Answer{Outcome: Busy}, nil, true, false},
		{"write that was refused", Idle, false, []Command{write}, []Answer{busy, {}}, []Kind{Write, Reset}, busy, nil, true, false},
		{"write that ran", Idle, false, []Command{write}, []Answer{busy, {Late: &signed}}, []Kind{Write, Reset}, signed, nil, true, false},
		{"write and reset that were refused alike", Idle, false, []Command{write}, []Answer{busy, busy}, []Kind{Write, Reset}, busy, nil, false, false},
		{"write behind which nothing is answered", Idle, false, []Command{write}, []Answer{busy}, []Kind{Write, Reset}, Answer{}, errScriptEnded, false, false},
		{
			"write whose reset fails", Idle, false, []Command{write}, []Answer{busy, {Outcome: Failed}}, []Kind{Write, Reset},
			Answer{}, errAmbiguous, false, true,
		},
		{"read", Idle, false, []Command{read}, []Answer{busy}, []Kind{Read}, busy, nil, true, true},
		{"statement of a transaction", Open, false, []Command{write}, []Answer{busyOpen}, []Kind{Write}, busyOpen, errAmbiguous, false, false},
		{
			"statement of a transaction, refused as if outside of it", Open, false, []Command{read}, []Answer{busy}, []Kind{Read},
			busy, errAmbiguous, false, false,
		},
		{"commit that was refused", Open, false, []Command{commit}, []Answer{busyOpen, {}}, []Kind{Commit, Rollback}, busy, nil, true, false},
		{
			"commit that was refused, outside of a transaction then", Open, false, []Command{commit}, []Answer{busyOpen, {Outcome: OtherFailure}},
			[]Kind{Commit, Rollback}, busy, nil, true, false,
		},
		{
			"commit that ran", Open, false, []Command{commit}, []Answer{busyOpen, {Outcome: OtherFailure, Late: &signed}},
			[]Kind{Commit, Rollback}, signed, nil, true, false,
		},
		{
			"refused begin", Idle, false, []Command{{Statement: Statement{Kind: Begin}}, read}, []Answer{busy, {Outcome: OtherFailure}},
			[]Kind{Begin, Rollback}, busy, errSetup, true, true,
		},
		{
			"begin that ran", Idle, false, []Command{{Statement: Statement{Kind: Begin}}, read}, []Answer{busy, {State: Open}},
			[]Kind{Begin, Rollback}, busy, errSetup, false, true,
		},
		{
			"refused value", Idle, false, []Command{{Statement: Statement{Kind: Set}}, read}, []Answer{busy}, []Kind{Set}, busy, errSetup, true, true,
		},
		{
			"begin at a server that repeats answers", Idle, true, []Command{{Statement: Statement{Kind: Begin}}, read},
			[]Answer{{State: Open}, {}, {State: Open}, {Signature: "signed", State: Open}}, []Kind{Begin, Rollback, Begin, Read},
			Answer{Signature: "signed", State: Open}, nil, false, true,
		},
		{
			"begin that failed behind a repeated answer", Idle, true, []Command{{Statement: Statement{Kind: Begin}}, read},
			[]Answer{{State: Open}, {Outcome: NotPrimary}, {}}, []Kind{Begin, Rollback, Begin}, Answer{Outcome: NotPrimary}, errSetup, true, false,
		},
		{
			"value at a server that repeats answers", Idle, true, []Command{{Statement: Statement{Kind: Set}}, read},
			[]Answer{{}, {Outcome: Failed}}, []Kind{Set, Set}, Answer{Outcome: Failed}, errSetup, true, true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			backend := &scriptedBackend{answers: test.answers}
			created := newConn(backend, &server{})
			created.state = test.state
			created.server.answers.repeats.Store(test.repeats)

			answer, err := created.run(soon(), test.commands...)
			require.ErrorIs(t, err, test.err)
			assert.Equal(t, test.want, answer)
			assert.Equal(t, test.sent, backend.sent)
			assert.Equal(t, test.reusable, created.mayBeReused())
			assert.Equal(t, test.reset, created.setupUncertain)
		})
	}
}
