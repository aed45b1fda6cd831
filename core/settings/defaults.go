package settings

import "time"

const (
	// defaultCallerLimit lets a proxy serve three times the 3,300 callers a node that are expected.
	defaultCallerLimit = 10_000
	// defaultReloadSeconds is the interval at which key files are read again.
	defaultReloadSeconds = 60
	// defaultQueue bounds the waiting requests of a traffic rule on one proxy.
	defaultQueue = 1024
)

// Defaults returns the running configuration that fields left out of the files take.
func Defaults() Running {
	return Running{
		Pools:           map[string]Pool{},
		Users:           map[string]User{},
		Backend:         Login{User: "almondgrade", Secret: ""},
		WhenUnconfirmed: "refuse",
		Timing: Timing{
			Deadline:       Duration(30 * time.Second),
			ConfirmTimeout: Duration(10 * time.Second),
			ReplicaWait:    Duration(20 * time.Millisecond),
			DrainTimeout:   Duration(30 * time.Second),
			Monitor:        Duration(500 * time.Millisecond),
			MonitorTimeout: Duration(time.Second),
			Failures:       3,
			Lease:          Duration(3 * time.Second),
			Announce:       Duration(10 * time.Second),
			SlotCache:      Duration(50 * time.Millisecond),
			MessageLimit:   64 << 20,
		},
	}
}

// fill sets the fields that a process's files left out.
func (s *Settings) fill() {
	if s.VM.CallerLimit == 0 {
		s.VM.CallerLimit = defaultCallerLimit
	}

	if s.TLS.ReloadSeconds == 0 {
		s.TLS.ReloadSeconds = defaultReloadSeconds
	}

	s.Log.Format = or(s.Log.Format, "text")
	s.Log.Level = or(s.Log.Level, "info")

	if s.Control == nil {
		s.Control = []ControlMember{}
	}

	s.Running.fill()
}

// fill sets the fields that a configuration left out of its pools, and replaces lists and maps that are nil.
func (r *Running) fill() {
	if r.Pools == nil {
		r.Pools = map[string]Pool{}
	}

	if r.Users == nil {
		r.Users = map[string]User{}
	}

	for name, pool := range r.Pools {
		pool.Database = or(pool.Database, name)

		if pool.Groups == nil {
			pool.Groups = []string{}
		}

		if pool.Traffic == nil {
			pool.Traffic = []Traffic{}
		}

		for i := range pool.Traffic {
			pool.Traffic[i].fill()
		}

		r.Pools[name] = pool
	}
}

func (t *Traffic) fill() {
	t.Session = or(t.Session, "shared")
	t.Pooling = or(t.Pooling, "transaction")
	t.Durability = or(t.Durability, "replica")

	if t.Queue == 0 {
		t.Queue = defaultQueue
	}

	if t.Users == nil {
		t.Users = []string{}
	}

	if t.Applications == nil {
		t.Applications = []string{}
	}
}

// or returns the text, or the fallback if it is empty.
func or(text, fallback string) string {
	if text == "" {
		return fallback
	}

	return text
}
