package route

import (
	"time"

	"almondgrade/core/position"
)

// failedServerAvoidance is the time for which a server is avoided after a request failed to use it.
const failedServerAvoidance = time.Second

// Server is what the proxy knows about a backend server.
type Server struct {
	Name    string
	Centre  string
	Primary bool
	// Reachable is false if the server can't be used at present. Leaving is true if it must get no new work.
	Reachable bool
	Leaving   bool
	// Position is the position that readers of the server see.
	Position position.Position
	// DataAge is an upper bound for the age of the server's data at the time ObservedAt.
	DataAge    time.Duration
	ObservedAt time.Time
	// RunningStatements is the number of statements that run on the server, Slots the number that it can run at once.
	RunningStatements int
	Slots             int
	// ExpectedLatency is the time that an answer takes while none of this proxy's statements run on the server. Zero means
	// that it is not known; the choice then is by RunningStatements per slot.
	ExpectedLatency time.Duration
	// Sharers is the number of proxies whose statements share the slots, with about as many from each. Zero means one.
	Sharers int
	// FailedAt is the time at which a request last failed to use the server.
	FailedAt time.Time
}

// Request is a read for which a server has to be chosen.
type Request struct {
	Now time.Time
	// Floor is the position that the read must cover. It is compared by the history of the group's terms.
	Floor   position.Position
	History position.History
	// MaxAge limits the age of the data. Zero means no limit.
	MaxAge time.Duration
	// Centre is the data centre of the caller's proxy.
	Centre  string
	Servers []Server
	// MaxWait is the time for which the request may still wait for a replica.
	MaxWait time.Duration
	// Rotation increases with each request, to spread reads over equally loaded servers.
	Rotation uint64
}

// ChoiceKind says how to proceed with a request.
type ChoiceKind uint8

// The kinds of choices.
const (
	// Nothing means that no server can serve the read now.
	Nothing ChoiceKind = iota
	// Replica means that the read runs on a replica.
	Replica
	// Primary means that the read runs on the primary.
	Primary
	// Wait means to wait until Choice.Wait has passed or new information about a server arrives, and then to choose
	// again.
	Wait
)

// String returns the name that messages use.
func (k ChoiceKind) String() string {
	return [...]string{"nothing", "replica", "primary", "wait"}[k]
}

// Choice is a policy's answer to a Request.
type Choice struct {
	Kind   ChoiceKind
	Server string
	Wait   time.Duration
}

// Policy chooses servers. Implementations have no state.
type Policy interface {
	Choose(request Request) Choice
}

// usable reports whether a server may get new work.
func (r *Request) usable(server *Server) bool {
	return server.Reachable && !server.Leaving && (server.FailedAt.IsZero() || r.Now.Sub(server.FailedAt) >= failedServerAvoidance)
}

// freshEnough reports whether a server's data satisfies the floor and the maximum age. The primary's data is always
// current.
func (r *Request) freshEnough(server *Server) bool {
	if server.Primary {
		return true
	}

	return r.History.Covers(server.Position, r.Floor) && (r.MaxAge == 0 || r.dataAge(server) <= r.MaxAge)
}

// dataAge returns an upper bound for the current age of a server's data.
func (r *Request) dataAge(server *Server) time.Duration {
	return server.DataAge + max(0, r.Now.Sub(server.ObservedAt))
}

// primary returns the choice of the primary, or the zero Choice if the primary can't be used.
func (r *Request) primary() Choice {
	for i := range r.Servers {
		if server := &r.Servers[i]; server.Primary && r.usable(server) {
			return Choice{Kind: Primary, Server: server.Name}
		}
	}

	return Choice{}
}
