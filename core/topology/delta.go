package topology

import (
	"hash/crc64"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// ConfigurationDelta is the difference between two configurations, without their documents. Its size is in proportion to
// the pools that differ, and to the groups.
type ConfigurationDelta struct {
	// Base is the number of the configuration to which the delta applies, Number that of the result.
	Base   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Changed are the pools that are new or differ. New ones come last in the result, in this order.
	Changed []Pool `cbor:"3,keyasint,omitempty"`
	// Removed are the pools of the base that are gone.
	Removed []PoolKey       `cbor:"4,keyasint,omitempty"`
	Groups  []GroupSettings `cbor:"5,keyasint"`
	Limits  Limits          `cbor:"6,keyasint"`
	// Digest is the digest of the resulting pools and customers.
	Digest uint64 `cbor:"7,keyasint"`
	// Customers is nil if the result has no customers.
	Customers *CustomerDelta `cbor:"8,keyasint,omitempty"`
}

// PoolKey identifies a pool within a configuration.
type PoolKey struct {
	Database string `cbor:"1,keyasint"`
	Path     string `cbor:"2,keyasint,omitempty"`
}

func (p *Pool) key() PoolKey {
	return PoolKey{p.Database, p.Path}
}

// DeltaFrom returns the difference between an earlier configuration and this one. It is false if a delta can't express
// the order of the pools; then the whole configuration has to be sent.
func (c *Configuration) DeltaFrom(base *Configuration) (*ConfigurationDelta, bool) {
	delta := &ConfigurationDelta{Base: base.Number, Number: c.Number, Groups: c.Groups, Limits: c.Limits, Customers: c.Customers.deltaFrom(base.Customers)}
	former := make(map[PoolKey]*Pool, len(base.Pools))

	for i := range base.Pools {
		former[base.Pools[i].key()] = &base.Pools[i]
	}

	for i := range c.Pools {
		pool := &c.Pools[i]
		if last := former[pool.key()]; last == nil || *last != *pool {
			delta.Changed = append(delta.Changed, *pool)
		}

		delete(former, pool.key())
	}

	for i := range base.Pools {
		if key := base.Pools[i].key(); former[key] != nil {
			delta.Removed = append(delta.Removed, key)
		}
	}

	if !slices.Equal(delta.applyTo(base.Pools), c.Pools) || !delta.Customers.applyTo(base.Customers).equal(c.Customers) {
		return nil, false
	}

	digest, err := c.digest()
	delta.Digest = digest

	return delta, err == nil
}

// Apply returns the configuration that results from a delta. It fails if the delta is for another configuration, or if
// the result is not the one that the sender has.
func (c *Configuration) Apply(delta *ConfigurationDelta) (*Configuration, error) {
	if c.Number != delta.Base {
		return nil, eris.Errorf("the delta applies to configuration %d, not to %d", delta.Base, c.Number)
	}

	next := &Configuration{Number: delta.Number, Pools: delta.applyTo(c.Pools), Groups: delta.Groups, Limits: delta.Limits, Customers: delta.Customers.applyTo(c.Customers)}

	digest, err := next.digest()
	if err != nil {
		return nil, err
	}

	if digest != delta.Digest {
		return nil, eris.Errorf("configuration %d has digest %x after the delta from %d; expected %x", delta.Number, digest,
			delta.Base, delta.Digest)
	}

	return next, nil
}

func (d *ConfigurationDelta) applyTo(base []Pool) []Pool {
	changed := make(map[PoolKey]*Pool, len(d.Changed))
	for i := range d.Changed {
		changed[d.Changed[i].key()] = &d.Changed[i]
	}

	removed := make(map[PoolKey]bool, len(d.Removed))
	for _, key := range d.Removed {
		removed[key] = true
	}

	pools := make([]Pool, 0, len(base)+len(d.Changed))

	for _, pool := range base {
		key := pool.key()

		switch replacement := changed[key]; {
		case removed[key]:
		case replacement != nil:
			pools = append(pools, *replacement)
			delete(changed, key)
		default:
			pools = append(pools, pool)
		}
	}

	for _, pool := range d.Changed {
		if changed[pool.key()] != nil {
			pools = append(pools, pool)
		}
	}

	return pools
}

//nolint:gochecknoglobals // Constant.
var digestTable = crc64.MakeTable(crc64.ECMA)

// digest returns the digest of the pools and, if there are any, of the customers.
func (c *Configuration) digest() (uint64, error) {
	encoded, err := cbor.Marshal(c.Pools)
	if err != nil {
		return 0, eris.Wrap(err, "encode pools")
	}

	sum := crc64.Checksum(encoded, digestTable)
	if c.Customers == nil {
		return sum, nil
	}

	encoded, err = cbor.Marshal(c.Customers)

	return crc64.Update(sum, digestTable, encoded), eris.Wrap(err, "encode customers")
}
