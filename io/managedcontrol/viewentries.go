package managedcontrol

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"almondgrade/core/placement"
	"almondgrade/core/topology"
	"almondgrade/core/viewlog"
)

// The names of the entries of a view. The holders of a group and the deployment are for all proxies; the group itself
// and its servers are in a part for the proxies that hold connections to them.
const (
	deploymentEntry = "deployment"
	holdersPrefix   = "holders/"
	groupEntry      = "group"
	serverPrefix    = "server/"
)

// deployment is the entry with what concerns all proxies.
type deployment struct {
	Proxies      int              `cbor:"1,keyasint,omitempty"`
	Control      []netip.AddrPort `cbor:"2,keyasint,omitempty"`
	HoldersKnown bool             `cbor:"3,keyasint,omitempty"`
}

// entryWriter sets entries of a log and keeps the first error.
type entryWriter struct {
	log *viewlog.Log
	err error
}

func (w *entryWriter) set(part, name string, value any) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		w.err = eris.Wrapf(err, "encode entry %s", name)

		return
	}

	w.log.Set(part, name, encoded)
}

// WriteView writes into a log what differs between a view and the one before. The log has begun the number of the new
// view. Its cost is that of a comparison, and of encoding the entries that differ.
func WriteView(log *viewlog.Log, former, next *View) error {
	writer := &entryWriter{log: log}

	// The slices of a View have the same order in every view.
	compareSorted(former.Groups, next.Groups, func(a, b topology.Group) int { return cmp.Compare(a.Name, b.Name) },
		func(removed topology.Group) { log.Remove(viewlog.OwnPart(removed.Name), groupEntry) },
		func(before *topology.Group, set topology.Group) {
			writer.set(viewlog.OwnPart(set.Name), groupEntry, set)

			if _, placed := next.Holders[set.Name]; before == nil && !placed {
				log.Subscribe(viewlog.OwnPart(set.Name), true, nil)
			}
		})

	compareSorted(former.Servers, next.Servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) },
		func(removed Server) { log.Remove(viewlog.OwnPart(removed.Group), serverPrefix+removed.ID) },
		func(before *Server, set Server) {
			if before != nil && before.Group != set.Group {
				log.Remove(viewlog.OwnPart(before.Group), serverPrefix+before.ID)
			}

			writer.set(viewlog.OwnPart(set.Group), serverPrefix+set.ID, set)
		})

	for group, holders := range next.Holders {
		if before, placed := former.Holders[group]; placed && slices.Equal(before, holders) {
			continue
		}

		writer.set(viewlog.CommonPart(group), holdersPrefix+group, holders)

		names := make([]string, 0, len(holders))
		for _, holder := range holders {
			names = append(names, holder.Name)
		}

		log.Subscribe(viewlog.OwnPart(group), false, names)
	}

	for group := range former.Holders {
		if _, placed := next.Holders[group]; !placed {
			log.Remove(viewlog.CommonPart(group), holdersPrefix+group)
			log.Subscribe(viewlog.OwnPart(group), true, nil)
		}
	}

	// Set ignores an entry that has not changed.
	writer.set(viewlog.CommonPart(deploymentEntry), deploymentEntry, deployment{next.Proxies, next.Control, next.HoldersKnown})

	return writer.err
}

// GroupChangedAt returns the number of the view that last changed a group, or zero if the group is not in the log.
func GroupChangedAt(log *viewlog.Log, group string) uint64 {
	return log.EntryChangedAt(viewlog.OwnPart(group), groupEntry)
}

// compareSorted calls removed for the elements that only the first of two sorted slices has, and set for those that only
// the second one has, with nil, or that differ.
func compareSorted[E comparable](former, next []E, compare func(a, b E) int, removed func(E), set func(before *E, element E)) {
	for len(former) > 0 || len(next) > 0 {
		order := 0

		switch {
		case len(former) == 0:
			order = 1
		case len(next) == 0:
			order = -1
		default:
			order = compare(former[0], next[0])
		}

		switch {
		case order < 0:
			removed(former[0])
		case order > 0:
			set(nil, next[0])
		case former[0] != next[0]:
			set(&former[0], next[0])
		}

		if order <= 0 {
			former = former[1:]
		}

		if order >= 0 {
			next = next[1:]
		}
	}
}

// ViewReplica is a proxy's copy of the view, which it gets as deltas. It has the servers of only those groups of which
// the proxy holds connections. It is not safe for concurrent use.
type ViewReplica struct {
	replica *viewlog.Replica
	// decoded are the decoded entries, by part and name.
	decoded map[[2]string]decodedEntry
}

type decodedEntry struct {
	encoded []byte
	value   any
}

// NewViewReplica returns an empty replica.
func NewViewReplica() *ViewReplica {
	return &ViewReplica{replica: viewlog.NewReplica(), decoded: make(map[[2]string]decodedEntry)}
}

// Position returns the position for the next SyncRequest.
func (r *ViewReplica) Position() *viewlog.Position {
	position := r.replica.Position()

	return &position
}

// Apply applies a delta and returns the resulting view, or nil if only a piece of it has arrived. After an error, the
// next delta brings the whole view.
func (r *ViewReplica) Apply(delta *viewlog.Delta) (*View, error) {
	if err := r.replica.Apply(delta); err != nil || !r.replica.Complete() {
		return nil, err //nolint:wrapcheck // It names both positions.
	}

	view := &View{Version: Version{Term: delta.To.Term, Number: delta.To.Number}, Holders: make(map[string][]placement.Proxy)}
	decoded := make(map[[2]string]decodedEntry, len(r.decoded))

	var failure error

	r.replica.Each(func(part, name string, encoded []byte) {
		key := [2]string{part, name}
		known := r.decoded[key]

		if known.value == nil || !bytes.Equal(known.encoded, encoded) {
			value, err := decodeEntry(name, encoded)
			if err != nil {
				failure = err

				return
			}

			known = decodedEntry{encoded, value}
		}

		decoded[key] = known
		view.add(name, known.value)
	})

	if failure != nil {
		*r = *NewViewReplica()

		return nil, failure
	}

	r.decoded = decoded

	slices.SortFunc(view.Groups, func(a, b topology.Group) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(view.Servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })

	return view, nil
}

// decodeEntry returns the value of an entry. An entry that only a newer build knows has none.
func decodeEntry(name string, encoded []byte) (any, error) {
	switch {
	case name == deploymentEntry:
		return decodeAs[deployment](encoded)
	case name == groupEntry:
		return decodeAs[topology.Group](encoded)
	case strings.HasPrefix(name, serverPrefix):
		return decodeAs[Server](encoded)
	case strings.HasPrefix(name, holdersPrefix):
		return decodeAs[[]placement.Proxy](encoded)
	}

	return struct{}{}, nil
}

func decodeAs[T any](encoded []byte) (any, error) {
	var value T

	err := cbor.Unmarshal(encoded, &value)

	return value, eris.Wrap(err, "decode an entry of the view")
}

// add adds the value of an entry to the view.
func (v *View) add(name string, value any) {
	switch value := value.(type) {
	case deployment:
		v.Proxies, v.Control, v.HoldersKnown = value.Proxies, value.Control, value.HoldersKnown
	case topology.Group:
		v.Groups = append(v.Groups, value)
	case Server:
		v.Servers = append(v.Servers, value)
	case []placement.Proxy:
		v.Holders[strings.TrimPrefix(name, holdersPrefix)] = value
	}
}
