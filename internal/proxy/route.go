package proxy

import (
	"time"

	"almondgrade/core/position"
	"almondgrade/core/registry"
)

// Router chooses the backend server for a read. It has no effects of its own.
type Router interface {
	Read(request ReadRequest) ReadChoice
}

// ReadRequest is what a choice depends on.
type ReadRequest struct {
	View         *registry.View
	Group        *registry.Group
	Observations []Observation
	// Floor is the position that the server must cover. MaxAge bounds the age of its data, if it is not zero.
	Floor  position.Position
	MaxAge time.Duration
	Now    time.Time
	// Wait is how long the request may still wait for a replica.
	Wait time.Duration
	// Avoid reports whether a server failed this request before, Load how many statements of this proxy run on it.
	Avoid func(server string) bool
	Load  func(server string) int64
	// Turn is a number that grows with each request, to spread reads over equal servers.
	Turn uint64
}

// ReadChoice is the result of a choice.
type ReadChoice struct {
	// Server is the chosen server, or empty if no replica serves the read now.
	Server string
	// Primary is true if the server is the primary.
	Primary bool
	// Wait is true if a replica is expected to serve the read within the time that the request may wait.
	Wait bool
}

// leastLoaded is the Router that takes the replica with the fewest running statements.
type leastLoaded struct{}

// Read implements Router.
func (leastLoaded) Read(request ReadRequest) ReadChoice {
	var (
		choice ReadChoice
		least  int64
	)

	count := len(request.Observations)

	for i := range request.Observations {
		// Beginning elsewhere each time spreads reads over replicas with equal load.
		seen := &request.Observations[(i+int(request.Turn%uint64(count)))%count]
		if !usable(&request, seen) {
			continue
		}

		age := seen.Age + request.Now.Sub(seen.At)
		if !request.Group.History.Covers(seen.Replayed, request.Floor) || request.MaxAge > 0 && age > request.MaxAge {
			// A replica whose data was that young is close to the floor.
			choice.Wait = choice.Wait || request.Wait > 0 && seen.Age <= request.Wait

			continue
		}

		if load := request.Load(seen.Server); choice.Server == "" || load < least {
			choice.Server, least = seen.Server, load
		}
	}

	if choice.Server != "" {
		choice.Wait = false
	}

	if choice.Server == "" && !choice.Wait {
		return ReadChoice{Server: request.Group.Primary, Primary: true}
	}

	return choice
}

// usable reports whether a server is a replica of the group's term that may get new work.
func usable(request *ReadRequest, seen *Observation) bool {
	server, known := request.View.Servers[seen.Server]

	return known && seen.Reachable && seen.Server != request.Group.Primary && server.Group == request.Group.Name &&
		!server.Leaving && seen.Replayed.Term >= request.Group.Term && !request.Avoid(seen.Server)
}
