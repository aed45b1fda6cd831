package topology

import (
	"crypto/sha256"
	"slices"

	"almondgrade/core/result"
)

// KeyID identifies a customer's key without revealing it. Proxies and holders exchange and compare only KeyIDs.
type KeyID [16]byte

// NewKeyID returns the KeyID of a key: the first bytes of its SHA-256 digest.
func NewKeyID(key string) KeyID {
	digest := sha256.Sum256([]byte(key))

	return KeyID(digest[:len(KeyID{})])
}

// Customer is a customer of the deployment, on whose behalf callers act that present one of its keys.
type Customer struct {
	Name string `cbor:"1,keyasint"`
	// Keys may be empty: then the customer has no callers at present.
	Keys []KeyID `cbor:"2,keyasint,omitempty"`
	// Priority orders customers whose statements have the same pool priority; lower numbers go first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// Rate is the limit of operations a second over all VMs. Nil means no limit.
	Rate *float64 `cbor:"4,keyasint,omitempty"`
	// Burst is the number of operations that may exceed the rate for a moment.
	Burst float64 `cbor:"5,keyasint,omitempty"`
}

// Equal reports whether two customers are equal in every field.
func (c *Customer) Equal(other *Customer) bool {
	sameRate := c.Rate == nil && other.Rate == nil || c.Rate != nil && other.Rate != nil && *c.Rate == *other.Rate

	return sameRate && c.Name == other.Name && c.Priority == other.Priority && c.Burst == other.Burst &&
		slices.Equal(c.Keys, other.Keys)
}

// CustomerList holds the customers of a configuration.
type CustomerList struct {
	Entries []Customer `cbor:"1,keyasint,omitempty"`
}

// validate returns an error with the code result.ChangeInvalid if the customers can't be told apart or have an impossible
// limit. The error names customers, never their keys.
func (l *CustomerList) validate() error {
	if l == nil {
		return nil
	}

	names := make(map[string]bool, len(l.Entries))
	holders := make(map[KeyID]string)

	for _, customer := range l.Entries {
		switch {
		case customer.Name == "":
			return result.New(result.ChangeInvalid, "a customer has no name")
		case names[customer.Name]:
			return result.New(result.ChangeInvalid, "customer %q is listed twice", customer.Name)
		case customer.Rate != nil && *customer.Rate < 0 || customer.Burst < 0:
			return result.New(result.ChangeInvalid, "customer %q has a negative limit", customer.Name)
		}

		names[customer.Name] = true

		for _, key := range customer.Keys {
			if holder, taken := holders[key]; taken && holder != customer.Name {
				return result.New(result.ChangeInvalid, "customers %q and %q share a key", holder, customer.Name)
			}

			holders[key] = customer.Name
		}
	}

	return nil
}

// CustomerDelta is the difference between the customers of two configurations.
type CustomerDelta struct {
	// Changed are the customers that are new or differ. New ones come last in the result, in this order.
	Changed []Customer `cbor:"1,keyasint,omitempty"`
	// Removed are the names of the customers of the base that are gone.
	Removed []string `cbor:"2,keyasint,omitempty"`
}

// deltaFrom returns the difference between an earlier list and this one, or nil if this configuration has no customers.
func (l *CustomerList) deltaFrom(base *CustomerList) *CustomerDelta {
	if l == nil {
		return nil
	}

	delta := &CustomerDelta{}
	former := make(map[string]*Customer)

	if base != nil {
		for i := range base.Entries {
			former[base.Entries[i].Name] = &base.Entries[i]
		}
	}

	for i := range l.Entries {
		customer := &l.Entries[i]
		if last := former[customer.Name]; last == nil || !last.Equal(customer) {
			delta.Changed = append(delta.Changed, *customer)
		}

		delete(former, customer.Name)
	}

	if base != nil {
		for i := range base.Entries {
			if name := base.Entries[i].Name; former[name] != nil {
				delta.Removed = append(delta.Removed, name)
			}
		}
	}

	return delta
}

// applyTo returns the customers that result from a base. Nil stands for a configuration without customers.
func (d *CustomerDelta) applyTo(base *CustomerList) *CustomerList {
	if d == nil {
		return nil
	}

	changed := make(map[string]*Customer, len(d.Changed))
	for i := range d.Changed {
		changed[d.Changed[i].Name] = &d.Changed[i]
	}

	next := &CustomerList{}

	if base != nil {
		for _, customer := range base.Entries {
			switch replacement := changed[customer.Name]; {
			case slices.Contains(d.Removed, customer.Name):
			case replacement != nil:
				next.Entries = append(next.Entries, *replacement)
				delete(changed, customer.Name)
			default:
				next.Entries = append(next.Entries, customer)
			}
		}
	}

	for _, customer := range d.Changed {
		if changed[customer.Name] != nil {
			next.Entries = append(next.Entries, customer)
		}
	}

	return next
}

// equal reports whether two lists hold the same customers in the same order.
func (l *CustomerList) equal(other *CustomerList) bool {
	if l == nil || other == nil {
		return l == other
	}

	return slices.EqualFunc(l.Entries, other.Entries, func(a, b Customer) bool { return a.Equal(&b) })
}
