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
	// The limits and delays apply to the running server and to later ones.
	connections  atomic.Int64
	lag          atomic.Int64
	receiveDelay atomic.Int64
	leaving      atomic.Bool
	sequence     atomic.Uint64
	// statements counts, for each application name, the SQL statements that arrived.
	statements counts
	// tuned is signalled when a delay changes.
	tuned  *signal
	folder string
	// temporary is true when Close removes the folder.
	temporary bool
	announcer *announcer
	control   *http.Server

	mu      sync.Mutex
	address netip.AddrPort
	server  *server // nil while stopped
	closed  bool
}

// New starts a member.
func New(options Options) (*Member, error) {
	m := &Member{
		options: options.withDefaults(), faults: newFaults(), tuned: newSignal(), folder: options.Data,
		temporary: options.Data == "",
	}
	m.address = m.options.Listen
	m.slots = newSlots(m.options.Slots)
	m.connections.Store(int64(m.options.Connections))
	m.lag.Store(int64(m.options.Lag))
	m.receiveDelay.Store(int64(m.options.ReceiveDelay))

	if m.temporary {
		folder, err := os.MkdirTemp("", "standin-")
		if err != nil {
			return nil, eris.Wrap(err, "create temporary data folder")
		}

		m.folder = folder
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

// Addr returns the address that the member serves. It stays the same across restarts.
func (m *Member) Addr() netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.address
}

// Close stops the member for good and removes its data unless a data folder was given.
func (m *Member) Close() error {
	if m.announcer != nil {
		m.announcer.close()
	}

	if m.control != nil {
		_ = m.control.Close()
	}

	err := m.Stop()

	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.faults.closeAll()

	if m.temporary {
		err = errors.Join(err, os.RemoveAll(m.folder))
	}

	return err
}

// Stop ends the server at once, as the loss of its VM does. The data stay.
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

// Start starts a stopped server on its data. It does nothing while the server runs.
func (m *Member) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.startLocked()
}

func (m *Member) startLocked() error {
	if m.server != nil || m.closed {
		return nil
	}

	opened, err := openStore(m.folder, m.options.Primary)
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

// LoseDisk restarts the member without its data: as an empty replica with another identity.
func (m *Member) LoseDisk() error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if err := m.stopLocked(); err != nil {
		return err
	}

	m.options.Primary = false

	if err := (&store{folder: m.folder}).wipe(); err != nil {
		return err
	}

	return m.startLocked()
}

// rewind does what the platform does with a primary that was replaced: it discards the log past a position and
// restarts the member as a replica without a primary.
func (m *Member) rewind(from *server, to position.LSN) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.server != from {
		return nil // Another restart came first.
	}

	if err := m.stopLocked(); err != nil {
		return err
	}

	opened, err := openStore(m.folder, false)
	if err != nil {
		return err
	}

	opened.state.Primary = false
	discarded := opened.wal.end()
	err = errors.Join(opened.rewind(to), opened.save(), opened.close())

	m.options.Logger.Info("rewound a replaced primary", "member", m.options.Name, "from", discarded.String(),
		"to", min(discarded, to).String())

	if err != nil {
		return err
	}

	return m.startLocked()
}

// Freeze makes the member accept connections and answer nothing until Thaw.
func (m *Member) Freeze() {
	m.faults.update(func() { m.faults.frozen = true })
}

// Thaw ends Freeze.
func (m *Member) Thaw() {
	m.faults.update(func() { m.faults.frozen = false })
}

// Cut stalls the traffic with the peers whose application name begins with the prefix, in one direction or both,
// until Heal. An empty prefix means all peers. The member's own connections count by the application name that
// it uses on them, announcements as "announce".
func (m *Member) Cut(peer string, direction Direction) {
	m.faults.update(func() { m.faults.partitions = append(m.faults.partitions, partition{peer, direction}) })
}

// Heal ends every Cut.
func (m *Member) Heal() {
	m.faults.update(func() { m.faults.partitions = nil })
}

// LoseAnswers makes the answers on the open connections from a peer, given by the beginning of its application name,
// vanish for good; requests still arrive and run. It returns the number of connections.
func (m *Member) LoseAnswers(peer string) int {
	return m.faults.muteOpen(peer)
}

// LoseConnections makes the connections that are open now silent for good: bytes vanish in both directions. It
// returns the number of connections.
func (m *Member) LoseConnections() int {
	return m.faults.loseOpen()
}

// SetLag sets the time from receiving a transaction to replaying it.
func (m *Member) SetLag(lag time.Duration) {
	m.lag.Store(int64(lag))
	m.tuned.raise()
}

// SetReceiveDelay sets the time that the log takes from the primary to this replica.
func (m *Member) SetReceiveDelay(delay time.Duration) {
	m.receiveDelay.Store(int64(delay))
	m.tuned.raise()
}

// SetLimits sets the slots and connections; zero leaves a limit as it is.
func (m *Member) SetLimits(slots, connections int) {
	if slots > 0 {
		m.slots.resize(slots)
	}

	if connections > 0 {
		m.connections.Store(int64(connections))
	}

	m.announceNow()
}

// Leave announces that the member is going to leave, or that it stays.
func (m *Member) Leave(leaving bool) {
	m.leaving.Store(leaving)
	m.announceNow()
}

func (m *Member) announceNow() {
	if m.announcer != nil {
		m.announcer.now()
	}
}

// Status is what a member tells about itself.
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
	// the number of a connection at its end. Transaction control and settings don't count.
	Statements map[string]uint64 `json:"statements"`
	// Replay is the error that stopped the replay of the log, if any.
	Replay string `json:"replay,omitempty"`
}

// Status returns the state of the member.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()

	status := Status{Name: m.options.Name, Address: m.address.String(), Statements: m.statements.all()}
	if m.server != nil {
		m.server.status(&status)
	}

	return status
}

func (s *store) rewind(to position.LSN) error {
	if s.wal.end() <= to {
		return nil
	}

	return errors.Join(s.wal.truncate(max(to, walBegin)), s.wipeTables())
}

// tablesPath is the path of the database file.
func (s *store) tablesPath() string {
	return filepath.Join(s.folder, "data.db")
}

// signal wakes everybody who waits for a change.
type signal struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newSignal() *signal {
	return &signal{changed: make(chan struct{})}
}

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()

	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

// counts are counters by name.
type counts struct {
	mu     sync.Mutex
	byName map[string]uint64
}

// add counts under a name such as "ag/proxy1/00000000000000a7/12", without the number at its end.
func (c *counts) add(name string) {
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

func (c *counts) all() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return maps.Clone(c.byName)
}
