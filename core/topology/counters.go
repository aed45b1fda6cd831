package topology

import (
	"net/netip"

	"almondgrade/core/result"
)

// CountingProxy is a proxy that counts the operations of customers for all proxies.
type CountingProxy struct {
	Name   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint"`
	// Address is where the proxy answers other proxies.
	Address netip.AddrPort `cbor:"3,keyasint"`
}

// Counters are the lists of counting proxies. While there is a former list, proxies may still act on it, and a proxy grants
// the lower of its parts under both lists.
type Counters struct {
	// Epoch is the log index of the last change. Newer lists have a higher epoch, whichever leader recorded them.
	Epoch   uint64          `cbor:"1,keyasint"`
	Current []CountingProxy `cbor:"2,keyasint"`
	Former  []CountingProxy `cbor:"3,keyasint,omitempty"`
}

// RecordCounters replaces the current list, which becomes the former one, or removes the former list. There is one change
// at a time: the list can't be replaced while there is a former one.
type RecordCounters struct {
	// ExpectedEpoch is the epoch that the proposer knew, zero if there was no list.
	ExpectedEpoch uint64          `cbor:"1,keyasint,omitempty"`
	Next          []CountingProxy `cbor:"2,keyasint,omitempty"`
	RemoveFormer  bool            `cbor:"3,keyasint,omitempty"`
}

func (v *View) recordCounters(index uint64, r RecordCounters) Answer {
	var present Counters
	if v.Counters != nil {
		present = *v.Counters
	}

	switch {
	case present.Epoch != r.ExpectedEpoch:
		return refuse(result.OutdatedEpoch, "the counting proxies were changed at %d, not at %d", present.Epoch, r.ExpectedEpoch)
	case r.RemoveFormer:
		present.Former = nil
	case len(present.Former) > 0 || len(r.Next) == 0:
		return refuse(result.Protocol, "the list of counting proxies is empty or the former one is still in force")
	default:
		present.Current, present.Former = r.Next, present.Current
	}

	present.Epoch = index
	v.Counters = &present

	return Answer{}
}
