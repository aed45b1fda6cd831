package topology

import (
	"time"

	"almondgrade/core/result"
)

// Freshness says which data the reads of a pool may see.
type Freshness uint8

// The kinds of freshness.
const (
	// FreshnessLatest reads see every commit that was acknowledged before them.
	FreshnessLatest Freshness = iota
	// FreshnessBounded reads see every commit that was acknowledged longer ago than Pool.MaxAge.
	FreshnessBounded
	// FreshnessSession reads are Bounded, and see every commit of their own session.
	FreshnessSession
)

// String returns the word that messages use.
func (f Freshness) String() string {
	switch f {
	case FreshnessLatest:
		return "latest"
	case FreshnessBounded:
		return "bounded"
	case FreshnessSession:
		return "session"
	}

	return "unknown"
}

// Pool is a database that callers can name.
type Pool struct {
	Name     string `cbor:"1,keyasint"`
	Database string `cbor:"2,keyasint"`
	// Path tells pools of one database apart in the operator's interface. Callers don't send it.
	Path      string    `cbor:"3,keyasint,omitempty"`
	Group     string    `cbor:"4,keyasint"`
	Freshness Freshness `cbor:"5,keyasint"`
	// MaxAge is the age of the data that a read may see. It is zero for Latest.
	MaxAge time.Duration `cbor:"6,keyasint,omitempty"`
	// Timeout bounds one statement.
	Timeout time.Duration `cbor:"7,keyasint"`
	// TargetLatency is the time in which an operation should be done.
	TargetLatency time.Duration `cbor:"8,keyasint"`
	// Priority orders pools; zero is the most urgent.
	Priority int `cbor:"9,keyasint"`
}

// GroupSettings are an operator's settings for a group.
type GroupSettings struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections bounds the connections to each of its servers, over all proxies.
	MaxConnections int `cbor:"2,keyasint"`
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int `cbor:"3,keyasint,omitempty"`
}

// Limits apply to all pools.
type Limits struct {
	// IdleTransactionTimeout is the time after which a transaction without a statement may be ended. Zero is no limit.
	IdleTransactionTimeout time.Duration `cbor:"1,keyasint,omitempty"`
	// MaxMessageBytes bounds a message of a caller. Zero is no bound.
	MaxMessageBytes int `cbor:"2,keyasint,omitempty"`
}

// Configuration is everything that the operator sets.
type Configuration struct {
	Number uint64          `cbor:"1,keyasint"`
	Pools  []Pool          `cbor:"2,keyasint"`
	Groups []GroupSettings `cbor:"3,keyasint"`
	Limits Limits          `cbor:"4,keyasint"`
	// Document is the operator's own form, returned unchanged when the configuration is read.
	Document []byte `cbor:"5,keyasint,omitempty"`
}

// Validate returns an error with result.ChangeInvalid if the configuration can't be in force.
func (c *Configuration) Validate() error {
	groups := make(map[string]bool, len(c.Groups))

	for _, group := range c.Groups {
		switch {
		case group.Name == "":
			return result.New(result.ChangeInvalid, "a group has no name")
		case groups[group.Name]:
			return result.New(result.ChangeInvalid, "group %q is listed twice", group.Name)
		case group.MaxConnections < 0 || group.SyncReplicas < 0:
			return result.New(result.ChangeInvalid, "group %q has a negative limit", group.Name)
		}

		groups[group.Name] = true
	}

	type databaseKey struct{ database, path string }

	poolNames := make(map[databaseKey]string, len(c.Pools))

	for _, pool := range c.Pools {
		key := databaseKey{pool.Database, pool.Path}
		firstPool, taken := poolNames[key]

		switch {
		case pool.Database == "":
			return result.New(result.ChangeInvalid, "pool %q has no database", pool.Name)
		case !groups[pool.Group]:
			return result.New(result.ChangeInvalid, "pool %q names the unknown group %q", pool.Name, pool.Group)
		case taken:
			return result.New(result.ChangeInvalid, "pools %q and %q share the database %q", firstPool, pool.Name, pool.Database)
		case pool.Timeout <= 0:
			return result.New(result.ChangeInvalid, "pool %q has the timeout %s; it must be positive", pool.Name, pool.Timeout)
		case pool.MaxAge < 0 || pool.TargetLatency < 0:
			return result.New(result.ChangeInvalid, "pool %q has a negative duration", pool.Name)
		}

		poolNames[key] = pool.Name
	}

	return nil
}
