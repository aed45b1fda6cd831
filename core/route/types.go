package route

import (
	"time"

	"almondgrade/core/position"
)

// failedTime is the time for which a server that failed a request is avoided.
const failedTime = time.Second

// Server is what is known of a backend server.
type Server struct {
	Name    string
	Centre  string
	Primary bool
	// Reachable is false if the server can't be used at present, Leaving is true if it gets no new work.
	Reachable bool
	Leaving   bool
	// At is the position that readers of the server see.
	At position.Position
	// Age is an upper bound for the age of its data at the time Seen.
	Age  time.Duration
	Seen time.Time
	// Running is the number of statements that run on it, Slots the number that it runs at once.
	Running int
	Slots   int
	// Failed is the time at which a request last failed to use the server.
	Failed time.Time
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
	// Wait is the time that the request may still wait for a replica.
	Wait time.Duration
	// Turn grows with each request, to spread reads over equal servers.
	Turn uint64
}

// Kind says what to do with a request.
type Kind uint8

// The kinds of choices.
const (
	// Nothing means that no server may serve the read now.
	Nothing Kind = iota
	// Replica means to run on a replica.
	Replica
	// Primary means to run on the primary.
	Primary
	// Wait means to wait until the time Choice.Wait has passed or something new is known, and to choose again.
	Wait
)

// String returns the word that messages use.
func (k Kind) String() string {
	return [...]string{"nothing", "replica", "primary", "wait"}[k]
}

// Choice is the answer to a request.
type Choice struct {
	Kind   Kind
	Server string
	Wait   time.Duration
}

// Policy chooses servers. Implementations have no state.
type Policy interface {
	Choose(request Request) Choice
}

// usable reports whether a server may get work at all.
func (r *Request) usable(server *Server) bool {
	return server.Reachable && !server.Leaving && (server.Failed.IsZero() || r.Now.Sub(server.Failed) >= failedTime)
}

// fresh reports whether a server's data satisfy the floor and the age. The primary's data are never old: what it shows
// is what there is.
func (r *Request) fresh(server *Server) bool {
	if server.Primary {
		return true
	}

	return r.History.Covers(server.At, r.Floor) && (r.MaxAge == 0 || r.age(server) <= r.MaxAge)
}

// age returns an upper bound for the age of a server's data now.
func (r *Request) age(server *Server) time.Duration {
	return server.Age + max(0, r.Now.Sub(server.Seen))
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
