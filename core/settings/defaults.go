package settings

import "time"

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
