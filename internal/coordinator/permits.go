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
	// reservedConnections is the number of connections kept for the monitor and one administrative connection.
	reservedConnections = 2
	// urgentShareDivisor divides a server's connections to give the number that only urgent requests get.
	urgentShareDivisor = 10
	// maxWaitingRequests bounds the requests that wait for one kind of permit of a server, separately in each class.
	maxWaitingRequests = 1024
	// minRecallInterval is the shortest time between two recalls of the same kind of permit.
	minRecallInterval = 2 * time.Millisecond
	// recallRepeatInterval is the time after which a recall is repeated while requests still wait.
	recallRepeatInterval = 50 * time.Millisecond
	// idleCountInterval is the time between counts of a server's connections while nothing waits for a count.
	idleCountInterval = 5 * time.Second
	// goneProxyTimeout is the time after which the connections of a gone proxy are terminated even if no request waits.
	goneProxyTimeout = 10 * time.Second
)

// permits holds a broker for each server of the group.
type permits struct {
	owner   *Coordinator
	mutex   sync.Mutex
	brokers map[string]*broker
	// knownProxies holds the names of all proxies that were ever in a view, liveProxies those in the latest one.
	knownProxies map[string]struct{}
	liveProxies  map[string]struct{}
	closed       bool
}

type broker struct {
	*permit.Broker
	waiting     map[permit.ID]chan permit.Answer
	recalledAt  [2]time.Time
	repeatTimer timer.StopFunc
	countedAt   time.Time
	// goneSince holds the time at which each holder was first found gone.
	goneSince map[permit.Holder]time.Time
}

func (p *permits) init(owner *Coordinator) {
	p.owner = owner
	p.brokers = make(map[string]*broker)
	p.knownProxies = make(map[string]struct{})
}

// Acquire waits for a permit of a server. The context bounds the wait.
func (c *Coordinator) Acquire(ctx context.Context, server string, request permit.Request) permit.Answer {
	answer := c.permits.acquire(ctx, server, request)
	if answer.Code != result.OK {
		metrics.GetOrRegisterCounter("permit_refused_"+answer.Code.Describe().Name, c.options.Metrics).Inc(1)
	}

	return answer
}

// Release returns permits of a holder and withdraws its waiting requests with these numbers.
func (c *Coordinator) Release(holder permit.Holder, numbers ...uint64) {
	c.permits.mutex.Lock()
	defer c.permits.mutex.Unlock()

	now := c.options.Timer.Now()

	for _, broker := range c.permits.brokers {
		broker.deliverAnswers(broker.Release(now, holder, numbers...))
	}
}

// ReportHeld records a holder's report of the permits that it holds on each server. It returns the number of waiting
// requests, and false if the holder is not in the view yet.
func (c *Coordinator) ReportHeld(report permit.Report, held map[string][]permit.HeldPermit) (int, bool) {
	c.permits.mutex.Lock()
	defer c.permits.mutex.Unlock()

	now := c.options.Timer.Now()
	waiting, accepted := 0, true

	for name, broker := range c.permits.brokers {
		report.Held = held[name]

		answers, known := broker.HandleReport(now, report)
		broker.deliverAnswers(answers)

		accepted = accepted && known
		waiting += broker.WaitingCount(permit.Connection) + broker.WaitingCount(permit.Slot)
	}

	return waiting, accepted
}

// GrantsPermits reports whether the coordinator knows which permits of a server are held, so that it grants further ones.
func (c *Coordinator) GrantsPermits(server string) bool {
	c.permits.mutex.Lock()
	defer c.permits.mutex.Unlock()

	broker, found := c.permits.brokers[server]

	return found && broker.Collected()
}

func (p *permits) acquire(ctx context.Context, server string, request permit.Request) permit.Answer {
	refuse := func(code result.Code, reason string) permit.Answer {
		return permit.Answer{ID: request.ID, Code: code, Reason: reason}
	}

	if !p.owner.options.Confirmed() {
		return refuse(result.Unconfirmed, "the coordinator holds no configuration lease")
	}

	answered, answer := p.submit(server, request)
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

// submit passes a request to the broker. The channel is nil if the broker answered at once.
func (p *permits) submit(server string, request permit.Request) (chan permit.Answer, permit.Answer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	broker, found := p.brokers[server]
	if !found || p.closed {
		return nil, permit.Answer{ID: request.ID, Code: result.NotFound, Reason: "server " + server + " is unknown"}
	}

	now := p.owner.options.Timer.Now()
	answered := make(chan permit.Answer, 1)
	broker.waiting[request.ID] = answered
	broker.deliverAnswers(broker.Acquire(now, request))

	select {
	case answer := <-answered:
		return nil, answer
	default:
	}

	p.recallPermits(now, server, broker, request.Kind)

	return answered, permit.Answer{}
}

// withdraw removes a waiting request. A permit that was granted meanwhile is released.
func (p *permits) withdraw(server string, request permit.Request, answered chan permit.Answer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	broker, found := p.brokers[server]
	if !found {
		return
	}

	if present, waits := broker.waiting[request.ID]; waits && present != answered {
		return // A repeated request with the same number waits now.
	}

	delete(broker.waiting, request.ID)
	broker.deliverAnswers(broker.Release(p.owner.options.Timer.Now(), request.Holder, request.Number))
}

// recallPermits asks the holders to return idle permits while requests wait. The mutex is held.
func (p *permits) recallPermits(now time.Time, server string, broker *broker, kind permit.Kind) {
	count := broker.WaitingCount(kind)
	if count == 0 || p.closed || p.owner.options.Recall == nil || p.brokers[server] != broker {
		return
	}

	delay := recallRepeatInterval

	if since := now.Sub(broker.recalledAt[kind]); since >= minRecallInterval {
		broker.recalledAt[kind] = now

		for _, holder := range broker.LiveHolders(kind) {
			p.owner.options.Recall(holder, server, kind, count)
		}
	} else {
		delay = minRecallInterval - since
	}

	if broker.repeatTimer != nil {
		return
	}

	broker.repeatTimer = p.owner.options.Timer.After(delay, func(now time.Time) {
		p.mutex.Lock()
		defer p.mutex.Unlock()

		broker.repeatTimer = nil

		broker.deliverAnswers(broker.ExpireRequests(now))
		p.recallPermits(now, server, broker, permit.Connection)
		p.recallPermits(now, server, broker, permit.Slot)
	})
}

// update applies the servers, limits and proxies of a view.
func (p *permits) update(view *registry.View, state *groupState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.owner.options.Timer.Now()
	holders := make([]permit.Holder, 0, len(view.Proxies))
	p.liveProxies = make(map[string]struct{}, len(view.Proxies))

	for name, proxy := range view.Proxies {
		holders = append(holders, permit.Holder{Proxy: name, Instance: proxy.Instance})
		p.knownProxies[name] = struct{}{}
		p.liveProxies[name] = struct{}{}
	}

	for name, present := range p.brokers {
		if _, found := state.servers[name]; !found {
			present.deliverAnswers(present.Close())
			delete(p.brokers, name)
		}
	}

	for name, server := range state.servers {
		limits := permit.Limits{Connections: server.Connections, Slots: server.Slots, AdminReserve: reservedConnections,
			UrgentReserve: server.Connections / urgentShareDivisor,
			MaxWaiting:    maxWaitingRequests}

		present, found := p.brokers[name]
		if !found {
			present = &broker{
				Broker:    permit.New(limits, now, state.timing.Lease.Or(defaultLeaseDuration)),
				waiting:   make(map[permit.ID]chan permit.Answer),
				goneSince: make(map[permit.Holder]time.Time),
			}
			p.brokers[name] = present
		}

		present.deliverAnswers(present.SetLimits(now, limits))
		present.deliverAnswers(present.SetLiveHolders(now, holders))
	}
}

func (p *permits) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closed = true

	for _, broker := range p.brokers {
		broker.deliverAnswers(broker.Close())
	}
}

// countConnections counts the open connections of a server if the broker needs the count, and terminates those of gone
// proxies.
func (p *permits) countConnections(ctx context.Context, state *groupState, member *member) {
	broker, needed := p.needsCount(member.name)
	if !needed {
		return
	}

	var shown map[string]int

	askedAt := p.owner.options.Timer.Now()

	err := member.runQuery(ctx, func(ctx context.Context, conn Admin) (err error) {
		shown, err = conn.Connections(ctx)

		return err
	})
	if err != nil {
		return
	}

	for _, prefix := range p.recordCounts(broker, askedAt, shown) {
		p.owner.options.Logger.Info("terminating connections of a gone proxy", "server", member.name,
			"application", prefix)

		err := member.runQuery(ctx, func(ctx context.Context, conn Admin) error { return conn.Terminate(ctx, prefix) })
		if err != nil {
			p.owner.options.Logger.Warn("terminating connections of a gone proxy failed; their permits stay in use", "group",
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

	return broker, !broker.Collected() || len(broker.GoneHolders()) > 0 || now.Sub(broker.countedAt) >= idleCountInterval
}

// recordCounts passes the server's counts to the broker and returns prefixes of the application names of the connections
// to terminate.
func (p *permits) recordCounts(broker *broker, askedAt time.Time, shown map[string]int) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.owner.options.Timer.Now()
	broker.countedAt = now
	counts := make(map[permit.Holder]int)

	for application, count := range shown {
		holder, permitted := holderOf(application)
		if _, known := p.knownProxies[holder.Proxy]; permitted && (known || holder.Instance != 0) {
			counts[holder] += count
		}
	}

	broker.deliverAnswers(broker.HandleConnectionCounts(now, askedAt, counts))

	gone := make(map[permit.Holder]time.Time)

	var prefixes []string

	for _, holder := range broker.GoneHolders() {
		since, seen := broker.goneSince[holder]
		if !seen {
			since = now
		}

		gone[holder] = since
		wanted := broker.WaitingCount(permit.Connection)+broker.WaitingCount(permit.Slot) > 0

		if counts[holder] == 0 || !wanted && now.Sub(since) < goneProxyTimeout {
			continue
		}

		if prefix, certain := p.terminationPrefix(holder); certain {
			prefixes = append(prefixes, prefix)
		}
	}

	broker.goneSince = gone

	return prefixes
}

// terminationPrefix returns the prefix of the application names of a gone holder's connections. The result is false if a
// live process may use the same names.
func (p *permits) terminationPrefix(holder permit.Holder) (string, bool) {
	if holder.Instance != 0 {
		return ApplicationName(holder.Proxy, holder.Instance, ""), true
	}

	_, live := p.liveProxies[holder.Proxy]

	return applicationPrefix + "/" + holder.Proxy + "/", !live
}

func (b *broker) deliverAnswers(answers []permit.Answer) {
	for _, answer := range answers {
		if waiting, found := b.waiting[answer.ID]; found {
			delete(b.waiting, answer.ID)

			waiting <- answer
		}
	}
}
