package raft_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/raft"
)

// counters count what a run of the simulation did, so that a test fails if a fault or an operation never happened.
type counters struct {
	dropped, duplicated, delayed, cuts, crashes, lostSaves, lostDisks          atomic.Int64
	proposed, applied, confirmed, lostReads, elections, transfers, changes     atomic.Int64
	promoted, removed, compacted, installed, conflicts, repairs, stepDowns, ok atomic.Int64
}

// member is a node with its storage. What is saved survives a crash; the node doesn't.
type member struct {
	id       raft.ID
	node     *raft.Node
	saved    raft.Saved
	applied  []uint64
	start    uint64
	gone     bool
	wasLeads bool
}

// simulation runs nodes over a network and checks what Raft promises after every step.
type simulation struct {
	t        *rapid.T
	random   *rand.Rand
	count    *counters
	members  map[raft.ID]*member
	order    []raft.ID
	network  []raft.Message
	cut      map[[2]raft.ID]bool
	nextID   raft.ID
	value    uint64
	token    uint64
	reads    map[uint64]uint64
	lost     map[raft.ID]raft.ID
	leaders  map[uint64]raft.ID
	votes    map[[2]uint64]raft.ID
	history  map[uint64]raft.Entry
	commit   uint64
	prefixes map[uint64][]uint64
}

func newSimulation(t *rapid.T, count *counters, size int, seed uint64) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), count: count, members: make(map[raft.ID]*member),
		cut: make(map[[2]raft.ID]bool), reads: make(map[uint64]uint64), lost: make(map[raft.ID]raft.ID),
		leaders: make(map[uint64]raft.ID), votes: make(map[[2]uint64]raft.ID),
		history: make(map[uint64]raft.Entry), commit: 1, prefixes: make(map[uint64][]uint64),
	}

	var founding []raft.Member
	for range size {
		s.nextID++
		founding = append(founding, raft.Member{ID: s.nextID, Voter: true})
	}

	for _, one := range founding {
		s.add(one.ID, raft.Saved{
			State:    raft.State{Term: 1},
			Snapshot: raft.Snapshot{Index: 1, Term: 1, Configuration: raft.NewConfiguration(founding...)},
		})
	}

	return s
}

func (s *simulation) add(id raft.ID, saved raft.Saved) {
	s.members[id] = &member{id: id, saved: saved}
	s.order = append(s.order, id)
	s.restart(s.members[id])
}

func (s *simulation) restart(m *member) {
	node, err := raft.New(raft.Options{
		ID: m.id, Saved: m.saved, ElectionTicks: 10, HeartbeatTicks: 2, Seed: s.random.Uint64(), BatchEntries: 3,
		BatchBytes: 24, Window: 2, Trail: 2,
	})
	require.NoError(s.t, err)

	m.node, m.wasLeads = node, false
	m.applied, m.start = decodeValues(m.saved.Snapshot.Data), m.saved.Snapshot.Index
}

func (s *simulation) crash(m *member) {
	m.node = nil
	s.count.crashes.Add(1)
}

func encodeValues(values []uint64) []byte {
	var encoded []byte
	for _, value := range values {
		encoded = binary.BigEndian.AppendUint64(encoded, value)
	}

	return encoded
}

func decodeValues(encoded []byte) []uint64 {
	var values []uint64
	for ; len(encoded) > 0; encoded = encoded[8:] {
		values = append(values, binary.BigEndian.Uint64(encoded))
	}

	return values
}

// save replaces the entries from the first new one on, as a storage does.
func (m *member) save(ready raft.Ready) {
	if ready.State != nil {
		m.saved.State = *ready.State
	}

	if ready.Snapshot != nil {
		m.saved.Snapshot, m.saved.Entries = *ready.Snapshot, nil
	}

	if len(ready.Entries) > 0 {
		keep := ready.Entries[0].Index - m.saved.Snapshot.Index - 1
		m.saved.Entries = append(slices.Clone(m.saved.Entries[:keep]), ready.Entries...)
	}
}

// carryOut carries out the effects of a member; with crash, the member crashes before what it saves is synced.
func (s *simulation) carryOut(m *member, crash bool) {
	for m.node != nil && m.node.HasReady() {
		ready := m.node.Ready()
		early := ready.State == nil && ready.Snapshot == nil && s.random.IntN(2) == 0

		for _, message := range ready.Messages {
			if early && message.Kind == raft.Append {
				s.transmit(message)
			}
		}

		if crash && (ready.State != nil || ready.Snapshot != nil || len(ready.Entries) > 0) {
			s.count.lostSaves.Add(1)
			s.crash(m)

			return
		}

		m.save(ready)

		for _, message := range ready.Messages {
			if !early || message.Kind != raft.Append {
				s.transmit(message)
			}
		}

		s.apply(m, ready)
		m.node.Advance()
		s.check(m)
	}
}

func (s *simulation) transmit(message raft.Message) {
	if message.Kind == raft.VoteReply && message.Granted {
		key := [2]uint64{uint64(message.From), message.Term}
		former, voted := s.votes[key]
		require.True(s.t, !voted || former == message.To, "member %d votes for %d and %d in term %d", message.From,
			former, message.To, message.Term)
		s.votes[key] = message.To
	}

	if message.Kind == raft.AppendReply && message.Rejected {
		s.count.conflicts.Add(1)
	}

	encoded, err := message.Encode()
	require.NoError(s.t, err)

	decoded, err := raft.DecodeMessage(encoded)
	require.NoError(s.t, err)

	s.network = append(s.network, decoded)
}

func (s *simulation) apply(m *member, ready raft.Ready) {
	if ready.Snapshot != nil {
		m.applied, m.start = decodeValues(ready.Snapshot.Data), ready.Snapshot.Index
		require.Equal(s.t, s.prefixes[m.start], m.applied, "snapshot at %d of member %d", m.start, m.id)
		s.count.installed.Add(1)
	}

	for _, entry := range ready.Committed {
		require.Equal(s.t, m.start+1, entry.Index, "member %d skips an entry", m.id)
		m.start = entry.Index

		known, seen := s.history[entry.Index]
		if !seen {
			known = entry
			s.history[entry.Index] = entry
		}

		require.Equal(s.t, known, entry, "member %d applies another entry at %d", m.id, entry.Index)

		if entry.Kind == raft.Command {
			m.applied = append(m.applied, binary.BigEndian.Uint64(entry.Data))
			s.count.applied.Add(1)
		}

		s.prefixes[entry.Index] = slices.Clone(m.applied)
		s.commit = max(s.commit, entry.Index)
	}

	for _, confirmation := range ready.Confirmed {
		floor, asked := s.reads[confirmation.Token]
		require.True(s.t, asked)
		require.GreaterOrEqual(s.t, confirmation.Index, floor, "a confirmed read misses a commit made before it began")
		require.LessOrEqual(s.t, confirmation.Index, m.start, "a confirmed read is not applied")
		delete(s.reads, confirmation.Token)
		s.count.confirmed.Add(1)
	}

	for _, token := range ready.Lost {
		delete(s.reads, token)
		s.count.lostReads.Add(1)
	}
}

// check compares a member with what is known of the whole group.
func (s *simulation) check(m *member) {
	leads, term, _ := m.node.Leads()
	if !leads {
		if m.wasLeads {
			s.count.stepDowns.Add(1)
		}

		m.wasLeads = false

		return
	}

	former, elected := s.leaders[term]
	require.True(s.t, !elected || former == m.id, "members %d and %d lead term %d", former, m.id, term)

	if !elected {
		s.leaders[term] = m.id
		s.count.elections.Add(1)

		status := m.node.Status()
		require.GreaterOrEqual(s.t, status.Last, s.commit, "leader %d of term %d lacks committed entries", m.id, term)
	}

	m.wasLeads = true
}

func (s *simulation) pick() *member {
	return s.members[s.order[s.random.IntN(len(s.order))]]
}

func (s *simulation) leader() *member {
	var found *member

	for _, id := range s.order {
		m := s.members[id]
		if m.node == nil {
			continue
		}

		leads, term, _ := m.node.Leads()
		if !leads {
			continue
		}

		if found == nil {
			found = m
		} else if _, best, _ := found.node.Leads(); term > best {
			found = m
		}
	}

	return found
}

// deliver hands one message to its receiver, or loses it.
func (s *simulation) deliver(position int) {
	message := s.network[position]
	s.network = slices.Delete(s.network, position, position+1)

	to := s.members[message.To]
	if to == nil || to.node == nil || s.cut[[2]raft.ID{message.From, message.To}] {
		return
	}

	to.node.Step(message)
	s.carryOut(to, false)
}

func (s *simulation) step(action int) {
	m := s.pick()

	switch {
	case action < 430:
		s.deliverSome()
	case action < 500:
		s.burst()
	case action < 740:
		if m.node != nil {
			m.node.Tick()
			s.carryOut(m, false)
		}
	case action < 810:
		s.propose()
	case action < 860:
		s.read(m)
	case action < 910 && len(s.network) > 0:
		position := s.random.IntN(len(s.network))
		if s.random.IntN(2) == 0 {
			s.network = slices.Delete(s.network, position, position+1)
			s.count.dropped.Add(1)
		} else {
			s.network = append(s.network, s.network[position])
			s.count.duplicated.Add(1)
		}
	case action < 922:
		s.toggleCut()
	case action < 934:
		if m.node != nil && s.running() > 1 {
			m.node.Tick()
			s.carryOut(m, s.random.IntN(2) == 0)

			if m.node != nil {
				s.crash(m)
			}
		}
	case action < 960:
		if m.node == nil && !m.gone {
			s.restart(m)
		}
	case action < 972:
		s.compact(m)
	case action < 976:
		s.transfer()
	case action < 980:
		s.loseDisk(m)
	default:
		s.repair()
	}
}

// burst lets time pass for most members. A member whose clock stands still may go on leading without knowing that it
// was replaced.
func (s *simulation) burst() {
	var frozen raft.ID
	if leader := s.leader(); leader != nil && s.random.IntN(2) == 0 {
		frozen = leader.id
	}

	for range 1 + s.random.IntN(25) {
		for _, id := range s.order {
			if m := s.members[id]; m.node != nil && id != frozen {
				m.node.Tick()
				s.carryOut(m, false)
			}
		}

		for range len(s.network) {
			s.deliver(0)
		}
	}
}

func (s *simulation) running() int {
	count := 0

	for _, m := range s.members {
		if m.node != nil {
			count++
		}
	}

	return count
}

// deliverSome delivers a few messages, often the oldest first, at times out of order.
func (s *simulation) deliverSome() {
	for range 1 + s.random.IntN(6) {
		if len(s.network) == 0 {
			return
		}

		position := 0
		if s.random.IntN(3) == 0 {
			position = s.random.IntN(len(s.network))
			s.count.delayed.Add(1)
		}

		s.deliver(position)
	}
}

func (s *simulation) propose() {
	leader := s.pick()
	if best := s.leader(); best != nil && s.random.IntN(4) > 0 {
		leader = best
	}

	if leader.node == nil {
		return
	}

	s.value++

	if _, _, err := leader.node.Propose(binary.BigEndian.AppendUint64(nil, s.value)); err == nil {
		s.count.proposed.Add(1)
	}

	s.carryOut(leader, s.random.IntN(20) == 0 && s.running() > 1)
}

func (s *simulation) read(m *member) {
	if m.node == nil {
		return
	}

	s.token++

	if m.node.Read(s.token) == nil {
		s.reads[s.token] = s.commit
		s.carryOut(m, false)
	}
}

func (s *simulation) toggleCut() {
	if len(s.cut) > 0 && s.random.IntN(3) > 0 {
		clear(s.cut)

		return
	}

	m := s.pick()
	if leader := s.leader(); leader != nil && s.random.IntN(2) == 0 {
		m = leader
	}

	both := s.random.IntN(2) == 0

	for _, other := range s.order {
		s.cut[[2]raft.ID{m.id, other}] = true
		if both {
			s.cut[[2]raft.ID{other, m.id}] = true
		}
	}

	s.count.cuts.Add(1)
}

func (s *simulation) compact(m *member) {
	if m.node == nil || m.start == m.saved.Snapshot.Index {
		return
	}

	snapshot, possible := m.node.SnapshotAt(m.start, encodeValues(m.applied))
	if !possible {
		return
	}

	m.saved.Entries = slices.Clone(m.saved.Entries[snapshot.Index-m.saved.Snapshot.Index:])
	m.saved.Snapshot = snapshot
	m.node.Compact(snapshot)
	s.count.compacted.Add(1)
}

func (s *simulation) transfer() {
	if leader := s.leader(); leader != nil && leader.node.Transfer(s.pick().id) == nil {
		s.count.transfers.Add(1)
		s.carryOut(leader, false)
	}
}

// loseDisk takes a member and its disk away for good; its successor starts empty. It waits until an earlier loss is
// repaired, because two lost disks of three can hold the only copies.
func (s *simulation) loseDisk(m *member) {
	leader := s.leader()
	if leader == nil || m.gone || len(s.lost) > 0 {
		return
	}

	status := leader.node.Status()
	if !status.Settled || status.Configuration.Voters() < 3 || !status.Configuration.Voter(m.id) {
		return
	}

	m.node, m.gone = nil, true
	s.order = slices.DeleteFunc(s.order, func(id raft.ID) bool { return id == m.id })
	s.nextID++
	s.lost[s.nextID] = m.id
	s.add(s.nextID, raft.Saved{})
	s.count.lostDisks.Add(1)
}

// repair makes the next change of members that replaces a lost one.
func (s *simulation) repair() {
	leader := s.leader()
	if leader == nil {
		return
	}

	configuration := leader.node.Status().Configuration

	for successor, former := range s.lost {
		joined, found := configuration.Find(successor)
		_, old := configuration.Find(former)
		status := leader.node.Status()

		var change raft.Change

		switch {
		case !found:
			change = raft.Change{Kind: raft.Add, Member: raft.Member{ID: successor}}
		case old && status.Match[successor] >= joined.Joined:
			change = raft.Change{Kind: raft.Remove, Member: raft.Member{ID: former}}
		case !joined.Voter:
			change = raft.Change{Kind: raft.Promote, Member: raft.Member{ID: successor}}
		case joined.Voter && !old && status.Settled:
			delete(s.lost, successor)
			s.count.repairs.Add(1)

			return
		default:
			return
		}

		if _, err := leader.node.Change(change); err != nil {
			return
		}

		s.count.changes.Add(1)

		switch change.Kind {
		case raft.Promote:
			require.GreaterOrEqual(s.t, status.Match[successor], joined.Joined)
			s.count.promoted.Add(1)
		case raft.Remove:
			s.count.removed.Add(1)
		}

		s.carryOut(leader, false)
	}
}

// settle ends all faults and requires that the group makes progress again.
func (s *simulation) settle() {
	clear(s.cut)

	for _, id := range s.order {
		if s.members[id].node == nil {
			s.restart(s.members[id])
		}
	}

	s.value++
	final := s.value
	proposed := false

	for round := range 3000 {
		for _, id := range s.order {
			s.members[id].node.Tick()
			s.carryOut(s.members[id], false)
		}

		for range len(s.network) {
			s.deliver(0)
		}

		s.repair()

		if leader := s.leader(); leader != nil && len(s.lost) == 0 && round%50 == 49 {
			_, _, err := leader.node.Propose(binary.BigEndian.AppendUint64(nil, final))
			proposed = proposed || err == nil
			s.carryOut(leader, false)
		}

		if proposed && len(s.lost) == 0 && s.agreed(final) {
			s.count.ok.Add(1)

			return
		}
	}

	require.Fail(s.t, "no progress after all faults ended", "%s", s.describe())
}

func (s *simulation) agreed(final uint64) bool {
	for _, id := range s.order {
		if m := s.members[id]; !slices.Contains(m.applied, final) || m.start != s.commit {
			return false
		}
	}

	return true
}

func (s *simulation) describe() string {
	text := ""
	for _, id := range s.order {
		text += fmt.Sprintf("%+v applied %d\n", s.members[id].node.Status(), s.members[id].start)
	}

	return text
}

// Guards against every failure that breaks an agreement: two leaders in a term, two votes in a term, different
// entries at one index, a leader without committed entries, a stale confirmed read, and no progress after faults.
func TestSimulation(t *testing.T) {
	count := &counters{}

	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(1000, 6000).Draw(t, "steps")

		s := newSimulation(t, count, size, seed)
		for range steps {
			s.step(s.random.IntN(1000))
		}

		s.settle()
	})

	for name, counter := range map[string]*atomic.Int64{
		"dropped": &count.dropped, "duplicated": &count.duplicated, "delayed": &count.delayed, "cuts": &count.cuts,
		"crashes": &count.crashes, "lost saves": &count.lostSaves, "lost disks": &count.lostDisks,
		"proposed": &count.proposed, "applied": &count.applied, "confirmed": &count.confirmed,
		"lost reads": &count.lostReads, "elections": &count.elections, "transfers": &count.transfers,
		"changes": &count.changes, "promoted": &count.promoted, "removed": &count.removed,
		"compacted": &count.compacted, "installed": &count.installed, "conflicts": &count.conflicts,
		"repairs": &count.repairs, "step downs": &count.stepDowns, "settled": &count.ok,
	} {
		t.Logf("%-12s %d", name, counter.Load())
		require.NotZero(t, counter.Load(), "the simulation never did: %s", name)
	}
}
