package pairing_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/pairing"
)

const (
	idle = "I"
	open = "T"
)

//nolint:gochecknoglobals // Constant.
var began = time.Unix(1000, 0)

type (
	command = pairing.Command[string]
	answer  = pairing.Answer[string, int]
)

func signed(signature string) answer {
	return answer{Kind: pairing.Success, Signature: signature, State: idle}
}

func refused(detail string) answer {
	return answer{Kind: pairing.Failure, Detail: detail, State: idle}
}

func unsigned(state string) answer {
	return answer{Kind: pairing.Success, State: state}
}

// Guards against an answer that is taken for that to another command, and against a genuine one that is passed over.
func TestJudge(t *testing.T) {
	t.Parallel()

	read, set, begin := command{Signed: true, StateBefore: idle}, command{StateBefore: idle, State: idle}, command{StateBefore: idle, State: open}
	check := command{StateBefore: idle, AnyState: true, Resolves: true}

	type step struct {
		command command
		answer  answer
		want    pairing.Verdict
	}

	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"new signatures", []step{{read, signed("1"), pairing.Genuine}, {read, signed("2"), pairing.Genuine}}},
		{"repeated signature", []step{
			{read, signed("1"), pairing.Genuine}, {read, signed("2"), pairing.Genuine}, {read, signed("1"), pairing.Repeated},
			{set, signed("2"), pairing.Repeated}, {set, unsigned(idle), pairing.Genuine},
		}},
		{"first refusal", []step{{read, refused("BUSY"), pairing.Genuine}, {read, signed("1"), pairing.Genuine}}},
		{"refusal that repeats another one", []step{
			{read, refused("BUSY"), pairing.Genuine}, {read, refused("BUSY"), pairing.Ambiguous}, {set, signed("1"), pairing.Late},
			{check, unsigned(idle), pairing.Genuine}, {read, signed("2"), pairing.Genuine},
		}},
		{"second refusal", []step{
			{read, refused("BUSY"), pairing.Genuine}, {read, refused("BUSY"), pairing.Ambiguous}, {check, unsigned(idle), pairing.Genuine},
			{read, signed("2"), pairing.Genuine},
		}},
		{"answer behind two repetitions", []step{
			{set, unsigned(idle), pairing.Genuine}, {read, refused("BUSY"), pairing.Genuine}, {read, refused("BUSY"), pairing.Ambiguous},
			{set, unsigned(idle), pairing.Ambiguous}, {check, signed("1"), pairing.Late}, {check, unsigned(idle), pairing.Ambiguous},
			{read, signed("2"), pairing.Genuine},
		}},
		{"new signature of a server that does not sign other commands", []step{
			{set, unsigned(idle), pairing.Genuine}, {set, signed("1"), pairing.Invalid},
		}},
		{"refusal in another state outside of a transaction", []step{
			{begin, unsigned(open), pairing.Genuine},
			{command{Signed: true, StateBefore: open}, answer{Kind: pairing.Failure, Detail: "BUSY", State: open}, pairing.Genuine},
			{read, answer{Kind: pairing.Failure, Detail: "BUSY", State: open}, pairing.Repeated}, {read, signed("1"), pairing.Genuine},
		}},
		{"refusal at another position", []step{
			{read, refused("BUSY"), pairing.Genuine}, {read, answer{Kind: pairing.Failure, Detail: "BUSY", State: idle, Position: 1}, pairing.Genuine},
			{read, refused("BUSY"), pairing.Ambiguous},
		}},
		{"refusal of another kind", []step{{read, refused("BUSY"), pairing.Genuine}, {read, refused("LAGGING"), pairing.Genuine}}},
		{"statement behind an unresolved refusal", []step{
			{read, refused("BUSY"), pairing.Genuine}, {read, refused("BUSY"), pairing.Ambiguous}, {read, signed("1"), pairing.Invalid},
		}},
		{"refusal behind an unresolved one", []step{
			{read, refused("BUSY"), pairing.Genuine}, {read, refused("BUSY"), pairing.Ambiguous}, {read, refused("LAGGING"), pairing.Invalid},
		}},
		{"success without the signature it must have", []step{{read, unsigned(idle), pairing.Invalid}}},
		{"repeated success of another command", []step{
			{set, unsigned(idle), pairing.Genuine}, {read, unsigned(idle), pairing.Repeated}, {read, signed("1"), pairing.Genuine},
		}},
		{"repeated success with another state", []step{
			{begin, unsigned(open), pairing.Genuine}, {set, unsigned(open), pairing.Repeated}, {set, unsigned(idle), pairing.Genuine},
		}},
		{"repetition at an earlier position", []step{
			{set, unsigned(idle), pairing.Genuine}, {check, answer{Kind: pairing.Success, State: idle, Old: true}, pairing.Repeated},
			{check, unsigned(idle), pairing.Ambiguous}, {read, refused("BUSY"), pairing.Ambiguous},
		}},
		{"positions that go back", []step{
			{set, unsigned(idle), pairing.Genuine}, {set, answer{Kind: pairing.Success, State: idle, Old: true}, pairing.Repeated},
			{set, answer{Kind: pairing.Success, State: idle, Old: true}, pairing.Invalid},
		}},
		{"session in another state", []step{
			{begin, unsigned(open), pairing.Genuine}, {set, unsigned(open), pairing.Repeated}, {set, unsigned(open), pairing.Invalid},
		}},
		{"two repetitions in another state, one of them resolved", []step{
			{begin, unsigned(open), pairing.Genuine}, {set, unsigned(open), pairing.Repeated}, {check, unsigned(idle), pairing.Genuine},
			{set, unsigned(open), pairing.Repeated}, {set, unsigned(idle), pairing.Ambiguous},
		}},
		{"repeated success with the same state", []step{{set, unsigned(idle), pairing.Genuine}, {set, unsigned(idle), pairing.Ambiguous}}},
		{"repeated greeting", []step{{read, answer{State: idle}, pairing.Repeated}, {set, answer{State: idle}, pairing.Repeated}}},
		{"greeting in another state", []step{{read, answer{State: open}, pairing.Invalid}}},
		{"first refusal behind a success that may be repeated", []step{
			{set, unsigned(idle), pairing.Genuine}, {set, unsigned(idle), pairing.Ambiguous}, {read, refused("BUSY"), pairing.Ambiguous},
			{check, unsigned(idle), pairing.Ambiguous}, {read, signed("1"), pairing.Genuine}, {read, refused("LAGGING"), pairing.Genuine},
		}},
		{"server that signs everything alike", []step{
			{set, signed("-x"), pairing.Genuine}, {set, signed("-x"), pairing.Ambiguous}, {read, signed("-x"), pairing.Repeated},
			{read, signed("1"), pairing.Genuine},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			tracker := pairing.NewTracker(answer{State: idle})
			for i, step := range test.steps {
				assert.Equal(t, step.want, tracker.Judge(began, step.command, step.answer), "step %d", i)
			}
		})
	}
}

// Guards against a refusal that is relied upon because its position is new, at a server that may give repetitions another one,
// and against a first refusal that hides behind a repeated success.
func TestDistrust(t *testing.T) {
	t.Parallel()

	later := answer{Kind: pairing.Failure, Detail: "BUSY", State: idle, Position: 1}
	read, set := command{Signed: true, StateBefore: idle}, command{StateBefore: idle, State: idle, Resolves: true}

	tracker := pairing.NewTracker(answer{State: idle})
	tracker.Distrust()
	require.Equal(t, pairing.Genuine, tracker.Judge(began, read, refused("BUSY")))
	require.Equal(t, pairing.Ambiguous, tracker.Judge(began, read, later))
	require.Equal(t, pairing.Genuine, tracker.Judge(began, set, unsigned(idle)))
	require.Equal(t, pairing.Ambiguous, tracker.Judge(began, set, unsigned(idle)))
	require.Equal(t, pairing.Ambiguous, tracker.Judge(began, read, refused("FAILED")))

	// An answer that was dropped is remembered.
	tracker.Drop(began, signed("1"))
	require.Equal(t, pairing.Repeated, tracker.Judge(began, read, signed("1")))
	require.Equal(t, pairing.Genuine, tracker.Judge(began, read, signed("2")))
}

// Guards against a repetition that is recognised only while few answers lie between.
func TestOldSignatureIsRecognised(t *testing.T) {
	t.Parallel()

	const statements = 60000

	tracker := pairing.NewTracker(answer{State: idle})
	for i := range statements {
		require.Equal(t, pairing.Genuine, tracker.Judge(began, command{Signed: true, StateBefore: idle}, signed(strconv.Itoa(i))))
	}

	assert.Equal(t, pairing.Repeated, tracker.Judge(began.Add(30*time.Second), command{Signed: true, StateBefore: idle}, signed("0")))
}

// Guards against a refusal that is taken for a genuine one because the answers in between differ from each other.
func TestRecentRefusalIsRecognised(t *testing.T) {
	t.Parallel()

	tracker, read := pairing.NewTracker(answer{State: idle}), command{Signed: true, StateBefore: idle}
	set := command{StateBefore: idle, State: idle, Resolves: true}
	tracker.Judge(began, set, unsigned(idle))
	tracker.Judge(began, read, refused("BUSY"))

	for i := range 61 {
		require.Equal(t, pairing.Genuine, tracker.Judge(began, read, refused("LAGGING 3."+strconv.Itoa(i))))
	}

	require.Equal(t, pairing.Ambiguous, tracker.Judge(began, read, refused("BUSY")))
	require.Equal(t, pairing.Ambiguous, tracker.Judge(began, set, unsigned(idle)))
	require.Equal(t, pairing.Genuine, tracker.Judge(began, read, signed("1")))

	for i := range 3 {
		require.Equal(t, pairing.Genuine, tracker.Judge(began, read, refused("LAGGING 4."+strconv.Itoa(i))))
	}

	assert.Equal(t, pairing.Ambiguous, tracker.Judge(began, read, refused("BUSY")), "the last refusal but three")
}

// connection is a server that may repeat one answer at a time, and the client of a connection to it.
type connection struct {
	t *rapid.T
	// answered are the answers so far, and stream those that the client has not read.
	answered []answer
	stream   []answer
	// waiting is true while a repetition is on its way. Two at the same moment can't be told apart in all cases.
	waiting bool
	sent    int
	tracker *pairing.Tracker[string, int]
}

// serve appends the answer to a command to the stream, with a repetition of an earlier one before or after it.
func (c *connection) serve(genuine answer) {
	if !c.waiting && len(c.answered) > 0 && rapid.IntRange(0, 3).Draw(c.t, "repeats") == 0 {
		c.waiting = true
		c.stream = append(c.stream, rapid.SampledFrom(c.answered).Draw(c.t, "repeated"))
	}

	c.sent++
	c.answered = append(c.answered, genuine)
	c.stream = append(c.stream, genuine)
}

// read returns the answer to a command, and a late one before it.
func (c *connection) read(sent command) (taken answer, verdict pairing.Verdict, late *answer) {
	for {
		require.NotEmpty(c.t, c.stream, "the answer was passed over")

		next := c.stream[0]
		c.stream = c.stream[1:]

		switch verdict = c.tracker.Judge(began, sent, next); verdict {
		case pairing.Repeated:
		case pairing.Late:
			late = &next
		default:
			return next, verdict, late
		}
	}
}

// Guards against a client that pairs answers with the wrong commands if a server repeats any of its earlier answers at any
// moment. A naive client, which takes the next answer, is shown to fail.
func TestClientOfRepeatingServer(t *testing.T) {
	t.Parallel()

	naiveFaults := 0

	rapid.Check(t, func(t *rapid.T) {
		c := &connection{t: t, tracker: pairing.NewTracker(answer{State: idle})}

		for i := range rapid.IntRange(1, 30).Draw(t, "statements") {
			sent, genuine := command{Signed: true, StateBefore: idle}, signed(strconv.Itoa(i))

			switch rapid.IntRange(0, 3).Draw(t, "outcome") {
			case 0:
				genuine = refused("BUSY")
			case 1:
				sent, genuine = command{StateBefore: idle, State: idle}, unsigned(idle)
			}

			c.serve(genuine)

			if fmt.Sprint(c.stream[0]) != fmt.Sprint(genuine) {
				naiveFaults++
			}

			taken, verdict, late := c.read(sent)
			require.Nil(t, late)
			require.NotEqual(t, pairing.Invalid, verdict)

			if verdict == pairing.Ambiguous && taken.Kind == pairing.Failure {
				// The client does not know whether the command has succeeded.
				reset := command{StateBefore: idle, State: idle, Resolves: true}
				c.serve(unsigned(idle))

				var settled answer
				if settled, _, late = c.read(reset); settled.Kind == pairing.Failure {
					// Both the command and its repetition were refused alike. The client closes the connection.
					require.Equal(t, taken, settled)

					return
				}

				if late != nil {
					taken = *late
				}
			}

			if sent.Signed {
				require.Equal(t, fmt.Sprint(genuine), fmt.Sprint(taken), "statement %d", i)
			}

			// What is left belongs to the repetition; later statements pass over it.
			c.waiting = len(c.stream) > 0
		}
	})

	require.Positive(t, naiveFaults)
}
