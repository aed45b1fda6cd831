package route

import (
	"time"

	"almondgrade/core/position"
)

// failedServerAvoidance is the time for which a server that failed a request is avoided.
const failedServerAvoidance = time.Second

// Server is what is known of a backend server.
type Server struct {
	Name    string
	Centre  string
	Primary bool
	// Reachable is false if the server can't be used at present, Leaving is true if it gets no new work.
	Reachable bool
	Leaving   bool
	// Position is the position that readers of the server see.
	Position position.Position
	// DataAge is an upper bound for the age of its data at the time Seen.
	DataAge    time.Duration
	ObservedAt time.Time
	// RunningStatements is the number of statements that run on it, Slots the number that it runs at once.
	RunningStatements int
	Slots             int
	// FailedAt is the time at which a request last failed to use the server.
	FailedAt time.Time
}

// Request is a read that needs a server.
type Request struct {
	Now time.Time
	// Floor is the position that the read must cover, by the history of the group.
	Floor   position.Position
	History position.History
	// MaxAge bounds the age of the data. Zero is no bound.
	MaxAge time.Duration
	// Centre is the data centre of the caller's proxy.
	Centre  string
	Servers []Server
	// MaxWait is the time that the request may still wait for a replica.
	MaxWait time.Duration
	// Rotation grows with each request, to spread reads over equal servers.
	Rotation uint64
}

// ChoiceKind says what to do with a request.
type ChoiceKind uint8

// The kinds of choices.
const (
	// Nothing means that no server may serve the read now.
	Nothing ChoiceKind = iota
	// Replica means to run on a replica.
	Replica
	// Primary means to run on the primary.
	Primary
	// Wait means to wait until the time Choice.Wait has passed or something new is known, and to choose again.
	Wait
)

// String returns the word that messages use.
func (k ChoiceKind) String() string {
	return [...]string{"nothing", "replica", "primary", "wait"}[k]
}

// Choice is the answer to a request.
type Choice struct {
	Kind   ChoiceKind
	Server string
	Wait   time.Duration
}

// Policy chooses servers. Implementations have no state.
type Policy interface {
	Choose(request Request) Choice
}

// usable reports whether a server may get work at all.
func (r *Request) usable(server *Server) bool {
	return server.Reachable && !server.Leaving && (server.FailedAt.IsZero() || r.Now.Sub(server.FailedAt) >= failedServerAvoidance)
}

// freshEnough reports whether a server's data satisfy the floor and the age. The primary's data are never old: what it shows
// is what there is.
func (r *Request) freshEnough(server *Server) bool {
	if server.Primary {
		return true
	}

	return r.History.Covers(server.Position, r.Floor) && (r.MaxAge == 0 || r.dataAge(server) <= r.MaxAge)
}

// dataAge returns an upper bound for the age of a server's data now.
func (r *Request) dataAge(server *Server) time.Duration {
	return server.DataAge + max(0, r.Now.Sub(server.ObservedAt))
}

// primary returns the choice of the primary, if it may be used.
func (r *Request) primary() Choice {
	for i := range r.Servers {
		if server := &r.Servers[i]; server.Primary && r.usable(server) {
			return Choice{Kind: Primary, Server: server.Name}
		}
	}

	return Choice{}
}
