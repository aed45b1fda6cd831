package registry

import (
	"net/netip"

	"almondgrade/core/position"
	"almondgrade/core/settings"
)

// View is an immutable picture of the replicated state. It is replaced, never changed, so that the path of a
// request reads it without locks.
type View struct {
	// Version is the index of the control log that the view reflects.
	Version uint64
	// ConfigurationNumber is the number of the running configuration.
	ConfigurationNumber uint64
	Running             settings.Running
	// Settings is the text of Running. It is set only where the state is replicated, not on proxies.
	Settings []byte
	// Author made the last change of the configuration.
	Author  string
	Groups  map[string]Group
	Servers map[string]Server
	Proxies map[string]Proxy
}

// Phase is the stage of a group's failover.
type Phase string

// The phases of a group.
const (
	PhaseStable    Phase = "stable"
	PhaseFencing   Phase = "fencing"
	PhasePromoting Phase = "promoting"
)

// Group is a database group: one primary and its replicas.
type Group struct {
	Name string
	Term position.Term
	// Primary is the name of the primary of Term. It is empty before the first primary announced itself.
	Primary string
	History position.History
	Phase   Phase
	// Candidate is the server that is being promoted to Term+1.
	Candidate string
	// Target is the server that a planned move wants to promote.
	Target string
	// Attempt is the log index at which the last fencing began.
	Attempt uint64
	// Coordinator is the proxy that coordinates the group, in the given epoch.
	Coordinator string
	Epoch       uint64
	// Members are the servers that quorums count.
	Members []string
	// PreviousMembers are the members before the last change, while it is not in force everywhere.
	PreviousMembers []string
	// MembersChangedIndex is the log index of the last change of members.
	MembersChangedIndex uint64
	// MemberIdentities are the identities of the members at the time they were added. A server whose identity differs
	// has lost its data and does not count.
	MemberIdentities map[string]string
}

// Server is a backend server that announced itself.
type Server struct {
	Name    string
	Group   string
	Address netip.AddrPort
	// Identity names the server's data. It changes when the server loses its disk.
	Identity string
	// Incarnation grows with each start of the server, Sequence with each of its announcements.
	Incarnation uint64
	Sequence    uint64
	Slots       int
	Connections int
	Centre      string
	Leaving     bool
	// Recovery is true while the server is a replica.
	Recovery bool
}

// UnchangedBy reports whether an announcement of the server says nothing new. The mark of a drain that an operator ordered
// stays until the server starts anew.
func (s Server) UnchangedBy(announced Server) bool {
	announced.Sequence = s.Sequence
	if s.Incarnation == announced.Incarnation {
		announced.Leaving = announced.Leaving || s.Leaving
	}

	return s == announced
}

// Proxy is a proxy process that joined.
type Proxy struct {
	Name string
	// Instance is drawn at random when the process starts.
	Instance uint64
	// Number is unique among the proxies and part of cancel keys.
	Number   uint32
	Peer     netip.AddrPort
	Centre   string
	Draining bool
}
