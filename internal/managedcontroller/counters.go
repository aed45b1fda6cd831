package managedcontroller

import (
	"maps"
	"slices"
	"time"

	"almondgrade/core/lease"
	"almondgrade/core/quota"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

const (
	// counterLease is the duration of the lease under which a proxy counts the operations of customers. While a counting
	// proxy is lost, the second one of each customer still grants 0.45 of the limit, so that a long lease costs little, and
	// an outage of control within it costs nothing.
	counterLease = 10 * time.Second
	// counterChangeInterval is the shortest time between two lists. Proxies that start or stop together change the list
	// once.
	counterChangeInterval = 2 * time.Second
	// firstListDelay is the time after the beginning of a leadership for which a first list that is too short waits for more
	// proxies. One that is started early would count for all customers until the list may change.
	firstListDelay = 2 * time.Second
	// counterCheckInterval is the shortest time between two checks of the list. The view is refreshed far more often while
	// many servers announce changes.
	counterCheckInterval = tickInterval / 2
)

// counterKeeper is what the leader knows of the counting proxies. The mutex of the leadership guards it.
type counterKeeper struct {
	leases   *lease.Table
	contacts map[string]counterContact
	// proposing is true while a change is proposed, changedAt is the time of the last new list, checkedAt that of the last
	// check whether a change is due.
	proposing bool
	changedAt time.Time
	checkedAt time.Time
	// epochSent is the epoch of the lists that waiting calls were last woken for.
	epochSent uint64
}

// counterContact is the last call of a proxy.
type counterContact struct {
	at time.Time
	// epoch is the epoch of the lists that the proxy used.
	epoch uint64
}

func newCounterKeeper(now time.Time) counterKeeper {
	return counterKeeper{leases: lease.New(now, counterLease), contacts: make(map[string]counterContact)}
}

func (k *counterKeeper) recordContact(now time.Time, request *managedcontrol.SyncRequest) {
	k.contacts[request.Proxy] = counterContact{at: now, epoch: request.CounterEpoch}
}

// release ends the counting lease of a proxy that stops. The proxy keeps its place on the list for as long as one that is
// silent: most are restarted within seconds, and each new list holds back part of the limits until it is settled.
func (k *counterKeeper) release(holder lease.Holder) {
	k.leases.Release(holder)
}

// unsettled reports whether a proxy of the recorded lists may still count under earlier ones. A proxy that is on neither
// list can't: a former list is removed only after each proxy of it has applied a later one or has lost its lease.
func (k *counterKeeper) unsettled(now time.Time, recorded *topology.Counters) bool {
	pending := k.leases.PendingHolders(now, func(string) uint64 { return recorded.Epoch })

	for _, listed := range slices.Concat(recorded.Former, recorded.Current) {
		if slices.Contains(pending, listed.Name) {
			return true
		}

		// The lease of an earlier leader ends when the proxy's next process, or the same one with the new lists, calls.
		inherited := slices.Contains(pending, "")
		if last, called := k.contacts[listed.Name]; inherited && (!called || last.epoch < recorded.Epoch) {
			return true
		}
	}

	return false
}

// addCounters adds the lists of counting proxies to a reply if the proxy has older ones, and a counting lease if the proxy
// is on a list. The caller holds the mutex.
func (l *leadership) addCounters(now time.Time, reply *managedcontrol.SyncReply, request *managedcontrol.SyncRequest) {
	recorded := l.controller.options.State.View().Counters
	if recorded == nil || request.Proxy == "" || request.CounterEpoch > recorded.Epoch {
		return // A newer leader has recorded other lists.
	}

	if request.CounterEpoch < recorded.Epoch {
		reply.Counters = recorded
	}

	isNamed := func(proxy topology.CountingProxy) bool { return proxy.Name == request.Proxy }
	if !slices.ContainsFunc(recorded.Current, isNamed) && !slices.ContainsFunc(recorded.Former, isNamed) {
		return
	}

	// Like the other lease, it counts from the last confirmation of the leadership.
	if duration := counterLease - l.sinceConfirmation(); duration > 0 {
		reply.CounterLease = duration
		l.counters.leases.Grant(now, lease.Holder{Name: request.Proxy, Instance: request.Instance}, request.CounterEpoch)
	}
}

// maintainCounters proposes the next change of the lists of counting proxies, if one is due. The caller holds the mutex.
func (l *leadership) maintainCounters(now time.Time, state *topology.View) {
	if l.counters.proposing || !l.view.HoldersKnown || !hasLimits(state.Configuration.Customers) ||
		now.Sub(l.counters.checkedAt) < counterCheckInterval {
		return
	}

	l.counters.checkedAt = now

	var (
		current []topology.CountingProxy
		pending bool
	)

	if recorded := state.Counters; recorded != nil {
		current = recorded.Current
		pending = l.counters.unsettled(now, recorded)
	}

	// Proxies that are gone for so long are not kept anyway.
	maps.DeleteFunc(l.counters.contacts, func(_ string, last counterContact) bool {
		return now.Sub(last.at) > 2*counterLease && now.Sub(l.began) > 2*counterLease
	})

	present := make([]topology.CountingProxy, 0, len(l.peers))
	for _, known := range l.peers {
		present = append(present, topology.CountingProxy(known.proxy))
	}

	size := quota.ListSize(max(len(present), state.ProxyCount))
	if state.Counters == nil && len(present) < size && now.Sub(l.began) < firstListDelay {
		return
	}

	chosen := quota.ChooseList(current, present, size, func(name string) bool {
		last, called := l.counters.contacts[name]
		if !called {
			last.at = l.began // The proxy may not have found this leader yet.
		}

		return now.Sub(last.at) < counterLease
	})

	change := quota.NextChange(state.Counters, pending, chosen)
	if change == nil || !change.RemoveFormer && (now.Sub(l.counters.changedAt) < counterChangeInterval || !l.isChangeQuick(now, current, pending)) {
		return
	}

	if !change.RemoveFormer {
		l.counters.changedAt = now
	}

	l.counters.proposing = true

	l.running.Go(func() { l.recordCounters(change) })
}

// isChangeQuick reports whether the former list can be removed soon after a change. Until then, customers whose counting
// proxies change get only the lower parts. It is not while a proxy on the list may not have applied it, or is silent but may
// still have a lease. The caller holds the mutex.
func (l *leadership) isChangeQuick(now time.Time, current []topology.CountingProxy, pending bool) bool {
	return !pending && !slices.ContainsFunc(current, func(proxy topology.CountingProxy) bool {
		last, called := l.counters.contacts[proxy.Name]
		silentFor := now.Sub(last.at)

		return called && silentFor > peerTimeout && silentFor < counterLease
	})
}

func (l *leadership) recordCounters(change *topology.RecordCounters) {
	_, err := l.controller.propose(l.ctx, topology.Command{RecordCounters: change})

	l.controller.options.Metrics.Counter("counter_lists").Inc(1)
	l.controller.options.Logger.Info("counting proxies changed", "list", names(change.Next), "former removed", change.RemoveFormer,
		"expected epoch", change.ExpectedEpoch, "error", err)

	l.mutex.Lock()
	l.counters.proposing = false
	l.mutex.Unlock()

	l.refreshView(time.Now())
}

func names(proxies []topology.CountingProxy) []string {
	listed := make([]string, len(proxies))
	for i, proxy := range proxies {
		listed[i] = proxy.Name
	}

	return listed
}

// hasLimits reports whether any customer has a rate.
func hasLimits(customers *topology.CustomerList) bool {
	return customers != nil && slices.ContainsFunc(customers.Entries, func(c topology.Customer) bool { return c.Rate != nil })
}
