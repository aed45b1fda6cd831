package viewlog

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Replica is a proxy's copy of its parts. It is not safe for concurrent use.
type Replica struct {
	position Position
	digest   uint64
	parts    map[string]map[string][]byte
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{parts: make(map[string]map[string][]byte)}
}

// Position returns what the replica holds.
func (r *Replica) Position() Position {
	return r.position
}

// Complete reports whether the replica holds all of its parts.
func (r *Replica) Complete() bool {
	return r.position.Number > 0 && r.position.Cursor == ""
}

// Apply applies a delta. If it fails, the replica is empty, so that the next delta brings all entries.
func (r *Replica) Apply(delta *Delta) error {
	err := r.apply(delta)
	if err != nil {
		*r = *NewReplica()
	}

	return err
}

func (r *Replica) apply(delta *Delta) error {
	switch {
	case delta.From == (Position{}):
		*r = *NewReplica()
	case delta.From != r.position:
		return eris.Errorf("the delta applies to %v, not to %v", delta.From, r.position)
	}

	if delta.LimitOwn {
		r.dropExcept(delta.Own)
	}

	changes := delta.Changes

	if delta.Compressed != nil {
		expanded, err := expand(delta.Compressed)
		if err != nil {
			return err
		}

		changes = slices.Concat(expanded, delta.Changes)
	}

	for _, encoded := range changes {
		var changed change
		if err := cbor.Unmarshal(encoded, &changed); err != nil {
			return eris.Wrap(err, "decode a change of the view")
		}

		r.applyChange(changed)
	}

	r.position = delta.To

	if r.Complete() && r.digest != delta.To.Digest {
		return eris.Errorf("the view differs from that of the leader: digest %x, not %x", r.digest, delta.To.Digest)
	}

	return nil
}

func (r *Replica) dropExcept(own []string) {
	for name, entries := range r.parts {
		if _, isOwn := Subject(name); !isOwn || slices.Contains(own, name) {
			continue
		}

		for entryName := range entries {
			r.remove(name, entryName)
		}

		delete(r.parts, name)
	}
}

func (r *Replica) applyChange(changed change) {
	if r.parts[changed.Part] == nil {
		r.parts[changed.Part] = make(map[string][]byte)
	}

	if changed.Whole {
		for name := range r.parts[changed.Part] {
			r.remove(changed.Part, name)
		}
	}

	for _, name := range changed.Removed {
		r.remove(changed.Part, name)
	}

	for _, set := range changed.Entries {
		r.remove(changed.Part, set.Name)

		r.parts[changed.Part][set.Name] = set.Value
		r.digest += hashEntry(changed.Part, set.Name, set.Value)
	}
}

func (r *Replica) remove(partName, name string) {
	if value, known := r.parts[partName][name]; known {
		r.digest -= hashEntry(partName, name, value)
		delete(r.parts[partName], name)
	}
}

// Each calls a function for each entry, in no particular order.
func (r *Replica) Each(call func(part, name string, value []byte)) {
	for partName, entries := range r.parts {
		for name, value := range entries {
			call(partName, name, value)
		}
	}
}
