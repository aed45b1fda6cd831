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
func (b *scriptedBackend) DropUnexpected(bool) int { return 0 }

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

	begin, set := Command{Statement: Statement{Kind: Begin}}, Command{Statement: Statement{Kind: Set}}
	rollback := Command{Statement: Statement{Kind: Rollback}}
	opened, signedOpen := Answer{State: Open}, Answer{Signature: "signed", State: Open}
	failed, malformed := Answer{Outcome: Failed}, Answer{Outcome: OtherFailure}

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
		{"write that was refused", Idle, false, []Command{write}, []Answer{busy, {}, {}}, []Kind{Write, Check, Check}, busy, nil, true, false},
		{"write that ran", Idle, false, []Command{write}, []Answer{busy, {Late: &signed}, {}}, []Kind{Write, Check, Check}, signed, nil, true, false},
		{
			"write that ran before a refused check", Idle, false, []Command{write}, []Answer{busy, {Outcome: Busy, Late: &signed}, {}}, []Kind{Write, Check, Check},
			signed, nil, false, false,
		},
		{"write and check that were refused alike", Idle, false, []Command{write}, []Answer{busy, busy, {}}, []Kind{Write, Check, Check}, busy, errAmbiguous, false, false},
		{"write behind which nothing is answered", Idle, false, []Command{write}, []Answer{busy}, []Kind{Write, Check}, Answer{}, errScriptEnded, false, false},
		{
			"write that ran, whose answer arrives behind a repeated one to a check", Idle, false, []Command{write}, []Answer{busy, {}, {Late: &signed}},
			[]Kind{Write, Check, Check}, signed, nil, true, false,
		},
		{"write whose check fails", Idle, false, []Command{write}, []Answer{busy, failed, {}}, []Kind{Write, Check, Check}, busy, errAmbiguous, false, false},
		{"read", Idle, false, []Command{read}, []Answer{busy}, []Kind{Read}, busy, nil, true, false},
		{
			"statement of a transaction that was refused", Open, false, []Command{write}, []Answer{busyOpen, opened, opened}, []Kind{Write, Check, Check},
			busyOpen, nil, false, false,
		},
		{
			"statement of a transaction that ran", Open, false, []Command{write}, []Answer{busyOpen, {State: Open, Late: &signedOpen}, opened},
			[]Kind{Write, Check, Check}, signedOpen, nil, false, false,
		},
		{
			"statement of a transaction, refused as if outside of it", Open, false, []Command{read}, []Answer{busy, opened, opened}, []Kind{Read, Check, Check},
			busy, errAmbiguous, false, false,
		},
		{"commit that was refused", Open, false, []Command{commit}, []Answer{busyOpen, opened, opened}, []Kind{Commit, Check, Check}, busyOpen, nil, false, false},
		{"commit that ran", Open, false, []Command{commit}, []Answer{busyOpen, {Late: &signed}, {}}, []Kind{Commit, Check, Check}, signed, nil, true, false},
		{
			"commit that ran and failed", Open, false, []Command{commit}, []Answer{busyOpen, failed, {}}, []Kind{Commit, Check, Check},
			busyOpen, errAmbiguous, false, false,
		},
		{
			"commit whose transaction is gone", Open, false, []Command{commit}, []Answer{busyOpen, {}, {}}, []Kind{Commit, Check, Check},
			busyOpen, errAmbiguous, false, false,
		},
		{"refused begin", Idle, false, []Command{begin, read}, []Answer{{Outcome: Busy}, {}}, []Kind{Begin, Check}, Answer{Outcome: Busy}, errSetup, true, true},
		{"begin that may have run", Idle, false, []Command{begin, read}, []Answer{busy, opened}, []Kind{Begin, Check}, busy, errSetup, false, true},
		{
			"begin that was refused behind a repetition", Idle, false, []Command{begin, read}, []Answer{opened, {Outcome: NotPrimary}},
			[]Kind{Begin, Check}, Answer{Outcome: NotPrimary}, errSetup, true, true,
		},
		{
			"begin that left no transaction open", Idle, false, []Command{begin, read}, []Answer{opened, {}}, []Kind{Begin, Check},
			Answer{Outcome: OtherFailure, Detail: "the session is in another state than its setup leads to"}, errSetup, false, false,
		},
		{
			"value that opened a transaction", Idle, false, []Command{set, read}, []Answer{{}, opened}, []Kind{Set, Check},
			Answer{Outcome: OtherFailure, Detail: "the session is in another state than its setup leads to"}, errSetup, false, false,
		},
		{"refused value", Idle, false, []Command{set, read}, []Answer{failed, {}}, []Kind{Set, Check}, failed, errSetup, true, true},
		{"value that was refused behind a repetition", Idle, false, []Command{set, read}, []Answer{{}, failed}, []Kind{Set, Check}, failed, errSetup, true, true},
		{"refused value at a server that repeats answers", Idle, true, []Command{set, read}, []Answer{failed, {}, {}}, []Kind{Set, Check, Check}, failed, errSetup, false, true},
		{"rollback", Open, false, []Command{rollback}, []Answer{{}, {}}, []Kind{Rollback, Check}, Answer{}, nil, true, false},
		{"rollback that was refused", Open, false, []Command{rollback}, []Answer{busyOpen, opened}, []Kind{Rollback, Check}, busyOpen, nil, false, false},
		{"rollback that was refused behind a repetition", Open, false, []Command{rollback}, []Answer{{}, busyOpen}, []Kind{Rollback, Check}, Answer{}, nil, false, false},
		{"rollback that ran behind a repeated refusal", Open, false, []Command{rollback}, []Answer{busyOpen, {}}, []Kind{Rollback, Check}, Answer{}, nil, false, false},
		{"rollback behind which the transaction is open", Open, false, []Command{rollback}, []Answer{{}, opened}, []Kind{Rollback, Check}, Answer{}, nil, false, false},
		{"read at a server that repeats answers", Idle, true, []Command{read}, []Answer{busy}, []Kind{Read}, busy, nil, true, true},
		{
			"statement whose name is unknown though it was prepared", Idle, false, []Command{{Statement: Statement{Kind: Execute}}},
			[]Answer{{Outcome: UnknownStatement}}, []Kind{Execute}, Answer{Outcome: UnknownStatement}, nil, true, true,
		},
		{"refused check", Idle, false, []Command{set, read}, []Answer{{}, malformed}, []Kind{Set, Check}, malformed, errSetup, true, true},
		{
			"transaction", Idle, false, []Command{begin, read}, []Answer{opened, opened, signedOpen}, []Kind{Begin, Check, Read}, signedOpen, nil, false, false,
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
