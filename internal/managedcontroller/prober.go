package managedcontroller

import (
	"context"
	"errors"
	"syscall"
	"time"

	"almondgrade/core/lateness"
	"almondgrade/core/pairing"
	"almondgrade/core/position"
	"almondgrade/core/promotion"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/internal/managedproxy"
)

const (
	// busyRetries is the number of further probes of a busy server, and busyRetryDelay the delay before each. A server
	// empties its queue in about 0.1 s.
	busyRetries    = 5
	busyRetryDelay = 30 * time.Millisecond

	// latenessInterval is the interval of the timer that measures the lateness of this process. It costs 50 wake-ups a
	// second and shows delays of more than 40 ms, a tenth of probeTimeout.
	latenessInterval = 20 * time.Millisecond
	// maxProbeTimeout bounds a probe while this process is late. Three probes of it, 3 s for the leases of proxies and a
	// promotion fit into the 12 s within which a dead primary is replaced.
	maxProbeTimeout = 2 * time.Second
	// maxConcurrentProbes bounds the probes of primaries that run at once. If all primaries of 90 groups are dead, their
	// three probes of 0.4 s take 3.4 s.
	maxConcurrentProbes = 32
	// probeSpacing is the shortest mean time between the beginnings of probes of all groups: at 250 groups and more, each
	// primary is probed less often, down to once per maxProbeInterval.
	probeSpacing     = time.Millisecond
	maxProbeInterval = time.Second
)

// probeQueue bounds the probes that run at once and admits them in the order in which they were requested, so that each
// group has its turn.
type probeQueue struct {
	slots chan struct{}
	meter *lateness.Meter
}

func newProbeQueue(meter *lateness.Meter) *probeQueue {
	return &probeQueue{slots: make(chan struct{}, maxConcurrentProbes), meter: meter}
}

// enter waits for a slot. It returns false if the context ends first. Goroutines that wait to send on a channel are
// served in the order of their arrival.
func (q *probeQueue) enter(ctx context.Context) bool {
	select {
	case q.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (q *probeQueue) leave() {
	<-q.slots
}

// timeout returns the time limit of a probe, which is longer while this process is late.
func (q *probeQueue) timeout() time.Duration {
	return q.meter.Extend(time.Now(), probeTimeout, maxProbeTimeout)
}

// probeIntervalFor returns the time between the beginnings of two probes of a primary.
func probeIntervalFor(groups int) time.Duration {
	return min(maxProbeInterval, max(probeInterval, time.Duration(groups)*probeSpacing))
}

// probeResult is the outcome of a probe of a server.
type probeResult struct {
	answered bool
	// busy is true if the server answered that it has no capacity for the probe; nothing else is known then.
	busy    bool
	primary bool
	// term is the newest term that the server knows, or zero if it did not report its status.
	term position.Term
	// position is the last log position that the server has received.
	position position.Position
	// freshConn is true if the connection was opened for the probe.
	freshConn bool
	refused   bool
	// pausedFor is the term for which the server receives nothing, or zero.
	pausedFor position.Term
	// notPaused is true if a replica that knows the command did not confirm that it is paused.
	notPaused bool
	// unsupported is true if the server does not know the command.
	unsupported bool
	// ambiguous is true if the answer may be a repetition of an earlier one on the connection.
	ambiguous bool
	// unexpected is the number of answers that had arrived on a connection without a command and made the prober open a new one.
	unexpected int
	// inconclusive is true if no answer arrived in time, but this process was late and may have missed the answer.
	inconclusive bool
	err          error
}

// prober asks backend servers for their status over one connection to each.
//
// A server may repeat an answer, and nothing in an answer to STATUS tells which command it belongs to. A Backend reports an answer as
// ambiguous if it can't tell either. Decisions that can't be taken back use the first answer on a new connection, which no
// earlier one can precede. A connection is not used any longer once an answer has arrived on it without a command.
type prober struct {
	dial  managedproxy.Dialer
	queue *probeQueue
	conns map[string]managedproxy.Backend
}

func newProber(dial managedproxy.Dialer, queue *probeQueue) *prober {
	return &prober{dial: dial, queue: queue, conns: make(map[string]managedproxy.Backend)}
}

// probe asks a server for its status, on a new connection if fresh is set or none is open.
func (p *prober) probe(server topology.Server, fresh bool) probeResult {
	return p.send(server, managedproxy.Command{Statement: managedproxy.Statement{Kind: managedproxy.Status}}, fresh)
}

// send sends a command that a server answers with its status, like probe.
func (p *prober) send(server topology.Server, command managedproxy.Command, fresh bool) probeResult {
	began := time.Now()
	deadline := began.Add(p.queue.timeout())
	probed := p.ask(deadline, server, command, fresh)
	now := time.Now()
	// An error before the deadline comes from the network or the server, and not from this process.
	probed.inconclusive = !probed.answered && !probed.refused && !now.Before(deadline) && !p.queue.meter.Missed(began, now, probeTimeout)

	return probed
}

func (p *prober) ask(deadline time.Time, server topology.Server, command managedproxy.Command, fresh bool) probeResult {
	conn, unexpected := p.conns[server.ID], 0

	if conn != nil && (fresh || !conn.Alive()) {
		if !fresh {
			unexpected = conn.DropUnexpected(false)
		}

		p.closeConn(server.ID)

		conn = nil
	}

	probed := probeResult{freshConn: conn == nil, unexpected: unexpected}

	if conn == nil {
		opened, err := p.dial(deadline, server, "")
		if err != nil {
			return probed.withError(err)
		}

		conn = opened
		p.conns[server.ID] = opened
	}

	answers, err := conn.Run(deadline, command)
	if err != nil {
		p.closeConn(server.ID)

		return probed.withError(err)
	}

	probed = probed.withAnswer(answers[0])
	probed.unsupported = command.Kind != managedproxy.Status && answers[0].Status == nil &&
		(answers[0].Outcome == managedproxy.Done || answers[0].Outcome == managedproxy.OtherFailure)

	return probed
}

func (r probeResult) withError(err error) probeResult {
	var outcome *managedproxy.OutcomeError

	r.err = err
	r.refused = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)

	if errors.As(err, &outcome) {
		// Another server at the address counts as a refusal; a server without capacity for a connection is alive.
		r.refused = outcome.Outcome == managedproxy.WrongServer
		r.answered = !r.refused
		r.busy = r.answered
	}

	return r
}

func (r probeResult) withAnswer(answer managedproxy.Answer) probeResult {
	r.answered, r.ambiguous = true, answer.Verdict == pairing.Ambiguous

	if answer.Status == nil {
		r.busy = true
		r.err = answer.Err()

		return r
	}

	r.primary, r.term, r.position = answer.Status.Primary, answer.Status.Term, answer.Status.Received
	r.pausedFor = answer.Status.PausedFor

	return r
}

// candidate returns what a server that has reported its status contributes to the choice of a primary.
func (r probeResult) candidate(server topology.Server) promotion.Candidate {
	return promotion.Candidate{
		ID: server.ID, Term: r.term, Received: r.position, Leaving: server.Leaving, Primary: r.primary,
	}
}

// quiet reports whether a connection to a server is open on which nothing has arrived since its last answer.
func (p *prober) quiet(server string) bool {
	conn := p.conns[server]

	return conn != nil && conn.Alive()
}

// sendWithRetries sends a command and retries while the server is busy. Each attempt uses a new connection: on one with a refusal,
// the answer to the next attempt may be a repetition of the refusal, and that to the one after it an earlier status.
func (p *prober) sendWithRetries(ctx context.Context, server topology.Server, command managedproxy.Command) probeResult {
	probed := p.send(server, command, true)

	for range busyRetries {
		if !probed.busy || probed.unsupported || timer.Sleep(ctx, busyRetryDelay) != nil {
			break
		}

		probed = p.send(server, command, true)
	}

	return probed
}

// closeOthers closes the connections to all servers but the given one.
func (p *prober) closeOthers(id string) {
	for other := range p.conns {
		if other != id {
			p.closeConn(other)
		}
	}
}

func (p *prober) closeConn(id string) {
	if conn := p.conns[id]; conn != nil {
		conn.Close()
		delete(p.conns, id)
	}
}

func (p *prober) close() {
	p.closeOthers("")
}
