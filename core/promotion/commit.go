package promotion

import "almondgrade/core/position"

// CommitVerdict is the result of JudgeCommit.
type CommitVerdict uint8

// The verdicts.
const (
	// Acknowledge means that each later primary will hold the commit.
	Acknowledge CommitVerdict = iota
	// AskReplicas means that the replicas must be asked what they have received.
	AskReplicas
	// Unconfirmed means that a later primary may lack the commit.
	Unconfirmed
)

// CommitEvidence is what a proxy knows when a server has answered a commit with success.
type CommitEvidence struct {
	// SyncReplicas is the number of replicas that must hold an acknowledged commit.
	SyncReplicas int
	// Leased is true if the leader of control waited for this proxy, before it replaced the primary, at some time after the answer had
	// arrived.
	Leased bool
	// Unreplaced is true if the server was then the primary of the proxy's view, without a takeover since the commit was sent, or with
	// one that waits for running commits.
	Unreplaced bool
	// Position is the position of the server's log after the commit, or zero if it is unknown.
	Position position.Position
	// Received are the last known positions of those replicas that control knew when the commit was sent.
	Received []position.Position
	// TimedOut is true if the replicas need not be asked again.
	TimedOut bool
}

// JudgeCommit decides whether a commit may be acknowledged to the caller. A takeover chooses the next primary by the positions of
// the replicas that control knows. A primary that is cut off from control, or was for a while, also acknowledges commits that only
// another replica has received. So the answer counts by itself only while control still waits for this proxy, because the
// positions are read after that. Later, replicas that control knows must hold the commit.
func JudgeCommit(e CommitEvidence) CommitVerdict {
	if e.SyncReplicas == 0 || e.Leased && e.Unreplaced {
		return Acknowledge
	}

	if e.Position == (position.Position{}) {
		return Unconfirmed
	}

	holders := 0

	for _, received := range e.Received {
		// A replica of a newer term may have received the position in that term.
		if received.Term == e.Position.Term && received.LSN >= e.Position.LSN {
			holders++
		}
	}

	switch {
	case holders >= e.SyncReplicas:
		return Acknowledge
	case e.TimedOut || len(e.Received) < e.SyncReplicas:
		return Unconfirmed
	}

	return AskReplicas
}
