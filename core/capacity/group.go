package capacity

import (
	"slices"
	"time"
)

const (
	// referenceSamples is the number of answers over which the reference of a kind is averaged. Costs within a kind vary
	// by a factor of ten, so that the mean of 128 answers varies by about 6 %.
	referenceSamples = 128
	// unfitSamples is the weight that a reference has at most while it is known from crowded or slow servers only.
	unfitSamples = 32
	// minReferenceSamples is the number of answers before which a reference is not used.
	minReferenceSamples = 32
	// maxKinds bounds the kinds of a group. There are a few pools with three operations each.
	maxKinds = 256
)

// Operation is what a statement does.
type Operation uint8

// The operations.
const (
	Read Operation = iota
	Write
	Commit
)

// Kind identifies statements of similar cost.
type Kind struct {
	Pool      string
	Operation Operation
	// Setup is true if commands that set up the connection are sent with the statement.
	Setup bool
}

// reference is the mean time of the answers to statements of one kind from servers that were not crowded.
type reference struct {
	mean    time.Duration
	samples int
}

// Group holds what the servers of a group have in common.
type Group struct {
	references map[Kind]*reference
	servers    []*Server
}

// NewGroup returns a group without servers.
func NewGroup() *Group {
	return &Group{references: make(map[Kind]*reference)}
}

// NewServer adds a server to the group.
func (g *Group) NewServer() *Server {
	created := &Server{group: g, base: 1, slowness: 1}
	g.servers = append(g.servers, created)

	return created
}

// Remove removes a server from the group.
func (g *Group) Remove(removed *Server) {
	g.servers = slices.DeleteFunc(g.servers, func(server *Server) bool { return server == removed })
}

// reference returns the reference of the kind, and updates it unless the server was unfit, crowded or slower than others.
// It returns zero while the reference is not known well enough.
func (g *Group) reference(kind Kind, latency time.Duration, unfit bool) time.Duration {
	known := g.references[kind]
	if known == nil {
		if len(g.references) >= maxKinds {
			return 0
		}

		known = &reference{mean: max(latency, time.Microsecond)}
		g.references[kind] = known
	}

	current := max(known.mean, time.Microsecond)
	if known.samples < minReferenceSamples {
		current = 0
	}

	switch {
	case !unfit:
		known.samples = min(known.samples+1, referenceSamples)
	case known.samples < unfitSamples:
		known.samples++
	default:
		return current
	}

	known.mean += (latency - known.mean) / time.Duration(known.samples)

	return current
}

// Expected returns the time that an answer of the kind takes at a server of normal speed that is not crowded, or zero
// if it is not known.
func (g *Group) Expected(kind Kind) time.Duration {
	if known := g.references[kind]; known != nil {
		return known.mean
	}

	return 0
}

// medianBase returns the median of the base times of the servers other than the given one, or zero if none is known.
func (g *Group) medianBase(except *Server) float64 {
	var buffer [8]float64

	known := buffer[:0]

	for _, server := range g.servers {
		if server != except && server.baseSamples >= minBaseSamples {
			known = append(known, server.base)
		}
	}

	if len(known) == 0 {
		return 0
	}

	slices.Sort(known)

	return known[(len(known)-1)/2]
}
