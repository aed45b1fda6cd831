package registry

import (
	"net/netip"

	"almondgrade/core/position"
	"almondgrade/core/settings"
)

// View is an immutable snapshot of the replicated state. A change replaces it, so that requests read it without locks.
type View struct {
	// Version is the index of the last control log entry that the view includes.
	Version uint64
	// ConfigurationNumber is the number of the running configuration.
	ConfigurationNumber uint64
	Running             settings.Running
	// Settings is Running as canonical JSON. It is set on members of the control log only, not on proxies.
	Settings []byte
	// Author is the operator who made the last change of the configuration.
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
	// Primary is the name of the primary of Term. It is empty until the group is bootstrapped.
	Primary string
	History position.History
	Phase   Phase
	// Candidate is the server that is being promoted to Term+1.
	Candidate string
	// Target is the server that a planned move is to promote. It is empty in an unplanned failover.
	Target string
	// Attempt identifies the last failover attempt: it is the log index at which fencing began.
	Attempt uint64
	// Coordinator is the proxy that coordinates the group in Epoch.
	Coordinator string
	Epoch       uint64
	// Members are the servers whose acknowledgements count towards quorums.
	Members []string
	// PreviousMembers are the members before the last change. It is empty once the change is finished.
	PreviousMembers []string
	// MembersChangedIndex is the log index of the last change of members.
	MembersChangedIndex uint64
	// MemberIdentities are the identities of the members when they were added, with that of the member that was removed
	// last. A server with another identity has lost its data and doesn't count.
	MemberIdentities map[string]string
}

// Server is a backend server that has announced itself.
type Server struct {
	Name    string
	Group   string
	Address netip.AddrPort
	// Identity identifies the server's data. It changes when the server loses its disk.
	Identity string
	// Incarnation increases with each start of the server, Sequence with each of its announcements.
	Incarnation uint64
	Sequence    uint64
	Slots       int
	Connections int
	Centre      string
	Leaving     bool
	// Recovery is true while the server is a replica.
	Recovery bool
}

// UnchangedBy reports whether an announcement of the server changes nothing but its sequence. Leaving, which an operator's
// drain sets, stays until the server restarts.
func (s Server) UnchangedBy(announced Server) bool {
	announced.Sequence = s.Sequence
	if s.Incarnation == announced.Incarnation {
		announced.Leaving = announced.Leaving || s.Leaving
	}

	return s == announced
}

// Proxy is a proxy process that has joined.
type Proxy struct {
	Name string
	// Instance is a random number that the process chooses when it starts.
	Instance uint64
	// Number is unique among the proxies. It is part of cancel keys.
	Number   uint32
	Peer     netip.AddrPort
	Centre   string
	Draining bool
}
