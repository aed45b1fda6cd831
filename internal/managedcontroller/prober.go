package managedcontroller

import (
	"context"
	"errors"
	"syscall"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/managedproxy"
)

const (
	// probeRepeats is the number of further probes of a server without room, and probePause the pause before each. A
	// server works off its queue in about 0.1 s.
	probeRepeats = 5
	probePause   = 30 * time.Millisecond
)

// finding is what a probe of a server has shown.
type finding struct {
	answered bool
	// busy is true if the server answered that it has no room; nothing else is known then.
	busy    bool
	primary bool
	// term is the newest term that the server knows, or zero if it told nothing of itself.
	term position.Term
	// position is the last position that the server has received.
	position position.Position
	// fresh is true if the connection was opened for the probe.
	fresh   bool
	refused bool
	err     error
}

// prober asks backend servers for their state over one connection to each.
type prober struct {
	dial  managedproxy.Dialer
	conns map[string]managedproxy.Backend
}

func newProber(dial managedproxy.Dialer) *prober {
	return &prober{dial: dial, conns: make(map[string]managedproxy.Backend)}
}

// probe asks a server for its state, on a new connection if fresh is set or there is none.
func (p *prober) probe(server topology.Server, fresh bool) finding {
	deadline := time.Now().Add(probeTimeout)
	used := p.conns[server.ID]

	if used != nil && fresh {
		p.drop(server.ID)

		used = nil
	}

	seen := finding{fresh: used == nil}

	if used == nil {
		opened, err := p.dial(deadline, server)
		if err != nil {
			return seen.failed(err)
		}

		used = opened
		p.conns[server.ID] = opened
	}

	answers, err := used.Run(deadline, managedproxy.Command{Statement: managedproxy.Statement{Kind: managedproxy.Status}})
	if err != nil {
		p.drop(server.ID)

		return seen.failed(err)
	}

	return seen.read(answers[0])
}

func (r finding) failed(err error) finding {
	var outcome *managedproxy.OutcomeError

	r.err = err
	r.refused = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)

	if errors.As(err, &outcome) {
		// Another server at the address is a refusal; a server without room for a connection is alive.
		r.refused = outcome.Outcome == managedproxy.WrongServer
		r.answered = !r.refused
		r.busy = r.answered
	}

	return r
}

func (r finding) read(answer managedproxy.Answer) finding {
	r.answered = true

	if answer.Status == nil {
		r.busy = true
		r.err = answer.Err()

		return r
	}

	r.primary, r.term, r.position = answer.Status.Primary, answer.Status.Term, answer.Status.Received

	return r
}

// insist probes a server again while it has no room for the question, which may take a few tries under load.
func (p *prober) insist(ctx context.Context, server topology.Server) finding {
	seen := p.probe(server, true)

	for range probeRepeats {
		if !seen.busy || timer.Sleep(ctx, probePause) != nil {
			break
		}

		seen = p.probe(server, false)
	}

	return seen
}

// keep closes the connections to all but one server.
func (p *prober) keep(id string) {
	for other := range p.conns {
		if other != id {
			p.drop(other)
		}
	}
}

func (p *prober) drop(id string) {
	if used := p.conns[id]; used != nil {
		used.Close()
		delete(p.conns, id)
	}
}

func (p *prober) close() {
	p.keep("")
}
