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

// StateMachine is what the log replicates. The Group makes all calls from one goroutine. The results of Apply and
// Restore depend on nothing but the arguments and the calls before.
type StateMachine interface {
	// Apply executes a command and returns the answer for its proposer.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Member is a process that holds the log.
type Member struct {
	Name    string
	Address netip.AddrPort
}

// Defaults of Options.
const (
	DefaultHeartbeat     = 100 * time.Millisecond
	DefaultElection      = time.Second
	DefaultSnapshotEvery = 4096
)

// replaceSilence is the time for which a member must be silent before another one takes its place. VMs are usually away
// for longer or much shorter.
const replaceSilence = 3 * time.Second

// remindInterval is the time between log lines of a member that waits for others.
const remindInterval = 10 * time.Second

// Limits of a Group.
const (
	// commandLimit is the size of the largest command in bytes. A batch must fit into a gRPC message of 4 MiB.
	commandLimit = 1 << 20
	// batchLimit is the size in bytes from which on a batch takes no further message.
	batchLimit = 1 << 20
	// queueLength bounds the messages that wait for one member, in number. Raft repeats what is dropped.
	queueLength = 1024
	// receivedLength bounds the batches that wait for the loop, in number: several seconds of heartbeats.
	receivedLength = 256
	// proposalBatch bounds the commands that are saved together.
	proposalBatch = 256
)

// Options describe a Group.
type Options struct {
	Self Member
	// Initial are the members that form the group at its first start, the same on each of them. Later they only
	// serve to find the group; the members are those in the log.
	Initial []Member
	// Join keeps a member with an empty folder from forming a group: it waits until it is admitted to one.
	Join bool
	// Replace lets a member with an empty folder and a new name take the place of a member that is silent for
	// replaceSilence, without an operator. A member that was replaced and returns joins again.
	Replace bool
	// Grow is the number of members up to which the leader admits members with an empty folder, without an operator.
	Grow int
	// Folder is the data folder.
	Folder  string
	Machine StateMachine
	// Dial opens a new connection to a member; it must not return one that was returned before.
	Dial   func(netip.AddrPort) (*grpc.ClientConn, error)
	Timer  timer.Service
	Logger *slog.Logger
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// Election is the shortest time without a leader before an election.
	Election time.Duration
	// SnapshotEvery is the number of entries after which the log is compacted.
	SnapshotEvery uint64
	// Files are the file operations of the data folder; those of the operating system by default.
	Files disk.Files
}

func (o *Options) complete() error {
	if o.Self.Name == "" || !o.Self.Address.IsValid() {
		return eris.New("a member of the control log needs a name and an address")
	}

	if o.Machine == nil || o.Dial == nil || o.Timer == nil || o.Folder == "" {
		return eris.New("the control log needs a state machine, a dial function, a timer service and a data folder")
	}

	if o.Heartbeat <= 0 {
		o.Heartbeat = DefaultHeartbeat
	}

	if o.Election <= 0 {
		o.Election = DefaultElection
	}

	if o.Election < 3*o.Heartbeat {
		return eris.Errorf("the election timeout %s must be at least three heartbeats of %s", o.Election, o.Heartbeat)
	}

	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}

	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}

	return nil
}
