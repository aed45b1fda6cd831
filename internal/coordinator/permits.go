package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"almondgrade/core/permit"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/timer"
)

const (
	// reservedConnections are kept for the monitor connection and one administrative connection.
	reservedConnections = 2
	// urgentShare is the part of a server's connections that only urgent requests get, as a divisor.
	urgentShare = 10
	// waitingRequests bounds the requests that wait for each kind of permit of a server, in each class.
	waitingRequests = 1024
	// recallInterval is the least time between two recalls of the same kind of permit.
	recallInterval = 2 * time.Millisecond
	// repeatInterval is the time after which a recall is repeated while requests still wait.
	repeatInterval = 50 * time.Millisecond
	// countInterval is the time between counts of a server's connections when nothing depends on them.
	countInterval = 5 * time.Second
	// goneTimeout is the time after which the connections of a gone proxy are terminated although nobody waits.
	goneTimeout = 10 * time.Second
)

// permits holds a broker for each server of the group.
type permits struct {
	owner   *Coordinator
	mutex   sync.Mutex
	brokers map[string]*broker
	// known are the names of proxies that were in a view.
	known  map[string]struct{}
	live   map[string]struct{}
	closed bool
}

type broker struct {
	*permit.Broker
	waiting  map[permit.Grant]chan permit.Answer
	recalled [2]time.Time
	repeat   timer.StopFunc
	counted  time.Time
	// gone holds when each gone holder was first seen to count.
	gone map[permit.Holder]time.Time
}

func (p *permits) init(owner *Coordinator) {
	p.owner = owner
	p.brokers = make(map[string]*broker)
	p.known = make(map[string]struct{})
}

// Acquire waits for a permit of a server. The context bounds the wait.
func (c *Coordinator) Acquire(ctx context.Context, server string, request permit.Request) permit.Answer {
	answer := c.permits.acquire(ctx, server, request)
	if answer.Code != result.OK {
		metrics.GetOrRegisterCounter("permit_refused_"+answer.Code.Describe().Name, c.options.Metrics).Inc(1)
	}

	return answer
}

// Release returns permits and withdraws requests.
func (c *Coordinator) Release(holder permit.Holder, numbers ...uint64) {
	c.permits.mutex.Lock()
	defer c.permits.mutex.Unlock()

	now := c.options.Timer.Now()

	for _, broker := range c.permits.brokers {
		broker.deliver(broker.Release(now, holder, numbers...))
	}
}

// Hold takes a holder's report of its permits by server. It returns the number of requests that wait. It is false if
// the holder is not in the view yet.
func (c *Coordinator) Hold(report permit.Report, held map[string][]permit.Held) (int, bool) {
	c.permits.mutex.Lock()
	defer c.permits.mutex.Unlock()

	now := c.options.Timer.Now()
	waiting, accepted := 0, true

	for name, broker := range c.permits.brokers {
		report.Held = held[name]

		answers, known := broker.Hold(now, report)
		broker.deliver(answers)

		accepted = accepted && known
		waiting += broker.Waiting(permit.Connection) + broker.Waiting(permit.Slot)
	}

	return waiting, accepted
}

// Ready reports whether the coordinator knows the permits of a server that are held, and grants others.
func (c *Coordinator) Ready(server string) bool {
	c.permits.mutex.Lock()
	defer c.permits.mutex.Unlock()

	broker, found := c.permits.brokers[server]

	return found && broker.Collected()
}

func (p *permits) acquire(ctx context.Context, server string, request permit.Request) permit.Answer {
	refuse := func(code result.Code, reason string) permit.Answer {
		return permit.Answer{Grant: request.Grant, Code: code, Reason: reason}
	}

	if !p.owner.options.Confirmed() {
		return refuse(result.Unconfirmed, "the coordinator can't confirm its configuration")
	}

	answered, answer := p.ask(server, request)
	if answered == nil {
		return answer
	}

	select {
	case answer := <-answered:
		return answer
	case <-p.owner.context.Done():
		return refuse(result.OutdatedEpoch, "the coordinator changed")
	case <-ctx.Done():
		p.withdraw(server, request, answered)

		code := result.DeadlinePassed
		if request.Kind == permit.Connection {
			code = result.NoPermit
		}

		return refuse(code, "no "+request.Kind.String()+" permit became free in time")
	}
}

// ask puts a request to the broker. The channel is nil if the answer is there already.
func (p *permits) ask(server string, request permit.Request) (chan permit.Answer, permit.Answer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	broker, found := p.brokers[server]
	if !found || p.closed {
		return nil, permit.Answer{Grant: request.Grant, Code: result.NotFound, Reason: "server " + server + " is unknown"}
	}

	now := p.owner.options.Timer.Now()
	answered := make(chan permit.Answer, 1)
	broker.waiting[request.Grant] = answered
	broker.deliver(broker.Acquire(now, request))

	select {
	case answer := <-answered:
		return nil, answer
	default:
	}

	p.recall(now, server, broker, request.Kind)

	return answered, permit.Answer{}
}

// withdraw ends a wait. A permit that was granted meanwhile returns.
func (p *permits) withdraw(server string, request permit.Request, answered chan permit.Answer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	broker, found := p.brokers[server]
	if !found {
		return
	}

	if present, waits := broker.waiting[request.Grant]; waits && present != answered {
		return // A repeated request waits with the same number.
	}

	delete(broker.waiting, request.Grant)
	broker.deliver(broker.Release(p.owner.options.Timer.Now(), request.Holder, request.Number))
}

// recall asks the holders for idle permits while requests wait. The mutex is held.
func (p *permits) recall(now time.Time, server string, broker *broker, kind permit.Kind) {
	count := broker.Waiting(kind)
	if count == 0 || p.closed || p.owner.options.Recall == nil || p.brokers[server] != broker {
		return
	}

	delay := repeatInterval

	if since := now.Sub(broker.recalled[kind]); since >= recallInterval {
		broker.recalled[kind] = now

		for _, holder := range broker.Holders(kind) {
			p.owner.options.Recall(holder, server, kind, count)
		}
	} else {
		delay = recallInterval - since
	}

	if broker.repeat != nil {
		return
	}

	broker.repeat = p.owner.options.Timer.After(delay, func(now time.Time) {
		p.mutex.Lock()
		defer p.mutex.Unlock()

		broker.repeat = nil

		broker.deliver(broker.Expire(now))
		p.recall(now, server, broker, permit.Connection)
		p.recall(now, server, broker, permit.Slot)
	})
}

// update takes over the servers, limits and proxies of a view.
func (p *permits) update(view *registry.View, state *state) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.owner.options.Timer.Now()
	holders := make([]permit.Holder, 0, len(view.Proxies))
	p.live = make(map[string]struct{}, len(view.Proxies))

	for name, proxy := range view.Proxies {
		holders = append(holders, permit.Holder{Proxy: name, Instance: proxy.Instance})
		p.known[name] = struct{}{}
		p.live[name] = struct{}{}
	}

	for name, present := range p.brokers {
		if _, found := state.servers[name]; !found {
			present.deliver(present.Close())
			delete(p.brokers, name)
		}
	}

	for name, server := range state.servers {
		limits := permit.Limits{Connections: server.Connections, Slots: server.Slots, Reserve: reservedConnections,
			Urgent: server.Connections / urgentShare,
			Queue:  waitingRequests}

		present, found := p.brokers[name]
		if !found {
			present = &broker{
				Broker:  permit.New(limits, now, state.timing.Lease.Or(defaultLease)),
				waiting: make(map[permit.Grant]chan permit.Answer),
				gone:    make(map[permit.Holder]time.Time),
			}
			p.brokers[name] = present
		}

		present.deliver(present.Limit(now, limits))
		present.deliver(present.Live(now, holders))
	}
}

func (p *permits) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closed = true

	for _, broker := range p.brokers {
		broker.deliver(broker.Close())
	}
}

// count asks a server for its connections when the broker needs to know, and terminates those of proxies that are
// gone.
func (p *permits) count(ctx context.Context, state *state, member *member) {
	broker, needed := p.needsCount(member.name)
	if !needed {
		return
	}

	var shown map[string]int

	asked := p.owner.options.Timer.Now()

	err := member.use(ctx, func(ctx context.Context, conn Admin) (err error) {
		shown, err = conn.Connections(ctx)

		return err
	})
	if err != nil {
		return
	}

	for _, prefix := range p.counted(broker, asked, shown) {
		p.owner.options.Logger.Info("terminating connections of a proxy that is gone", "server", member.name,
			"application", prefix)

		err := member.use(ctx, func(ctx context.Context, conn Admin) error { return conn.Terminate(ctx, prefix) })
		if err != nil {
			p.owner.options.Logger.Warn("connections of a gone proxy could not be terminated", "group",
				state.group.Name, "server", member.name, "error", err)
		}
	}
}

func (p *permits) needsCount(server string) (*broker, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	broker, found := p.brokers[server]
	if !found || p.closed {
		return nil, false
	}

	now := p.owner.options.Timer.Now()

	return broker, !broker.Collected() || len(broker.Gone()) > 0 || now.Sub(broker.counted) >= countInterval
}

// counted gives the server's answer to the broker and returns the application names to terminate, as prefixes.
func (p *permits) counted(broker *broker, asked time.Time, shown map[string]int) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.owner.options.Timer.Now()
	broker.counted = now
	counts := make(map[permit.Holder]int)

	for application, count := range shown {
		holder, permitted := holderOf(application)
		if _, known := p.known[holder.Proxy]; permitted && (known || holder.Instance != 0) {
			counts[holder] += count
		}
	}

	broker.deliver(broker.Counted(now, asked, counts))

	gone := make(map[permit.Holder]time.Time)

	var prefixes []string

	for _, holder := range broker.Gone() {
		since, seen := broker.gone[holder]
		if !seen {
			since = now
		}

		gone[holder] = since
		wanted := broker.Waiting(permit.Connection)+broker.Waiting(permit.Slot) > 0

		if counts[holder] == 0 || !wanted && now.Sub(since) < goneTimeout {
			continue
		}

		if prefix, certain := p.prefix(holder); certain {
			prefixes = append(prefixes, prefix)
		}
	}

	broker.gone = gone

	return prefixes
}

// prefix returns the beginning of the application names of a gone holder's connections. It is not certain if a live
// process may use the same names.
func (p *permits) prefix(holder permit.Holder) (string, bool) {
	if holder.Instance != 0 {
		return Application(holder.Proxy, holder.Instance, ""), true
	}

	_, live := p.live[holder.Proxy]

	return applicationPrefix + "/" + holder.Proxy + "/", !live
}

func (b *broker) deliver(answers []permit.Answer) {
	for _, answer := range answers {
		if waiting, found := b.waiting[answer.Grant]; found {
			delete(b.waiting, answer.Grant)

			waiting <- answer
		}
	}
}
