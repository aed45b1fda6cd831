package standin

import (
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/position"
)

// Member is a stand-in for one backend server of a group. Its methods are safe for concurrent use.
type Member struct {
	options Options
	faults  *faults
	slots   *slots
	// The limits and delays apply to the running server and persist across restarts.
	maxConnections atomic.Int64
	replayLag      atomic.Int64
	receiveDelay   atomic.Int64
	leaving        atomic.Bool
	sequence       atomic.Uint64
	// statementCounts counts the SQL statements that arrived by application name.
	statementCounts counters
	// delayChanged is notified when replayLag or receiveDelay changes.
	delayChanged *notifier
	dataFolder   string
	// removeOnClose is true if Close removes dataFolder.
	removeOnClose bool
	announcer     *announcer
	faultServer   *http.Server

	mu      sync.Mutex
	address netip.AddrPort
	server  *server // nil while stopped
	closed  bool
}

// New starts a member.
func New(options Options) (*Member, error) {
	m := &Member{
		options: options.withDefaults(), faults: newFaults(), delayChanged: newNotifier(), dataFolder: options.DataFolder,
		removeOnClose: options.DataFolder == "",
	}
	m.address = m.options.Listen
	m.slots = newSlots(m.options.Slots)
	m.maxConnections.Store(int64(m.options.Connections))
	m.replayLag.Store(int64(m.options.Lag))
	m.receiveDelay.Store(int64(m.options.ReceiveDelay))

	if m.removeOnClose {
		folder, err := os.MkdirTemp("", "standin-")
		if err != nil {
			return nil, eris.Wrap(err, "create temporary data folder")
		}

		m.dataFolder = folder
	}

	if err := m.Start(); err != nil {
		return nil, errors.Join(err, m.Close())
	}

	if err := m.serveFaults(); err != nil {
		return nil, errors.Join(err, m.Close())
	}

	m.announcer = startAnnouncer(m)

	return m, nil
}

// Addr returns the address that the member listens on. It stays the same across restarts.
func (m *Member) Addr() netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.address
}

// Close stops the member permanently and removes its data unless Options.DataFolder was set.
func (m *Member) Close() error {
	if m.announcer != nil {
		m.announcer.close()
	}

	if m.faultServer != nil {
		_ = m.faultServer.Close()
	}

	err := m.Stop()

	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.faults.closeAll()

	if m.removeOnClose {
		err = errors.Join(err, os.RemoveAll(m.dataFolder))
	}

	return err
}

// Stop ends the server abruptly, as the loss of its VM does. The data stay.
func (m *Member) Stop() error {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.stopLocked()
}

func (m *Member) stopLocked() error {
	if m.server == nil {
		return nil
	}

	err := m.server.close()
	m.server = nil

	return err
}

// Start starts a stopped server on its data. It does nothing if the server runs.
func (m *Member) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.startLocked()
}

func (m *Member) startLocked() error {
	if m.server != nil || m.closed {
		return nil
	}

	opened, err := openStore(m.dataFolder, m.options.Primary)
	if err != nil {
		return err
	}

	m.server, err = startServer(m, opened)
	if err != nil {
		return errors.Join(err, opened.close())
	}

	m.address = m.server.address

	return nil
}

// LoseDisk restarts the member without its data, as an empty replica with a new identity.
func (m *Member) LoseDisk() error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if err := m.stopLocked(); err != nil {
		return err
	}

	m.options.Primary = false

	if err := (&store{folder: m.dataFolder}).removeAll(); err != nil {
		return err
	}

	return m.startLocked()
}

// rewind discards the log past a position and restarts the member as a replica, as the platform does with a primary
// that was replaced. It does nothing if the running server is not the expected one.
func (m *Member) rewind(expected *server, to position.LSN) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.server != expected {
		return nil // The member was restarted meanwhile.
	}

	if err := m.stopLocked(); err != nil {
		return err
	}

	opened, err := openStore(m.dataFolder, false)
	if err != nil {
		return err
	}

	opened.state.Primary = false
	discarded := opened.wal.end()
	err = errors.Join(opened.rewind(to), opened.save(), opened.close())

	m.options.Logger.Info("rewound the log", "member", m.options.Name, "from", discarded.String(),
		"to", min(discarded, to).String())

	if err != nil {
		return err
	}

	return m.startLocked()
}

// Freeze makes the member accept connections but send no responses until Thaw.
func (m *Member) Freeze() {
	m.faults.update(func() { m.faults.frozen = true })
}

// Thaw ends Freeze.
func (m *Member) Thaw() {
	m.faults.update(func() { m.faults.frozen = false })
}

// Cut stalls the traffic with the peers whose application name begins with the prefix peer, in one direction or both,
// until Heal. An empty prefix means all peers. Connections that the member opens are matched by the application name
// that it sends on them, and announcements by the name "announce".
func (m *Member) Cut(peer string, direction Direction) {
	m.faults.update(func() { m.faults.partitions = append(m.faults.partitions, partition{peer, direction}) })
}

// Heal ends all partitions that Cut started.
func (m *Member) Heal() {
	m.faults.update(func() { m.faults.partitions = nil })
}

// LoseAnswers drops the responses on the open connections from the peers whose application name begins with the prefix
// peer, permanently; requests still arrive and run. It returns the number of connections.
func (m *Member) LoseAnswers(peer string) int {
	return m.faults.muteConnections(peer)
}

// LoseConnections drops all traffic, in both directions and permanently, on the connections that are open now. It
// returns the number of connections.
func (m *Member) LoseConnections() int {
	return m.faults.loseConnections()
}

// SetLag sets the time from the receipt of a transaction to its replay.
func (m *Member) SetLag(lag time.Duration) {
	m.replayLag.Store(int64(lag))
	m.delayChanged.notify()
}

// SetReceiveDelay sets the time that log records take from the primary to this replica.
func (m *Member) SetReceiveDelay(delay time.Duration) {
	m.receiveDelay.Store(int64(delay))
	m.delayChanged.notify()
}

// SetLimits sets the numbers of slots and connections; zero keeps a limit as it is.
func (m *Member) SetLimits(slots, connections int) {
	if slots > 0 {
		m.slots.resize(slots)
	}

	if connections > 0 {
		m.maxConnections.Store(int64(connections))
	}

	m.announceNow()
}

// SetLeaving announces that the member is about to leave, or that it stays.
func (m *Member) SetLeaving(leaving bool) {
	m.leaving.Store(leaving)
	m.announceNow()
}

func (m *Member) announceNow() {
	if m.announcer != nil {
		m.announcer.trigger()
	}
}

// Status is the state of a member.
type Status struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Running     bool   `json:"running"`
	Identity    string `json:"identity"`
	Incarnation uint64 `json:"incarnation"`
	Primary     bool   `json:"primary"`
	Conninfo    string `json:"conninfo"`
	Written     string `json:"written"`
	Replayed    string `json:"replayed"`
	Sessions    int    `json:"sessions"`
	// Statements is the number of SQL statements that arrived since the process began, by application name without
	// the trailing connection number. Transaction control and settings don't count.
	Statements map[string]uint64 `json:"statements"`
	// ReplayError is the error that stopped the replay of the log, if any.
	ReplayError string `json:"replay,omitempty"`
}

// Status returns the current state of the member.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()

	status := Status{Name: m.options.Name, Address: m.address.String(), Statements: m.statementCounts.snapshot()}
	if m.server != nil {
		m.server.fillStatus(&status)
	}

	return status
}

func (s *store) rewind(to position.LSN) error {
	if s.wal.end() <= to {
		return nil
	}

	return errors.Join(s.wal.truncate(max(to, walStart)), s.removeDatabase())
}

// databasePath returns the path of the database file.
func (s *store) databasePath() string {
	return filepath.Join(s.folder, "data.db")
}

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newNotifier() *notifier {
	return &notifier{changed: make(chan struct{})}
}

func (s *notifier) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()

	close(s.changed)
	s.changed = make(chan struct{})
}

// waitChannel returns a channel that closes at the next notify.
func (s *notifier) waitChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

// counters holds counters by name.
type counters struct {
	mu     sync.Mutex
	byName map[string]uint64
}

// increment increments the counter of an application name such as "ag/proxy1/00000000000000a7/12", from which it
// strips the trailing connection number.
func (c *counters) increment(name string) {
	if end := strings.TrimRight(name, "0123456789"); strings.HasSuffix(end, "/") {
		name = strings.TrimSuffix(end, "/")
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.byName == nil {
		c.byName = map[string]uint64{}
	}

	c.byName[name]++
}

func (c *counters) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return maps.Clone(c.byName)
}
