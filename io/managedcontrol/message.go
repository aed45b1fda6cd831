package managedcontrol

import (
	"net/netip"
	"time"

	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/share"
	"almondgrade/core/topology"
)

// Version identifies a view: the leadership that made it and its number in that leadership.
type Version struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Sight is what a proxy says of a primary.
type Sight struct {
	Server  string `cbor:"1,keyasint"`
	Reached bool   `cbor:"2,keyasint,omitempty"`
	// Failing is the time since the first failure after the last answer.
	Failing time.Duration `cbor:"3,keyasint,omitempty"`
}

// SyncRequest is what a proxy sends.
type SyncRequest struct {
	// Proxy is empty in the calls of a process that serves no callers.
	Proxy string `cbor:"1,keyasint"`
	// Instance is drawn at process start.
	Instance uint64 `cbor:"2,keyasint"`
	// Applied is the version of the view that the proxy acts on, Configuration the number of its configuration.
	Applied       Version `cbor:"3,keyasint"`
	Configuration uint64  `cbor:"4,keyasint"`
	Sights        []Sight `cbor:"5,keyasint,omitempty"`
	// Demands are the connections that the proxy holds and wants, by server.
	Demands map[string]share.Demand `cbor:"7,keyasint,omitempty"`
	// Centre is the proxy's data centre, and Address where it takes statements from other proxies.
	Centre  string         `cbor:"8,keyasint,omitempty"`
	Address netip.AddrPort `cbor:"9,keyasint,omitempty"`
	// Leaving is true for a proxy that is about to stop.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// Stopping is true in the last call of a proxy, which holds no lease any more.
	Stopping bool `cbor:"6,keyasint,omitempty"`
}

// Server is a backend server of a view.
type Server struct {
	topology.Server `cbor:"1,keyasint"`
	// Silent is true if the server has not announced itself for some time.
	Silent bool `cbor:"2,keyasint,omitempty"`
}

// View is what a proxy acts on.
type View struct {
	Version Version          `cbor:"1,keyasint"`
	Groups  []topology.Group `cbor:"2,keyasint"`
	Servers []Server         `cbor:"3,keyasint"`
	// Proxies is the number of proxies that share the backend servers.
	Proxies int `cbor:"4,keyasint"`
	// Control are the addresses of the control processes.
	Control []netip.AddrPort `cbor:"5,keyasint"`
	// Placed is true once the leader knows the proxies. Before that, the holders of an earlier view stay.
	Placed bool `cbor:"6,keyasint,omitempty"`
	// Holders are the proxies that hold connections to the servers of a group. Of a group that is not listed, each proxy
	// holds its own.
	Holders map[string][]placement.Proxy `cbor:"7,keyasint,omitempty"`
}

// Seen is a position of a primary's log. It covers every commit that was acknowledged Age before the answer was sent.
type Seen struct {
	Position position.Position `cbor:"1,keyasint"`
	Age      time.Duration     `cbor:"2,keyasint"`
}

// SyncReply is the leader's answer.
type SyncReply struct {
	// Lease is the duration of the proxy's lease, counted from the moment at which it sent the request.
	Lease time.Duration `cbor:"1,keyasint"`
	// View is nil if the proxy has applied the present one.
	View *View `cbor:"2,keyasint,omitempty"`
	// Configuration is nil if the proxy has the present one. Its Document is empty.
	Configuration *topology.Configuration `cbor:"3,keyasint,omitempty"`
	// Connections are the numbers of connections that the proxy may hold, by server.
	Connections map[string]int `cbor:"5,keyasint,omitempty"`
	// Positions are what the leader has seen of the primaries lately, by group.
	Positions map[string]Seen `cbor:"6,keyasint,omitempty"`
	// Leader is set in place of everything else by a process that does not lead but knows who does.
	Leader netip.AddrPort `cbor:"4,keyasint,omitempty"`
}

// Delivery is a call of a backend server or an operator. One of the first three fields is set, or Read.
type Delivery struct {
	Configure *topology.Configuration `cbor:"1,keyasint,omitempty"`
	Announce  *topology.Server        `cbor:"2,keyasint,omitempty"`
	// Withdraw is the ID of a server that has ended.
	Withdraw string `cbor:"3,keyasint,omitempty"`
	// Read asks for the newest configuration.
	Read bool `cbor:"4,keyasint,omitempty"`
}

// Receipt is the leader's answer to a Delivery.
type Receipt struct {
	Code          result.Code             `cbor:"1,keyasint,omitempty"`
	Reason        string                  `cbor:"2,keyasint,omitempty"`
	Configuration *topology.Configuration `cbor:"3,keyasint,omitempty"`
}

// Err returns the receipt as an error, or nil if the call was carried out.
func (r Receipt) Err() error {
	return result.Restore(r.Code, r.Reason)
}

// Introduction names control processes. A process that keeps the log sends it to the processes that the settings name as
// seeds, because the settings may name only processes without a log, which nobody else tells where the log is.
type Introduction struct {
	// Control are the addresses of processes that keep the log, as far as the sender knows.
	Control []netip.AddrPort `cbor:"1,keyasint,omitempty"`
}
