package managedcontrol

import (
	"net/netip"
	"time"

	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/share"
	"almondgrade/core/topology"
	"almondgrade/core/viewlog"
)

// Version identifies a view by the leader's term and a number within that term.
type Version struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// PrimaryReport is what a proxy reports about a primary.
type PrimaryReport struct {
	Server  string `cbor:"1,keyasint"`
	Reached bool   `cbor:"2,keyasint,omitempty"`
	// FailingFor is the time since the first failure that followed the last answer.
	FailingFor time.Duration `cbor:"3,keyasint,omitempty"`
}

// SyncRequest is the request of Sync.
type SyncRequest struct {
	// Proxy is the proxy's name. It is empty in the requests of a process that serves no callers.
	Proxy string `cbor:"1,keyasint"`
	// Instance is a random number that the process draws when it starts.
	Instance uint64 `cbor:"2,keyasint"`
	// AppliedVersion is the version of the view that the proxy uses, Configuration the number of its configuration.
	AppliedVersion Version         `cbor:"3,keyasint"`
	Configuration  uint64          `cbor:"4,keyasint"`
	PrimaryReports []PrimaryReport `cbor:"5,keyasint,omitempty"`
	// Demands are the numbers of connections that the proxy holds and wants, by server.
	Demands map[string]share.Demand `cbor:"7,keyasint,omitempty"`
	// Centre is the proxy's data centre, Address the address at which it accepts statements from other proxies.
	Centre  string         `cbor:"8,keyasint,omitempty"`
	Address netip.AddrPort `cbor:"9,keyasint,omitempty"`
	// Leaving is true if the proxy is about to stop.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// Stopping is true in the last request of a proxy, which then holds no lease any more.
	Stopping bool `cbor:"6,keyasint,omitempty"`
	// AcceptsDeltas is true if the proxy can apply a ConfigurationDelta to the configuration that it has.
	AcceptsDeltas bool `cbor:"11,keyasint,omitempty"`
	// CounterEpoch is the epoch of the lists of counting proxies that the proxy uses.
	CounterEpoch uint64 `cbor:"30,keyasint,omitempty"`
	// ViewPosition is what the proxy's ViewReplica holds. It is nil if the process can't apply deltas of views, which then
	// gets whole views. A process that serves no callers gets only the version and the control processes.
	ViewPosition *viewlog.Position `cbor:"20,keyasint,omitempty"`
	// Acknowledged are the last commits that the proxy has acknowledged to callers, by group, in groups that are changing their primary
	// and whose commits wait for replicas.
	Acknowledged map[string]AcknowledgedCommit `cbor:"40,keyasint,omitempty"`
	// AcceptsCompressed is true if the process can expand SyncReply.Compressed. A Client sets it.
	AcceptsCompressed bool `cbor:"21,keyasint,omitempty"`
}

// AcknowledgedCommit is the position of a commit that a primary has answered.
type AcknowledgedCommit struct {
	Primary  string            `cbor:"1,keyasint"`
	Position position.Position `cbor:"2,keyasint"`
}

// Server is a backend server of a view.
type Server struct {
	topology.Server `cbor:"1,keyasint"`
	// Silent is true if the server has not announced itself for some time.
	Silent bool `cbor:"2,keyasint,omitempty"`
}

// View is the state of the deployment that a proxy works with.
type View struct {
	Version Version          `cbor:"1,keyasint"`
	Groups  []topology.Group `cbor:"2,keyasint"`
	Servers []Server         `cbor:"3,keyasint"`
	// Proxies is the number of proxies that share the backend servers, rounded up by at most an eighth.
	Proxies int `cbor:"4,keyasint"`
	// Control are the addresses of the control processes.
	Control []netip.AddrPort `cbor:"5,keyasint"`
	// HoldersKnown is true once the leader knows the proxies. Until then, the holders of an earlier view stay in force.
	HoldersKnown bool `cbor:"6,keyasint,omitempty"`
	// Holders are the proxies that hold connections to the servers of a group, by group. For a group that is not
	// listed, each proxy holds its own connections.
	Holders map[string][]placement.Proxy `cbor:"7,keyasint,omitempty"`
}

// ObservedPosition is a position of a primary's log. It covers every commit that was acknowledged at least Age before
// the answer was sent.
type ObservedPosition struct {
	Position position.Position `cbor:"1,keyasint"`
	Age      time.Duration     `cbor:"2,keyasint"`
}

// SyncReply is the leader's answer.
type SyncReply struct {
	// Lease is the duration of the proxy's lease, counted from the moment at which it sent the request, and Held.
	Lease time.Duration `cbor:"1,keyasint"`
	// View is nil if the proxy has already applied the current view.
	View *View `cbor:"2,keyasint,omitempty"`
	// Configuration is nil if the proxy already has the current one, or gets ConfigurationDelta. Its Document is empty.
	Configuration *topology.Configuration `cbor:"3,keyasint,omitempty"`
	// ConfigurationDelta is the difference between the proxy's configuration and the current one.
	ConfigurationDelta *topology.ConfigurationDelta `cbor:"7,keyasint,omitempty"`
	// ConnectionLimits are the numbers of connections that the proxy may hold, by server.
	ConnectionLimits map[string]int `cbor:"5,keyasint,omitempty"`
	// Positions are the latest log positions of the primaries that the leader has observed, by group.
	Positions map[string]ObservedPosition `cbor:"6,keyasint,omitempty"`
	// Counters is nil if the proxy has the current lists of counting proxies, or if there are none.
	Counters *topology.Counters `cbor:"30,keyasint,omitempty"`
	// CounterLease is the duration for which the proxy may count under the current lists, counted like Lease. It is zero for
	// a proxy that is on none.
	CounterLease time.Duration `cbor:"31,keyasint,omitempty"`
	// Leader is the leader's address. A process that is not the leader but knows it sets only this field.
	Leader netip.AddrPort `cbor:"4,keyasint,omitempty"`
	// ViewDelta is what a proxy that sent a ViewPosition lacks of the view.
	ViewDelta *viewlog.Delta `cbor:"20,keyasint,omitempty"`
	// Interval is the time for which the leader may hold the proxy's next call. It grows with the number of proxies.
	Interval time.Duration `cbor:"21,keyasint,omitempty"`
	// Compressed is a large Configuration or ConfigurationDelta, which are nil then. A Client expands it.
	Compressed []byte `cbor:"22,keyasint,omitempty"`
	// Held is the time for which the leader held the call. The lease and the ages of Positions may count from that much
	// after the request was sent. Earlier builds count them from the request.
	Held time.Duration `cbor:"23,keyasint,omitempty"`
}

// DeliverRequest is a request of a backend server or an operator. Either one of the first three fields is set, or Read.
type DeliverRequest struct {
	Configure *topology.Configuration `cbor:"1,keyasint,omitempty"`
	Announce  *topology.Server        `cbor:"2,keyasint,omitempty"`
	// Withdraw is the ID of a server that has stopped.
	Withdraw string `cbor:"3,keyasint,omitempty"`
	// Read asks for the newest configuration.
	Read bool `cbor:"4,keyasint,omitempty"`
}

// DeliverReply is the leader's answer to a DeliverRequest.
type DeliverReply struct {
	Code          result.Code             `cbor:"1,keyasint,omitempty"`
	Reason        string                  `cbor:"2,keyasint,omitempty"`
	Configuration *topology.Configuration `cbor:"3,keyasint,omitempty"`
}

// Err returns the reply as an error, or nil if the request was carried out.
func (r DeliverReply) Err() error {
	return result.Restore(r.Code, r.Reason)
}

// Introduction lists control processes. A process that keeps the log sends it to the seeds of the settings, because all
// seeds may be processes without a log, which have no other way to find those that keep it.
type Introduction struct {
	// Control are the addresses of the processes that keep the log, as far as the sender knows them.
	Control []netip.AddrPort `cbor:"1,keyasint,omitempty"`
}
