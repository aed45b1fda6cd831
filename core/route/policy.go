package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// remotePenalty is the load by which a server in another data centre must be better than one in the caller's.
	remotePenalty = 0.5
	// failedServersWait is how long a request waits when only servers are left that failed a moment ago.
	failedServersWait = failedServerAvoidance / 50
	// minReplicaWait is the least time to wait for a replica.
	minReplicaWait = time.Millisecond
)

// PolicyNames returns the names of the policies.
func PolicyNames() []string {
	return []string{"fresh", "primary", "turn"}
}

// NewPolicy returns a policy by its name.
func NewPolicy(name string) (Policy, error) {
	switch name {
	case "fresh":
		return FreshPolicy(), nil
	case "primary":
		return primaryOnly{}, nil
	case "turn":
		return roundRobin{}, nil
	default:
		return nil, fmt.Errorf("routing policy %q is unknown; want one of %s", name, strings.Join(PolicyNames(), ", "))
	}
}

// FreshPolicy returns the policy "fresh".
func FreshPolicy() Policy {
	return fresh{}
}

// fresh prefers replicas.
type fresh struct{}

// Choose implements Policy.
func (fresh) Choose(request Request) Choice {
	best, least := -1, 0.0

	for offset := range request.Servers {
		// Beginning elsewhere each time spreads reads over equal servers.
		i := int((uint64(offset) + request.Rotation) % uint64(len(request.Servers)))

		server := &request.Servers[i]
		if server.Primary || !request.usable(server) || !request.freshEnough(server) {
			continue
		}

		if load := request.load(server); best < 0 || load < least {
			best, least = i, load
		}
	}

	if best >= 0 {
		return Choice{Kind: Replica, Server: request.Servers[best].Name}
	}

	if wait := request.replicaWait(); wait > 0 {
		return Choice{Kind: Wait, Wait: wait}
	}

	if choice := request.primary(); choice.Kind == Primary {
		return choice
	}

	if request.MaxWait > 0 {
		return Choice{Kind: Wait, Wait: min(request.MaxWait, failedServersWait)}
	}

	return Choice{}
}

// load returns the running statements for each slot, with a penalty for the distance.
func (r *Request) load(server *Server) float64 {
	load := float64(server.RunningStatements) / float64(max(1, server.Slots))
	if server.Centre != r.Centre {
		load += remotePenalty
	}

	return load
}

// replicaWait returns how long to wait for a replica, or zero if none should cover the floor in the time that is left. A
// replica is expected to reach what it lacks within the age of its data, because that is how far it is behind. A replica
// whose data are too old for the request is not waited for: it doesn't get younger by waiting.
func (r *Request) replicaWait() (wait time.Duration) {
	for i := range r.Servers {
		server := &r.Servers[i]
		if server.Primary || !r.usable(server) || r.History.Covers(server.Position, r.Floor) {
			continue
		}

		// The least wait keeps a replica that is behind by nearly nothing from being asked in a busy loop.
		if needed := max(server.DataAge, minReplicaWait); needed <= r.MaxWait && (wait == 0 || needed < wait) {
			wait = needed
		}
	}

	return wait
}

// primaryOnly sends all reads to the primary.
type primaryOnly struct{}

// Choose implements Policy.
func (primaryOnly) Choose(request Request) Choice {
	return request.primary()
}

// roundRobin takes the permitted servers in turn.
type roundRobin struct{}

// Choose implements Policy.
func (roundRobin) Choose(request Request) Choice {
	var permitted []*Server

	for i := range request.Servers {
		if server := &request.Servers[i]; request.usable(server) && request.freshEnough(server) {
			permitted = append(permitted, server)
		}
	}

	if len(permitted) == 0 {
		return Choice{}
	}

	slices.SortFunc(permitted, func(a, b *Server) int { return strings.Compare(a.Name, b.Name) })

	chosen := permitted[request.Rotation%uint64(len(permitted))]
	if chosen.Primary {
		return Choice{Kind: Primary, Server: chosen.Name}
	}

	return Choice{Kind: Replica, Server: chosen.Name}
}
