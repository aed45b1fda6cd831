package settings

import "time"

const (
	// defaultCallerLimit is three times the 3,300 callers that are expected per proxy.
	defaultCallerLimit = 10_000
	// defaultReloadSeconds is the interval at which the TLS files are reloaded.
	defaultReloadSeconds = 60
	// defaultQueueLimit bounds the waiting requests of a traffic rule on each proxy.
	defaultQueueLimit = 1024
)

// Defaults returns the running configuration with the default of every field.
func Defaults() Running {
	return Running{
		Pools:           map[string]Pool{},
		Users:           map[string]User{},
		Backend:         BackendLogin{User: "almondgrade", PasswordFile: ""},
		WhenUnconfirmed: "refuse",
		Timing: Timing{
			Deadline:          Duration(30 * time.Second),
			ConfirmTimeout:    Duration(10 * time.Second),
			ReplicaWait:       Duration(20 * time.Millisecond),
			DrainTimeout:      Duration(30 * time.Second),
			MonitorInterval:   Duration(500 * time.Millisecond),
			MonitorTimeout:    Duration(time.Second),
			FailureThreshold:  3,
			Lease:             Duration(3 * time.Second),
			AnnounceTimeout:   Duration(10 * time.Second),
			SlotCacheTime:     Duration(50 * time.Millisecond),
			MessageLimitBytes: 64 << 20,
		},
	}
}

// fillDefaults sets absent fields to their defaults.
func (s *Settings) fillDefaults() {
	if s.VM.CallerLimit == 0 {
		s.VM.CallerLimit = defaultCallerLimit
	}

	if s.TLS.ReloadSeconds == 0 {
		s.TLS.ReloadSeconds = defaultReloadSeconds
	}

	s.Log.Format = orDefault(s.Log.Format, "text")
	s.Log.Level = orDefault(s.Log.Level, "info")

	if s.Control == nil {
		s.Control = []ControlMember{}
	}

	s.Running.fillDefaults()
}

// fillDefaults sets absent fields of the pools to their defaults and replaces nil lists and maps with empty ones.
func (r *Running) fillDefaults() {
	if r.Pools == nil {
		r.Pools = map[string]Pool{}
	}

	if r.Users == nil {
		r.Users = map[string]User{}
	}

	for name, pool := range r.Pools {
		pool.Database = orDefault(pool.Database, name)

		if pool.Groups == nil {
			pool.Groups = []string{}
		}

		if pool.Traffic == nil {
			pool.Traffic = []TrafficRule{}
		}

		for i := range pool.Traffic {
			pool.Traffic[i].fillDefaults()
		}

		r.Pools[name] = pool
	}
}

func (t *TrafficRule) fillDefaults() {
	t.Session = orDefault(t.Session, "shared")
	t.Pooling = orDefault(t.Pooling, "transaction")
	t.Durability = orDefault(t.Durability, "replica")

	if t.QueueLimit == 0 {
		t.QueueLimit = defaultQueueLimit
	}

	if t.Users == nil {
		t.Users = []string{}
	}

	if t.Applications == nil {
		t.Applications = []string{}
	}
}

// orDefault returns the text, or the fallback if it is empty.
func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}

	return text
}
