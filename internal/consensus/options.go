package consensus

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"almondgrade/core/timer"
	"almondgrade/io/disk"
)

// StateMachine is the state that the log replicates. The Group makes all calls from one goroutine. The results of Apply
// and Restore must depend only on the arguments and the earlier calls.
type StateMachine interface {
	// Apply executes a command and returns the answer for its proposer.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Member is a process that keeps a copy of the log.
type Member struct {
	Name    string
	Address netip.AddrPort
}

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = time.Second
	DefaultSnapshotEntries   = 4096
	// snapshotBytes is the size of the applied commands after which the log is compacted, and snapshotFactor the multiple of the last
	// snapshot's size that they must have, so that writing snapshots takes a quarter of the log's writes at most.
	snapshotBytes  = 4 << 20
	snapshotFactor = 4
)

// replaceAfter is the time for which a member must be silent before another one takes its place. The usual downtime of a
// VM is either longer or much shorter.
const replaceAfter = 3 * time.Second

// waitLogInterval is the time between log lines of a member that waits for others to form a group.
const waitLogInterval = 10 * time.Second

// Limits of a Group.
const (
	// maxCommandBytes is the size of the largest command. A batch must fit into a gRPC message of 4 MiB.
	maxCommandBytes = 1 << 20
	// fullBatchBytes is the size from which on no message is added to a batch.
	fullBatchBytes = 1 << 20
	// sendQueueLength is the number of messages that may wait for one member. Raft repeats dropped messages.
	sendQueueLength = 1024
	// receiveQueueLength is the number of batches that may wait for the event loop: several seconds of heartbeats.
	receiveQueueLength = 256
	// maxProposalsPerSave is the number of commands that may be saved together.
	maxProposalsPerSave = 256
)

// Options describe a Group.
type Options struct {
	Self Member
	// Initial are the members that form the group at its first start, the same on each of them. Later they are only
	// used to find the group; the log says which members it has.
	Initial []Member
	// JoinOnly keeps a member with an empty folder from forming a group: it waits until a group admits it.
	JoinOnly bool
	// AutoReplace lets a member with an empty folder and a new name replace a member that has been silent for
	// replaceAfter, without an operator. A member that was replaced and returns joins again.
	AutoReplace bool
	// AutoGrowTo is the number of members up to which the leader admits members with an empty folder without an
	// operator.
	AutoGrowTo int
	// Folder is the data folder.
	Folder  string
	Machine StateMachine
	// Dial opens a new connection to a member; it must not return the same connection twice.
	Dial   func(netip.AddrPort) (*grpc.ClientConn, error)
	Timer  timer.Service
	Logger *slog.Logger
	// HeartbeatInterval is the interval of the leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a leader before an election.
	ElectionTimeout time.Duration
	// SnapshotEntries is the number of entries after which the log is compacted.
	SnapshotEntries uint64
	// Files are the file operations on the data folder; the default is those of the operating system.
	Files disk.Files
}

func (o *Options) checkAndSetDefaults() error {
	if o.Self.Name == "" || !o.Self.Address.IsValid() {
		return eris.New("a member of the control log needs a name and an address")
	}

	if o.Machine == nil || o.Dial == nil || o.Timer == nil || o.Folder == "" {
		return eris.New("the control log needs a state machine, a dial function, a timer service and a data folder")
	}

	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}

	if o.ElectionTimeout <= 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}

	if o.ElectionTimeout < 3*o.HeartbeatInterval {
		return eris.Errorf("the election timeout %s must be at least three heartbeats of %s", o.ElectionTimeout, o.HeartbeatInterval)
	}

	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}

	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}

	return nil
}
