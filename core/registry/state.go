package registry

import (
	"encoding/json"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/container"
	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// maxRememberedChanges is the number of change IDs whose answers are kept, so that a change that is resent after a lost
// answer gets its first answer.
const maxRememberedChanges = 10_000

// State is the replicated state machine. Apply, Snapshot and Restore must not run concurrently; View is safe for
// concurrent use.
type State struct {
	data data
	view atomic.Pointer[View]
}

// data is the content of a snapshot, with indexes and marks that are derived from it.
type data struct {
	Index               uint64             `cbor:"1,keyasint"`
	ConfigurationNumber uint64             `cbor:"2,keyasint"`
	Author              string             `cbor:"3,keyasint"`
	Settings            []byte             `cbor:"4,keyasint"`
	AnsweredChanges     []answeredChange   `cbor:"5,keyasint"`
	Groups              map[string]*group  `cbor:"6,keyasint"`
	Servers             map[string]*Server `cbor:"7,keyasint"`
	Proxies             map[string]*Proxy  `cbor:"8,keyasint"`
	// NextProxyNumber is the number for the next new proxy. Numbers are not reused.
	NextProxyNumber uint32 `cbor:"9,keyasint"`
	running         settings.Running
	answersByChange map[string]Answer
	// dirtyGroups, dirtyServers and dirtyProxies are the names of the entries that have changed since the last view.
	dirtyGroups, dirtyServers, dirtyProxies container.Set[string]
}

type answeredChange struct {
	ID     string `cbor:"1,keyasint"`
	Answer Answer `cbor:"2,keyasint"`
}

// NewState returns an empty state, which has no configuration.
func NewState() *State {
	state := &State{}
	state.data.init()
	state.publish()

	return state
}

// View returns the state after the last applied command.
func (s *State) View() *View {
	return s.view.Load()
}

// Apply applies the encoded command at a log index and returns the encoded Answer.
func (s *State) Apply(index uint64, command []byte) []byte {
	decoded, err := DecodeCommand(command)
	if err != nil {
		return refuse(result.Protocol, "log entry %d: %v", index, err).Encode()
	}

	s.data.Index = index
	answer := s.data.apply(index, decoded)
	s.publish()

	return answer.Encode()
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	encoded, err := cbor.Marshal(&s.data)

	return encoded, eris.Wrap(err, "encode snapshot")
}

// Restore replaces the state with that of a snapshot.
func (s *State) Restore(snapshot []byte) error {
	var restored data
	if err := cbor.Unmarshal(snapshot, &restored); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}

	restored.init()
	restored.markAllDirty(s.data)

	if len(restored.Settings) > 0 {
		if err := json.Unmarshal(restored.Settings, &restored.running); err != nil {
			return eris.Wrap(err, "decode settings of snapshot")
		}
	}

	s.data = restored
	s.publish()

	return nil
}

func (d *data) init() {
	if d.Groups == nil {
		d.Groups = make(map[string]*group)
	}

	if d.Servers == nil {
		d.Servers = make(map[string]*Server)
	}

	if d.Proxies == nil {
		d.Proxies = make(map[string]*Proxy)
	}

	if d.NextProxyNumber == 0 {
		d.NextProxyNumber = 1
	}

	d.clearDirty()

	d.answersByChange = make(map[string]Answer, len(d.AnsweredChanges))
	for _, c := range d.AnsweredChanges {
		d.answersByChange[c.ID] = c.Answer
	}
}

func (d *data) clearDirty() {
	d.dirtyGroups = container.NewSet[string]()
	d.dirtyServers = container.NewSet[string]()
	d.dirtyProxies = container.NewSet[string]()
}

// markAllDirty marks every entry of the current and the previous data as changed.
func (d *data) markAllDirty(previous data) {
	for _, each := range []data{*d, previous} {
		for name := range each.Groups {
			d.dirtyGroups.Add(name)
		}

		for name := range each.Servers {
			d.dirtyServers.Add(name)
		}

		for name := range each.Proxies {
			d.dirtyProxies.Add(name)
		}
	}
}

func (d *data) apply(index uint64, command Command) Answer {
	switch {
	case command.Configure != nil:
		return d.changeConfiguration(*command.Configure)
	case command.Announce != nil:
		return d.announceServer(command.Announce.Server)
	case command.ForgetServer != nil:
		return d.forgetServer(*command.ForgetServer)
	case command.JoinProxy != nil:
		return d.joinProxy(command.JoinProxy.Proxy)
	case command.RemoveProxy != nil:
		return d.removeProxy(*command.RemoveProxy)
	case command.Drain != nil:
		return d.drain(*command.Drain)
	default:
		return d.applyToGroup(index, command)
	}
}

// publish stores a new view. It shares the maps that have not changed since the last view.
func (s *State) publish() {
	last := s.view.Load()
	if last == nil {
		last = &View{}
	}

	s.view.Store(&View{
		Version:             s.data.Index,
		ConfigurationNumber: s.data.ConfigurationNumber,
		Running:             s.data.running,
		Settings:            s.data.Settings,
		Author:              s.data.Author,
		Groups:              updatedView(last.Groups, s.data.Groups, s.data.dirtyGroups, (*group).view),
		Servers:             updatedView(last.Servers, s.data.Servers, s.data.dirtyServers, dereference[Server]),
		Proxies:             updatedView(last.Proxies, s.data.Proxies, s.data.dirtyProxies, dereference[Proxy]),
	})
	s.data.clearDirty()
}

// updatedView returns a copy of the last map in which the entries of the dirty keys are up to date.
func updatedView[P, V any](last map[string]V, now map[string]P, dirty container.Set[string], view func(P) V) map[string]V {
	if len(dirty) == 0 && last != nil {
		return last
	}

	next := make(map[string]V, len(now))
	maps.Copy(next, last)

	for name := range dirty {
		if value, found := now[name]; found {
			next[name] = view(value)
		} else {
			delete(next, name)
		}
	}

	return next
}

func dereference[V any](value *V) V {
	return *value
}

func refuse(code result.Code, format string, args ...any) Answer {
	return Answer{Code: code, Reason: result.New(code, format, args...).Reason}
}

func withoutName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
