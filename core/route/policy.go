package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// remotePenalty is the load, in running statements per slot, that is added to servers in another data centre than
	// the caller's.
	remotePenalty = 0.5
	// failedServersWait is the time for which a request waits if only servers that failed recently are left.
	failedServersWait = failedServerAvoidance / 50
	// minReplicaWait is the minimum time to wait for a replica.
	minReplicaWait = time.Millisecond
)

// PolicyNames returns the names of the policies.
func PolicyNames() []string {
	return []string{"fresh", "primary", "turn"}
}

// NewPolicy returns the policy with the given name.
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

// fresh prefers replicas with the lowest load.
type fresh struct{}

// Choose implements Policy.
func (fresh) Choose(request Request) Choice {
	best, lowestLoad := -1, 0.0
	shortest := request.shortestLatency()

	for offset := range request.Servers {
		// A different starting point for each request spreads reads over equally loaded servers.
		i := int((uint64(offset) + request.Rotation) % uint64(len(request.Servers)))

		server := &request.Servers[i]
		if server.Primary || !request.usable(server) || !request.freshEnough(server) {
			continue
		}

		if load := request.expectedTime(server, shortest); best < 0 || load < lowestLoad {
			best, lowestLoad = i, load
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

// load returns the running statements per slot, plus a penalty if the server is in another data centre.
func (r *Request) load(server *Server) float64 {
	load := float64(server.RunningStatements) / float64(max(1, server.Slots))
	if server.Centre != r.Centre {
		load += remotePenalty
	}

	return load
}

// shortestLatency returns the shortest expected latency, or zero if that of a server is not known.
func (r *Request) shortestLatency() time.Duration {
	var shortest time.Duration

	for i := range r.Servers {
		latency := r.Servers[i].ExpectedLatency
		if latency <= 0 {
			return 0
		}

		if shortest == 0 || latency < shortest {
			shortest = latency
		}
	}

	return shortest
}

// expectedTime returns the time in which the server is expected to answer, or its load if the latency of a server is not
// known. Among servers with equal latencies it orders as the load does.
func (r *Request) expectedTime(server *Server, shortest time.Duration) float64 {
	if shortest == 0 {
		return r.load(server)
	}

	sharers := float64(max(1, server.Sharers))
	expected := float64(server.ExpectedLatency) * (1 + sharers*float64(server.RunningStatements)/float64(max(1, server.Slots)))

	if server.Centre != r.Centre {
		expected += float64(shortest) * sharers * remotePenalty
	}

	return expected
}

// replicaWait returns how long to wait for a replica, or zero if none is expected to cover the floor in the time that
// is left. A replica is expected to apply what it lacks within the age of its data, because that is how far it is
// behind. A replica can be worth the wait only if it lacks the floor: data that is too old for MaxAge does not get
// younger by waiting.
func (r *Request) replicaWait() (wait time.Duration) {
	for i := range r.Servers {
		server := &r.Servers[i]
		if server.Primary || !r.usable(server) || r.History.Covers(server.Position, r.Floor) {
			continue
		}

		// Without the minimum, a replica that is almost up to date would be polled in a busy loop.
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

// roundRobin takes the allowed servers in turn.
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
