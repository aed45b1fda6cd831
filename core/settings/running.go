package settings

// Running is the running configuration, which all proxies share. It can change while the system runs.
type Running struct {
	Pools   map[string]Pool `json:"pools"`
	Users   map[string]User `json:"users"`
	Backend BackendLogin    `json:"backend"`
	Timing  Timing          `json:"timing"`
	// WhenUnconfirmed says what a proxy does with new requests while it can't confirm that its configuration is current:
	// "refuse" or "serve".
	WhenUnconfirmed string `json:"when_unconfirmed"`
}

// Pool is a named set of database groups with rules for their traffic.
type Pool struct {
	Groups []string `json:"groups"`
	// Database is the name of the database on the backend servers. If empty, it is the name of the pool.
	Database string `json:"database"`
	// Traffic holds the traffic rules in the order in which they are tried; the first match applies. A request that
	// matches none is routine and reads fresh data.
	Traffic []TrafficRule `json:"traffic"`
}

// TrafficRule selects requests and determines how they are served.
type TrafficRule struct {
	Name string `json:"name"`
	// Users and Applications are shell patterns for the user and application names; an empty list matches all.
	Users        []string `json:"users"`
	Applications []string `json:"applications"`
	// Urgent marks high-priority requests, which never wait behind routine ones.
	Urgent bool `json:"urgent"`
	// MaxAge bounds the staleness of the data that reads accept. Zero requires fresh data.
	MaxAge Duration `json:"max_age"`
	// Session is "shared" (a session may span several connections at once) or "connection" (each connection is a
	// session).
	Session string `json:"session"`
	// Pooling is "transaction" or "session".
	Pooling string `json:"pooling"`
	// Durability is "replica" or "primary".
	Durability string `json:"durability"`
	// Deadline bounds the total time of a request, including its wait. Zero means Timing.Deadline.
	Deadline Duration `json:"deadline"`
	// QueueLimit bounds the waiting requests of this rule on each proxy.
	QueueLimit int `json:"queue"`
}

// User is a user as which callers log in.
type User struct {
	// Verifier is a SCRAM-SHA-256 verifier in PostgreSQL's text form. If empty, the user needs no password (trust).
	Verifier string `json:"verifier"`
}

// BackendLogin holds the credentials with which proxies and control log in to backend servers.
type BackendLogin struct {
	User string `json:"user"`
	// PasswordFile is the file that holds the password, so that the password appears neither in settings nor in logs.
	PasswordFile string `json:"secret"`
}

// Timing holds the timeouts, intervals and limits of the running system.
type Timing struct {
	Deadline       Duration `json:"deadline"`
	ConfirmTimeout Duration `json:"confirm_timeout"`
	ReplicaWait    Duration `json:"replica_wait"`
	DrainTimeout   Duration `json:"drain_timeout"`
	// MonitorInterval is the interval at which a coordinator queries backend servers.
	MonitorInterval Duration `json:"monitor"`
	// MonitorTimeout is the timeout of such a query.
	MonitorTimeout Duration `json:"monitor_timeout"`
	// FailureThreshold is the number of consecutive failed queries, on new connections, after which a server is suspected.
	FailureThreshold int `json:"failures"`
	// Lease is the duration of a proxy's configuration lease.
	Lease Duration `json:"lease"`
	// AnnounceTimeout is the time since its last announcement after which a server is forgotten.
	AnnounceTimeout Duration `json:"announce"`
	// SlotCacheTime is the time for which a proxy keeps a slot permit that it doesn't use.
	SlotCacheTime Duration `json:"slot_cache"`
	// MessageLimitBytes bounds the size of a message from a caller.
	MessageLimitBytes int `json:"message_limit"`
}
