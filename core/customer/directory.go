package customer

import (
	"time"

	"almondgrade/core/topology"
)

// WithdrawalGrace is the time for which an open transaction may go on after its key was withdrawn. Operators expect that
// no request of a withdrawn key runs 4 s after the change was acknowledged, of which a proxy may need half to hear of it.
const WithdrawalGrace = 2 * time.Second

// Directory maps keys to customers. It is immutable. A nil Directory belongs to a deployment that does not distinguish
// customers.
type Directory struct {
	byKey  map[topology.KeyID]*topology.Customer
	byName map[string]*topology.Customer
	// totalWeight is the sum of all customers' weights.
	totalWeight float64
}

// NewDirectory returns the directory of a configuration's customers, or nil if it has none.
func NewDirectory(list *topology.CustomerList) *Directory {
	if list == nil {
		return nil
	}

	directory := &Directory{byKey: make(map[topology.KeyID]*topology.Customer), byName: make(map[string]*topology.Customer, len(list.Entries))}

	for i := range list.Entries {
		entry := &list.Entries[i]
		directory.byName[entry.Name] = entry
		directory.totalWeight += Weight(entry)

		for _, key := range entry.Keys {
			directory.byKey[key] = entry
		}
	}

	return directory
}

// Identify returns the customer that holds a key. The customer is nil for an anonymous caller, which is admitted if the
// pool allows it or if the deployment does not distinguish customers.
func (d *Directory) Identify(key topology.KeyID, allowAnonymous bool) (found *topology.Customer, admitted bool) {
	if d == nil {
		return nil, true
	}

	found = d.byKey[key]

	return found, found != nil || allowAnonymous
}

// ByName returns the customer with a name, or nil.
func (d *Directory) ByName(name string) *topology.Customer {
	if d == nil {
		return nil
	}

	return d.byName[name]
}

// Holds reports whether the key belongs to the customer with the given name.
func (d *Directory) Holds(name string, key topology.KeyID) bool {
	return d != nil && d.byKey[key] != nil && d.byKey[key].Name == name
}
