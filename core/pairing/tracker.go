package pairing

import (
	"hash/maphash"
	"time"
)

// Verdict says what an answer is.
type Verdict uint8

// The verdicts.
const (
	// Genuine means that the answer is that to the command.
	Genuine Verdict = iota + 1
	// Ambiguous means that the answer is either that to the command or a repetition of an earlier one.
	Ambiguous
	// Repeated means that the answer repeats an earlier one. The answer to the command is still to come.
	Repeated
	// Late means that the answer is that to an earlier command, whose first answer was ambiguous and in fact a repetition.
	// The answer to the command is still to come.
	Late
	// Invalid means that the answer is none of these, so that the connection can't be used any longer.
	Invalid
)

// Command is what a Tracker must know of a command. S is the type of the state of a session, such as being in a
// transaction.
type Command[S comparable] struct {
	// Signed is true if success has a signature.
	Signed bool
	// StateBefore is the state before the command, and State that after its success if it is not signed.
	StateBefore S
	State       S
	// AnyState is true if the command does not determine the state.
	AnyState bool
	// Resolves is true if the client takes the answer to this command for a sign that all answers before it have arrived.
	Resolves bool
}

// Kind is the kind of an answer.
type Kind uint8

// The kinds of answers. A greeting is the answer to a login.
const (
	Greeting Kind = iota
	Success
	Failure
)

// Answer is a whole answer of a server.
type Answer[S, P comparable] struct {
	Kind Kind
	// Signature is empty if the answer has none.
	Signature string
	// Rows are the rows before the end of the answer.
	Rows []string
	// Detail is the code and the reason of a failure.
	Detail string
	State  S
	// Position is the position of the server's log. A repetition has that of the first answer, and a server that is known to
	// repeat answers is not relied upon for that.
	Position P
	// Old is true if the position is before that of an earlier answer. Positions don't go back.
	Old bool
}

// rememberedOthers bounds the answers without a signature that are remembered. A connection rarely gets more than ten different
// ones.
const rememberedOthers = 64

// maxMismatches bounds the answers that are passed over because of their state or position. Where several in turn have another one
// than the expected one, the session has it.
const maxMismatches = 1

// Tracker judges the answers on one connection.
type Tracker[S, P comparable] struct {
	seed maphash.Seed
	// idle is the state after the login.
	idle       S
	signatures recentSet
	// others are the answers without a signature, and failures those of them that are failures, with their positions.
	others   ring
	failures ring
	// unresolved is true if a command with a signature has an ambiguous failure and may still be answered.
	unresolved bool
	// signsOthers is true if the server signs answers to commands that are not signed, and signsNone if it does not. The first
	// such answer shows it. Such signatures need not be unique.
	signsOthers, signsNone bool
	// distrusts is true if the server is known to repeat answers.
	distrusts bool
	// uncertain is true if an answer without a signature was taken that may be a repetition, so that the answer to its command may
	// still arrive.
	uncertain bool
	// mismatches counts the answers that were passed over because of their state or position since the last command that resolves.
	mismatches int
}

// NewTracker returns a tracker for a connection whose login was answered with a greeting.
func NewTracker[S, P comparable](greeting Answer[S, P]) *Tracker[S, P] {
	created := &Tracker[S, P]{seed: maphash.MakeSeed(), idle: greeting.State}
	created.others.add(created.digest(greeting, false))

	return created
}

// Judge returns what an answer is that arrives after a command was sent and all commands before it were answered.
func (t *Tracker[S, P]) Judge(now time.Time, command Command[S], answer Answer[S, P]) Verdict {
	if answer.Signature != "" {
		if verdict := t.judgeSigned(now, command, answer); verdict != 0 {
			return verdict
		}
	}

	repeats := !t.others.add(t.digest(answer, false))

	if repeats && answer.Old {
		return t.passOver()
	}

	if answer.Kind == Failure {
		repeatsPosition := !t.failures.add(t.digest(answer, true))

		if repeats && answer.State != command.StateBefore && command.StateBefore == t.idle {
			// No failure opens a transaction.
			return Repeated
		}

		return t.judgeFailure(command, repeatsPosition || repeats && t.distrusts)
	}

	return t.judgeSuccess(command, answer, repeats)
}

// judgeSuccess returns the verdict on a success or a greeting without a signature, which repeats an earlier answer or not.
func (t *Tracker[S, P]) judgeSuccess(command Command[S], answer Answer[S, P], repeats bool) Verdict {
	switch {
	case answer.Kind == Greeting || command.Signed:
		// A success without the signature that it must have, or a greeting amid the session.
		if repeats {
			return Repeated
		}

		return Invalid
	case repeats && !command.AnyState && answer.State != command.State:
		return t.passOver()
	}

	t.signsNone = !t.signsOthers

	if command.Resolves {
		t.unresolved, t.mismatches = false, 0
	}

	if repeats {
		t.uncertain = true

		return Ambiguous
	}

	return Genuine
}

// passOver returns the verdict on an answer with an impossible state or position that equals an earlier answer otherwise.
func (t *Tracker[S, P]) passOver() Verdict {
	t.mismatches++
	if t.mismatches > maxMismatches {
		return Invalid
	}

	return Repeated
}

// judgeFailure returns the verdict on a failure, which repeats an earlier answer or not.
func (t *Tracker[S, P]) judgeFailure(command Command[S], repeats bool) Verdict {
	switch {
	case command.Signed && t.unresolved:
		return Invalid
	case repeats || command.Signed && t.uncertain:
		t.unresolved = t.unresolved || command.Signed

		return Ambiguous
	default:
		return Genuine
	}
}

// Distrust tells the tracker that the server is known to repeat answers. From then on a failure at another position than the
// one that it equals otherwise is ambiguous, too.
func (t *Tracker[S, P]) Distrust() {
	t.distrusts = true
}

// Drop records an answer that has arrived after all commands were answered.
func (t *Tracker[S, P]) Drop(now time.Time, answer Answer[S, P]) {
	if answer.Signature == "" || t.signsOthers {
		t.others.add(t.digest(answer, false))

		if answer.Kind == Failure {
			t.failures.add(t.digest(answer, true))
		}

		return
	}

	if t.signatures.add(now, maphash.String(t.seed, answer.Signature)) {
		t.unresolved = false
	}
}

// judgeSigned returns the verdict on an answer with a signature, or zero if the signature does not decide.
func (t *Tracker[S, P]) judgeSigned(now time.Time, command Command[S], answer Answer[S, P]) Verdict {
	hash := maphash.String(t.seed, answer.Signature)

	switch {
	case t.signatures.has(hash):
		return Repeated
	case command.Signed && t.signsOthers && t.others.has(t.digest(answer, false)):
		return Repeated
	case command.Signed && t.unresolved:
		return Invalid
	case command.Signed:
		t.signatures.add(now, hash)
		t.uncertain = false

		return Genuine
	case t.unresolved && t.signsOthers, !t.unresolved && t.signsNone:
		return Invalid
	case t.unresolved:
		t.signatures.add(now, hash)
		t.unresolved = false

		return Late
	default:
		t.signsOthers = true

		return 0
	}
}

// digest returns a hash of an answer without a signature. The seed differs from connection to connection, so that no
// server can prepare a collision.
func (t *Tracker[S, P]) digest(answer Answer[S, P], withPosition bool) uint64 {
	var hash maphash.Hash

	hash.SetSeed(t.seed)
	maphash.WriteComparable(&hash, answer.Kind)
	maphash.WriteComparable(&hash, answer.State)
	maphash.WriteComparable(&hash, answer.Detail)
	maphash.WriteComparable(&hash, answer.Signature)

	if withPosition {
		maphash.WriteComparable(&hash, answer.Position)
	}

	for _, row := range answer.Rows {
		maphash.WriteComparable(&hash, row)
	}

	return hash.Sum64()
}
