// Package pairing pairs the answers on a connection with the commands that were sent on it, for a protocol whose answers
// do not name their command.
//
// It is built for servers that may send an answer a second time, at any later moment: also after the next command was
// sent. A client that takes the next answer for the next command is then one answer behind for the rest of the
// connection. A Tracker tells the answers apart by their content instead:
//
//   - The signature of an answer is unique. An answer with a signature that the connection has seen is a repetition, and
//     one with a new signature is genuine.
//   - An answer without a signature can be a repetition only if it equals an earlier one. If it does, and if it could also
//     be the answer to the command that was sent last, it is ambiguous.
//
// After an ambiguous failure of a command whose answer would have had a signature, the client resolves the doubt before it
// sends another such command: it sends one or more commands without a signature, the last of which has Resolves set. If the failure
// was a repetition, the genuine answer arrives before theirs, as a late one. A first failure is ambiguous as well behind an
// ambiguous success, because the answer to the command of that may still arrive.
//
// A client that knows that the server repeats answers calls Distrust. What arrives while no command is outstanding is given to
// Drop.
//
// # Limits
//
// A Tracker remembers signatures for 30 s of use and the last 64 other answers. A repetition of an older answer is taken
// for a genuine one, and so is the last of as many repetitions at the same moment as there are commands that resolve the doubt and
// one more.
//
// A Tracker has no clock and is not safe for concurrent use.
//
// # Usage
//
//	tracker := pairing.NewTracker(pairing.Answer[string, int]{State: "I"})
//	switch tracker.Judge(time.Now(), pairing.Command[string]{Signed: true}, answer) {
//	case pairing.Repeated:
//		// Read the next answer.
//	case pairing.Genuine:
//		return answer
//	}
package pairing
