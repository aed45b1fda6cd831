package topology

import (
	"bytes"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
)

// Phase is the stage of a group's takeover.
type Phase uint8

// The phases of a group.
const (
	// PhaseStable means that no takeover is in progress.
	PhaseStable Phase = iota
	// PhaseFencing means that a takeover has started and proxies stop using the primary.
	PhaseFencing
	// PhasePromoting means that the order to promote the candidate may have been sent.
	PhasePromoting
)

// String returns the name of the phase as messages show it.
func (p Phase) String() string {
	switch p {
	case PhaseStable:
		return "stable"
	case PhaseFencing:
		return "fencing"
	case PhasePromoting:
		return "promoting"
	}

	return "unknown"
}

// Group is the replicated state of a database group.
type Group struct {
	Name string `cbor:"1,keyasint"`
	// Primary is the ID of the primary. During a takeover it is the ID of the previous primary.
	Primary string `cbor:"2,keyasint"`
	Phase   Phase  `cbor:"3,keyasint"`
	// Candidate is the ID of the server that the order promotes.
	Candidate string `cbor:"4,keyasint,omitempty"`
	// Token is the fencing token of the last promotion order.
	Token uint64 `cbor:"5,keyasint,omitempty"`
	// Epoch is the log index of the last command that changed the group.
	Epoch uint64 `cbor:"6,keyasint"`
	// Term is the newest known term of the group. A server that knows only older terms may hold commits that an earlier
	// takeover has discarded.
	Term position.Term `cbor:"8,keyasint,omitempty"`
	// Planned is true during a takeover from a primary that is about to stop.
	Planned bool `cbor:"7,keyasint,omitempty"`
	// Acknowledged is the last position that callers are known to have been told of, from the first candidate of a takeover until its
	// end. The next primary must have received it.
	Acknowledged position.Position `cbor:"9,keyasint,omitzero"`
}

// View is an immutable snapshot of the state at one log index.
type View struct {
	Index         uint64            `cbor:"1,keyasint"`
	Configuration Configuration     `cbor:"2,keyasint"`
	Groups        map[string]Group  `cbor:"3,keyasint"`
	Servers       map[string]Server `cbor:"4,keyasint"`
	// ProxyCount is the number of proxies according to the last RecordProxies or RecordProxyCount.
	ProxyCount int `cbor:"5,keyasint,omitempty"`
	// Counters are the proxies that count the operations of customers. Nil means that none were ever chosen.
	Counters *Counters `cbor:"6,keyasint,omitempty"`
	// Proxies are the recorded proxies by name.
	Proxies map[string]placement.Proxy `cbor:"9,keyasint,omitempty"`
	// Absent are the last announcements of servers that no longer count among the replicas of their group, in groups whose commits wait
	// for replicas. An acknowledged commit may be held by them alone until other replicas have received it.
	Absent []Server `cbor:"10,keyasint,omitempty"`
}

// State is the replicated state machine. Apply, Snapshot and Restore must not run concurrently; View is safe for
// concurrent use.
type State struct {
	view atomic.Pointer[View]

	mutex sync.Mutex
	// recent are the last configurations that were applied, by whichever leader.
	recent RecentConfigurations
}

// NewState returns an empty state.
func NewState() *State {
	state := &State{}
	state.view.Store(&View{Groups: map[string]Group{}, Servers: map[string]Server{}})

	return state
}

// View returns the current state.
func (s *State) View() *View {
	return s.view.Load()
}

// Apply applies the encoded command at a log index and returns the encoded Answer.
func (s *State) Apply(index uint64, command []byte) []byte {
	var (
		decoded Command
		answer  Answer
	)

	next := *s.view.Load()
	next.Index = index

	if err := cbor.Unmarshal(command, &decoded); err != nil {
		answer = refuse(result.Protocol, "log entry %d can't be read: %v", index, err)
	} else {
		answer = next.apply(index, decoded)
	}

	s.publish(&next)

	encoded, err := cbor.Marshal(answer)
	if err != nil {
		panic(err) // Numbers and strings always encode.
	}

	return encoded
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	encoded, err := cbor.Marshal(s.view.Load())

	return encoded, eris.Wrap(err, "encode snapshot")
}

// Restore replaces the state with that of a snapshot.
func (s *State) Restore(snapshot []byte) error {
	next := &View{}
	if err := cbor.Unmarshal(snapshot, next); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}

	if next.Groups == nil {
		next.Groups = map[string]Group{}
	}

	if next.Servers == nil {
		next.Servers = map[string]Server{}
	}

	s.publish(next)

	return nil
}

func (s *State) publish(next *View) {
	s.mutex.Lock()
	s.recent.Record(next.Configuration)
	s.mutex.Unlock()

	s.view.Store(next)
}

// ConfigurationDelta returns the difference between the configuration with the given number and the current one, or nil
// if that configuration was applied too long ago. It is safe for concurrent use.
func (s *State) ConfigurationDelta(from uint64) *ConfigurationDelta {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.recent.Delta(from)
}

func (v *View) apply(index uint64, command Command) Answer {
	switch {
	case command.Configure != nil:
		return v.setConfiguration(*command.Configure)
	case command.Announce != nil:
		return v.recordAnnouncement(*command.Announce)
	case command.ForgetServer != nil:
		return v.forget(*command.ForgetServer)
	case command.RecordProxyCount != nil:
		v.ProxyCount = command.RecordProxyCount.Count

		return Answer{}
	case command.RecordCounters != nil:
		return v.recordCounters(index, *command.RecordCounters)
	case command.RecordProxies != nil:
		return v.recordProxies(*command.RecordProxies)
	case command.ForgetAbsent != nil:
		return v.forgetAbsent(*command.ForgetAbsent)
	default:
		return v.applyToGroup(index, command)
	}
}

func (v *View) recordProxies(r RecordProxies) Answer {
	next := maps.Clone(v.Proxies)
	if next == nil {
		next = make(map[string]placement.Proxy, len(r.Added))
	}

	for _, name := range r.Removed {
		delete(next, name)
	}

	for _, proxy := range r.Added {
		next[proxy.Name] = proxy
	}

	v.Proxies, v.ProxyCount = next, len(next)

	return Answer{}
}

func (v *View) setConfiguration(next Configuration) Answer {
	if err := next.Validate(); err != nil {
		return refuse(result.ChangeInvalid, "%v", err)
	}

	if next.Number > v.Configuration.Number {
		v.Configuration = next
	} else if next.Number == v.Configuration.Number && !bytes.Equal(next.Document, v.Configuration.Document) {
		return Answer{Number: v.Configuration.Number, Reason: "the number holds other content, which stays in force"}
	}

	return Answer{Number: v.Configuration.Number}
}

// storeAnnouncement stores an announcement in the place of present, which is the recorded one of the server if it is known.
func (v *View) storeAnnouncement(server, present Server, known bool) Answer {
	// Leaving is final within an incarnation: a delayed announcement from before the stop must not clear it.
	if known && present.StartedAtMillis == server.StartedAtMillis {
		server.Leaving = server.Leaving || present.Leaving
	}

	v.updateAbsent(server, present)

	v.Servers = maps.Clone(v.Servers)
	v.Servers[server.ID] = server

	if _, exists := v.Groups[server.Group]; !exists {
		v.Groups = maps.Clone(v.Groups)
		v.Groups[server.Group] = Group{Name: server.Group}
	}

	return Answer{}
}

func (v *View) forget(f ForgetServer) Answer {
	present, known := v.Servers[f.ID]
	if !known {
		return Answer{}
	}

	if present.StartedAtMillis != f.StartedAtMillis || present.Sequence > f.Sequence {
		return refuse(result.OutdatedEpoch, "server %q has announced itself again", f.ID)
	}

	v.Servers = maps.Clone(v.Servers)
	delete(v.Servers, f.ID)
	v.recordAbsent(present)

	return Answer{}
}

func (v *View) applyToGroup(index uint64, command Command) Answer {
	switch {
	case command.AdoptPrimary != nil:
		return v.updateGroup(index, command.AdoptPrimary.Group, func(g *Group) Answer { return v.adopt(g, *command.AdoptPrimary) })
	case command.Fence != nil:
		return v.updateGroup(index, command.Fence.Group, func(g *Group) Answer { return g.fence(*command.Fence) })
	case command.AbandonTakeover != nil:
		return v.updateGroup(index, command.AbandonTakeover.Group, func(g *Group) Answer { return g.abandon(*command.AbandonTakeover) })
	case command.Promote != nil:
		return v.updateGroup(index, command.Promote.Group, func(g *Group) Answer { return v.promote(index, g, *command.Promote) })
	case command.FinishTakeover != nil:
		return v.updateGroup(index, command.FinishTakeover.Group, func(g *Group) Answer { return g.finish(*command.FinishTakeover) })
	default:
		return refuse(result.Protocol, "log entry %d holds no known command", index)
	}
}

// updateGroup changes a copy of a group, so that earlier views keep their content.
func (v *View) updateGroup(index uint64, name string, run func(*Group) Answer) Answer {
	group, known := v.Groups[name]
	if !known {
		return refuse(result.NotFound, "group %q is not known", name)
	}

	answer := run(&group)
	if answer.Code == result.OK {
		group.Epoch = index
		v.Groups = maps.Clone(v.Groups)
		v.Groups[name] = group
	}

	return answer
}

func (v *View) adopt(g *Group, a AdoptPrimary) Answer {
	if g.Phase != PhaseStable || g.Primary != a.ExpectedPrimary {
		return refuse(result.OutdatedEpoch, "group %s has primary %q in phase %s", g.Name, g.Primary, g.Phase)
	}

	if server, known := v.Servers[a.Primary]; !known || server.Group != g.Name {
		return refuse(result.NotFound, "server %q of group %s is not known", a.Primary, g.Name)
	}

	g.Primary, g.Term = a.Primary, max(g.Term, a.Term)

	return Answer{}
}

func (g *Group) fence(f Fence) Answer {
	if g.Phase != PhaseStable || g.Primary != f.Primary {
		return refuse(result.OutdatedEpoch, "group %s has primary %q in phase %s", g.Name, g.Primary, g.Phase)
	}

	g.Phase, g.Planned = PhaseFencing, f.Planned

	return Answer{}
}

func (g *Group) abandon(a AbandonTakeover) Answer {
	if g.Phase != PhaseFencing || g.Epoch != a.Epoch {
		return refuse(result.OutdatedEpoch, "group %s is in phase %s since %d", g.Name, g.Phase, g.Epoch)
	}

	g.Phase, g.Planned = PhaseStable, false

	return Answer{}
}

// promote records the candidate. A takeover whose order failed may promote another candidate.
func (v *View) promote(index uint64, g *Group, p Promote) Answer {
	if g.Phase == PhaseStable || g.Epoch != p.Epoch {
		return refuse(result.OutdatedEpoch, "group %s is in phase %s since %d", g.Name, g.Phase, g.Epoch)
	}

	if server, known := v.Servers[p.Candidate]; !known || server.Group != g.Name {
		return refuse(result.NotFound, "server %q of group %s is not known", p.Candidate, g.Name)
	}

	g.Phase, g.Candidate, g.Token = PhasePromoting, p.Candidate, index
	g.Acknowledged = position.Later(g.Acknowledged, p.Acknowledged)

	return Answer{Number: index}
}

func (g *Group) finish(f FinishTakeover) Answer {
	if g.Phase != PhasePromoting || g.Token != f.Token {
		return refuse(result.OutdatedEpoch, "group %s is in phase %s with token %d", g.Name, g.Phase, g.Token)
	}

	g.Phase, g.Primary, g.Candidate, g.Planned = PhaseStable, f.Primary, "", false
	g.Term, g.Acknowledged = max(g.Term, f.Term), position.Position{}

	return Answer{}
}

func refuse(code result.Code, format string, args ...any) Answer {
	return Answer{Code: code, Reason: result.New(code, format, args...).Reason}
}
