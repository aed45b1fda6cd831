package settings

// Running is the configuration that is in force on every proxy. It changes while the system runs.
type Running struct {
	Pools   map[string]Pool `json:"pools"`
	Users   map[string]User `json:"users"`
	Backend BackendLogin    `json:"backend"`
	Timing  Timing          `json:"timing"`
	// WhenUnconfirmed is what a proxy does with new requests while it can't confirm the configuration:
	// "refuse" or "serve".
	WhenUnconfirmed string `json:"when_unconfirmed"`
}

// Pool is a set of database groups under one name, with rules for their traffic.
type Pool struct {
	Groups []string `json:"groups"`
	// Database is the name of the database on the backend servers. Empty means the name of the pool.
	Database string `json:"database"`
	// Traffic is tried in order; the first rule that matches applies. A request that matches none is routine
	// and reads fresh data.
	Traffic []TrafficRule `json:"traffic"`
}

// TrafficRule says which requests a rule is for and how they are served.
type TrafficRule struct {
	Name string `json:"name"`
	// Users and Applications are shell patterns; an empty list matches every value.
	Users        []string `json:"users"`
	Applications []string `json:"applications"`
	// Urgent traffic never waits behind routine traffic.
	Urgent bool `json:"urgent"`
	// MaxAge is the greatest age of data that reads accept. Zero asks for fresh data.
	MaxAge Duration `json:"max_age"`
	// Session is "shared" (a session may use several connections at once) or "connection" (one connection is
	// one session).
	Session string `json:"session"`
	// Pooling is "transaction" or "session".
	Pooling string `json:"pooling"`
	// Durability is "replica" or "primary".
	Durability string `json:"durability"`
	// Deadline bounds the whole time of a request, waiting included. Zero means Timing.Deadline.
	Deadline Duration `json:"deadline"`
	// QueueLimit bounds the requests of this rule that wait on one proxy.
	QueueLimit int `json:"queue"`
}

// User is a caller's login.
type User struct {
	// Verifier is a SCRAM-SHA-256 verifier in PostgreSQL's text form. Empty means trust.
	Verifier string `json:"verifier"`
}

// BackendLogin is how proxies and control log in to backend servers.
type BackendLogin struct {
	User string `json:"user"`
	// PasswordFile names a file that holds the password, so that it appears neither in settings nor in logs.
	PasswordFile string `json:"secret"`
}

// Timing holds the durations and limits of the running system.
type Timing struct {
	Deadline       Duration `json:"deadline"`
	ConfirmTimeout Duration `json:"confirm_timeout"`
	ReplicaWait    Duration `json:"replica_wait"`
	DrainTimeout   Duration `json:"drain_timeout"`
	// MonitorInterval is the interval at which a coordinator queries backend servers.
	MonitorInterval Duration `json:"monitor"`
	// MonitorTimeout bounds one such query.
	MonitorTimeout Duration `json:"monitor_timeout"`
	// FailureThreshold is the number of failed queries in a row, on new connections, after which a server is suspect.
	FailureThreshold int `json:"failures"`
	// Lease is the duration of a proxy's configuration lease.
	Lease Duration `json:"lease"`
	// AnnounceTimeout is the time after which a server that no longer announces itself is forgotten.
	AnnounceTimeout Duration `json:"announce"`
	// SlotCacheTime is the time for which a proxy keeps an idle slot permit.
	SlotCacheTime Duration `json:"slot_cache"`
	// MessageLimitBytes bounds one message of a caller, in bytes.
	MessageLimitBytes int `json:"message_limit"`
}
