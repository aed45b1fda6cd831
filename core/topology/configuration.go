package topology

import (
	"time"

	"almondgrade/core/result"
)

// Freshness is the consistency that reads of a pool require.
type Freshness uint8

// The levels of freshness.
const (
	// FreshnessLatest means that a read sees every commit that was acknowledged before it.
	FreshnessLatest Freshness = iota
	// FreshnessBounded means that a read sees every commit that was acknowledged longer ago than Pool.MaxAge.
	FreshnessBounded
	// FreshnessSession is FreshnessBounded and also means that a read sees every commit of its own session.
	FreshnessSession
)

// String returns the name of the level as messages show it.
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

// Pool is a database that callers can connect to.
type Pool struct {
	Name     string `cbor:"1,keyasint"`
	Database string `cbor:"2,keyasint"`
	// Path distinguishes pools of the same database in the operator's interface. Callers don't send it.
	Path      string    `cbor:"3,keyasint,omitempty"`
	Group     string    `cbor:"4,keyasint"`
	Freshness Freshness `cbor:"5,keyasint"`
	// MaxAge bounds the staleness of the data that a read sees. It is zero for FreshnessLatest.
	MaxAge time.Duration `cbor:"6,keyasint,omitempty"`
	// Timeout bounds the duration of a statement.
	Timeout time.Duration `cbor:"7,keyasint"`
	// TargetLatency is the time within which an operation should complete.
	TargetLatency time.Duration `cbor:"8,keyasint"`
	// Priority orders pools; zero is the highest priority.
	Priority int `cbor:"9,keyasint"`
	// AllowAnonymous lets callers without a known key use the pool.
	AllowAnonymous bool `cbor:"10,keyasint,omitempty"`
}

// GroupSettings are the operator's settings for a group.
type GroupSettings struct {
	Name string `cbor:"1,keyasint"`
	// MaxConnections bounds the connections of all proxies together to each server of the group.
	MaxConnections int `cbor:"2,keyasint"`
	// SyncReplicas is the number of replicas that must hold a commit before it is acknowledged.
	SyncReplicas int `cbor:"3,keyasint,omitempty"`
}

// Limits are the limits that apply to all pools.
type Limits struct {
	// IdleTransactionTimeout is the idle time after which an open transaction may be ended. Zero means no limit.
	IdleTransactionTimeout time.Duration `cbor:"1,keyasint,omitempty"`
	// MaxMessageBytes bounds the size of a message from a caller. Zero means no limit.
	MaxMessageBytes int `cbor:"2,keyasint,omitempty"`
}

// Configuration is the complete configuration that the operator sends.
type Configuration struct {
	Number uint64          `cbor:"1,keyasint"`
	Pools  []Pool          `cbor:"2,keyasint"`
	Groups []GroupSettings `cbor:"3,keyasint"`
	Limits Limits          `cbor:"4,keyasint"`
	// Document is the configuration as the operator sent it. It is returned unchanged when the operator reads it.
	Document []byte `cbor:"5,keyasint,omitempty"`
	// Customers is nil if the deployment does not distinguish customers. Then every caller is served.
	Customers *CustomerList `cbor:"6,keyasint,omitempty"`
}

// Validate returns an error with the code result.ChangeInvalid if the configuration is inconsistent.
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

	return c.Customers.validate()
}
