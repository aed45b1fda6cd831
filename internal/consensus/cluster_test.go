package consensus_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/core/timer"
	"almondgrade/internal/consensus"
	"almondgrade/io/disk"
)

// eventTimeout bounds the wait for an event that must happen. No check of the order of events depends on it.
const eventTimeout = 60 * time.Second

// The election timeout is long, so that a busy machine doesn't cause elections that a test rules out.
const (
	heartbeat = 50 * time.Millisecond
	election  = time.Second
)

// fastDivisor divides the times above in tests that allow any number of elections.
const fastDivisor = 3

// register is a state machine that holds one value and counts the commands.
type register struct {
	mutex sync.Mutex
	value uint64
	count uint64
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.value = binary.BigEndian.Uint64(command)
	r.count++

	return binary.BigEndian.AppendUint64(nil, r.count)
}

func (r *register) Snapshot() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, r.value), r.count), nil
}

func (r *register) Restore(snapshot []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.value, r.count = binary.BigEndian.Uint64(snapshot), binary.BigEndian.Uint64(snapshot[8:])

	return nil
}

func (r *register) read() (value, count uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.value, r.count
}

func writeCommand(value uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, value)
}

// process is a member with its own state machine, gRPC server and clock, as in a process of its own.
type process struct {
	group   *consensus.Group
	machine *register
	server  *grpc.Server
	clock   *countingClock
	self    consensus.Member
	folder  string
}

// countingClock counts the heartbeats, which measure time independently of the machine's speed.
type countingClock struct {
	*timer.Clock
	heartbeats atomic.Int64
}

// Every implements timer.Service.
func (c *countingClock) Every(interval time.Duration, call func(now time.Time)) timer.StopFunc {
	return c.Clock.Every(interval, func(now time.Time) {
		c.heartbeats.Add(1)
		call(now)
	})
}

// cluster runs members that are connected over loopback.
type cluster struct {
	t               *testing.T
	network         *network
	initial         []consensus.Member
	processes       map[string]*process
	files           map[string]disk.Files
	snapshotEntries uint64
	// divisor divides the heartbeat interval and the election timeout.
	divisor time.Duration
	// autoMembers is the number of members up to which the group grows without an operator; if it is not zero, silent
	// members are replaced as well. joinOnly are the members that may join a group but not form one.
	autoMembers int
	joinOnly    map[string]bool
	root        string
}

// clusterSlots bounds the clusters that run at once. On one core under -race, eleven clusters slow each other down so
// much that no leader lasts for an election timeout.
var clusterSlots = make(chan struct{}, 2)

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()

	clusterSlots <- struct{}{}

	t.Cleanup(func() { <-clusterSlots })

	c := &cluster{t: t, divisor: 1, root: t.TempDir(), network: newNetwork(), processes: make(map[string]*process), files: make(map[string]disk.Files)}
	for _, name := range names {
		c.initial = append(c.initial, c.newMember(name))
	}

	t.Cleanup(func() {
		for name := range c.processes {
			c.stop(name)
		}
	})

	return c
}

// addresses numbers the loopback addresses that the members of this test process use.
var addresses atomic.Uint32

// newMember returns a member with a loopback address of its own. Outgoing connections use 127.0.0.1, so none of them can
// occupy the port while the member is stopped.
func (c *cluster) newMember(name string) consensus.Member {
	number := addresses.Add(1)
	address := netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(number / 250), byte(1 + number%250)})

	return consensus.Member{Name: name, Address: netip.AddrPortFrom(address, 7400)}
}

func (c *cluster) initialMember(name string) consensus.Member {
	for _, member := range c.initial {
		if member.Name == name {
			return member
		}
	}

	c.t.Fatalf("no member %s", name)

	return consensus.Member{}
}

func (c *cluster) start(names ...string) {
	c.t.Helper()

	for _, name := range names {
		require.NoError(c.t, c.run(c.initialMember(name), c.folder(name)))
	}
}

func (c *cluster) folder(name string) string {
	return filepath.Join(c.root, name)
}

func (c *cluster) run(self consensus.Member, folder string) error {
	c.t.Helper()

	p := &process{machine: &register{}, server: grpc.NewServer(), clock: &countingClock{Clock: timer.New()}, self: self, folder: folder}

	listener, err := net.Listen("tcp", self.Address.String())
	require.NoError(c.t, err)

	p.group, err = consensus.New(consensus.Options{
		Self: self, Initial: c.initial, Folder: folder, Machine: p.machine, Timer: p.clock, HeartbeatInterval: heartbeat / c.divisor,
		ElectionTimeout: election / c.divisor, SnapshotEntries: c.snapshotEntries, Files: c.files[self.Name],
		AutoReplace: c.autoMembers > 0, AutoGrowTo: c.autoMembers, JoinOnly: c.joinOnly[self.Name],
		Dial: func(to netip.AddrPort) (*grpc.ClientConn, error) { return c.network.dial(self.Address, to) },
	})
	if err != nil {
		listener.Close()

		return err
	}

	p.group.Register(p.server)

	go p.server.Serve(listener)

	c.processes[self.Name] = p

	return nil
}

// stop ends a process at once, as a crash does; what it has synced stays in its folder.
func (c *cluster) stop(name string) {
	p := c.processes[name]
	delete(c.processes, name)
	p.server.Stop()
	p.group.Close()
	p.clock.Close()
}

func (c *cluster) deleteFolder(name string) {
	require.NoError(c.t, os.RemoveAll(c.folder(name)))
}

// eventually waits until a condition holds.
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, eventTimeout, heartbeat/2, description)
}

// leader waits until a member can confirm that it leads, and returns its name.
func (c *cluster) leader() string {
	c.t.Helper()

	var found string

	c.eventually("a leader", func() bool {
		for name, p := range c.processes {
			ctx, cancel := context.WithTimeout(context.Background(), 5*election)
			_, err := p.group.Confirm(ctx)

			cancel()

			if err == nil {
				found = name

				return true
			}
		}

		return false
	})

	return found
}

// propose writes a value through the leader, and retries until a write is acknowledged.
func (c *cluster) propose(value uint64) {
	c.t.Helper()

	c.eventually("an acknowledged write", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*election)
		defer cancel()

		_, err := c.processes[c.leader()].group.Propose(ctx, writeCommand(value))

		return err == nil
	})
}

func insecureDial(to netip.AddrPort, dialer func(context.Context, string) (net.Conn, error)) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+to.String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer))
}
