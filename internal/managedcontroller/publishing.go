package managedcontroller

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/placement"
	"almondgrade/core/share"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

const (
	// unbatchedProxies is the number of proxies up to which each change is sent at once: it costs the leader about a
	// millisecond.
	unbatchedProxies = 30
	// batchDelayPerProxy is the time for which a change that is not urgent waits for others, per proxy beyond
	// unbatchedProxies. A change for all proxies costs 0.01 ms for each of them, and a call on the wire 0.06 ms for both
	// sides, so that changes that never end take 5 to 10 % of a core at any number of proxies.
	batchDelayPerProxy = time.Millisecond
	// maxBatchDelay is a third of a lease, and a quarter of the time in which a new configuration comes into force.
	maxBatchDelay = time.Second
	// intervalPerProxy lets the interval of a proxy's calls grow with the number of proxies, so that the leader answers
	// 500 calls a second at any number of them: 200 ms at 100 proxies.
	intervalPerProxy = 2 * time.Millisecond
	// maxInterval is a third of a lease: a proxy may lose one call, which takes an interval and a second, and still renew
	// in time, because the lease counts from the end of a call that was held.
	maxInterval = time.Second
)

// batchDelay returns the time for which changes that are not urgent are collected.
func batchDelay(proxies int) time.Duration {
	return min(time.Duration(max(0, proxies-unbatchedProxies))*batchDelayPerProxy, maxBatchDelay)
}

// syncInterval returns the time for which a proxy's call waits for a change.
func syncInterval(proxies int) time.Duration {
	return min(max(longPollTimeout, time.Duration(proxies)*intervalPerProxy), maxInterval)
}

// roundProxies rounds a number of proxies up, by at most an eighth, so that a proxy that joins seldom changes it. Small
// numbers are exact.
func roundProxies(proxies int) int {
	if proxies <= unbatchedProxies {
		return proxies
	}

	step := 1 << (bits.Len(uint(proxies)) - 4)

	return (proxies + step - 1) / step * step
}

// holderChoice is the last choice of holders and what it was made from.
type holderChoice struct {
	configuration uint64
	proxyCount    int
	known         bool
	placed        bool
	holders       map[string][]placement.Proxy
	// from are the proxies among which the holders were chosen, by name.
	from map[string]placement.Proxy
}

// refreshView publishes a new view if anything in it has changed, starts the supervisors of new groups and removes
// servers that were silent for forgetTimeout. Changes that are not urgent are published together.
func (l *leadership) refreshView(now time.Time) {
	state := l.controller.options.State.View()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	for name := range state.Groups {
		if !l.supervised.Has(name) {
			l.supervised.Add(name)
			l.running.Go(newGroupSupervisor(l, name).run)
		}
	}

	l.activeProxies = max(l.leases.ActiveLeases(now), len(l.peers))

	if state.Configuration.Number != l.configurationSent {
		l.configurationSent = state.Configuration.Number
		l.wakeCalls()
	}

	if state.Counters != nil && state.Counters.Epoch != l.counters.epochSent {
		l.counters.epochSent = state.Counters.Epoch
		l.wakeCalls()
	}

	next := l.buildView(now, state)

	switch importance := importanceOf(&l.view, &next); {
	case importance == unchanged:
		l.changedSince, l.lostHolder, l.viewConfiguration = time.Time{}, false, state.Configuration.Number
	case importance == urgent || l.lostHolder || l.viewConfiguration != state.Configuration.Number || now.Sub(l.firstChange(now)) >= batchDelay(l.activeProxies):
		l.publish(next)
		l.viewConfiguration = state.Configuration.Number
	}

	l.forgetSilentServers(now, state)
	l.maintainCounters(now, state)
}

// refreshAfterAnnouncement refreshes the view after a server has announced a change, unless the change can wait for the
// next tick with others: when all of thousands of servers start, there is one view for all that come within a tick.
func (l *leadership) refreshAfterAnnouncement(server topology.Server) {
	l.mutex.Lock()
	canWait := !server.Leaving && batchDelay(l.activeProxies) > 0
	l.mutex.Unlock()

	if !canWait {
		l.refreshView(time.Now())
	}
}

// firstChange returns the time of the first change that is not published yet.
func (l *leadership) firstChange(now time.Time) time.Time {
	if l.changedSince.IsZero() {
		l.changedSince = now
	}

	return l.changedSince
}

// publish puts a view into force and wakes the calls that wait for a change. The caller holds the mutex.
func (l *leadership) publish(next managedcontrol.View) {
	next.Version = managedcontrol.Version{Term: l.term, Number: l.view.Version.Number + 1}
	l.viewLog.Begin(next.Version.Number)

	if err := managedcontrol.WriteView(l.viewLog, &l.view, &next); err != nil {
		l.controller.options.Logger.Error("view can't be encoded; the former one stays in force", "error", err)

		return
	}

	if !slices.Equal(next.Control, l.view.Control) {
		l.controlChangedAt = next.Version.Number
	}

	l.view, l.changedSince, l.lostHolder = next, time.Time{}, false
	l.recordHolders()
	l.wakeCalls()
	l.controller.options.Metrics.Counter("views").Inc(1)
}

// wakeCalls wakes the calls that wait for a change. The caller holds the mutex.
func (l *leadership) wakeCalls() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// importance says how soon a change of the view must be sent.
type importance uint8

// The values of importance.
const (
	unchanged importance = iota
	// batched changes wait for others.
	batched
	urgent
)

// importanceOf returns how soon the difference between two views must be sent. A change of a group or a server that
// leaves is urgent: callers wait for it, or their statements fail until it is known. A server that has come or that is
// silent is not: its group has others.
func importanceOf(former, next *managedcontrol.View) importance {
	if former.Version.Number == 0 || former.HoldersKnown != next.HoldersKnown || !slices.Equal(former.Groups, next.Groups) {
		return urgent
	}

	if slices.Equal(former.Servers, next.Servers) {
		if next.Proxies == former.Proxies && slices.Equal(next.Control, former.Control) &&
			maps.EqualFunc(next.Holders, former.Holders, slices.Equal) {
			return unchanged
		}

		return batched
	}

	before := make(map[string]*managedcontrol.Server, len(former.Servers))
	for i := range former.Servers {
		before[former.Servers[i].ID] = &former.Servers[i]
	}

	for i := range next.Servers {
		server := &next.Servers[i]
		if known := before[server.ID]; known != nil && server.Leaving && !known.Leaving {
			return urgent
		}

		delete(before, server.ID)
	}

	if len(before) > 0 {
		return urgent // A server was removed.
	}

	return batched
}

// buildView returns the current view without a version. The caller holds the mutex.
func (l *leadership) buildView(now time.Time, state *topology.View) managedcontrol.View {
	next := managedcontrol.View{Control: l.controller.MemberAddresses()}
	next.HoldersKnown, next.Holders = l.chooseHolders(now, state)

	// While every group has holders, the number matters only until the holders of a further group are known. The recorded
	// one is the same in each leader.
	next.Proxies = l.activeProxies
	if next.HoldersKnown && len(state.Configuration.Groups) > 0 && len(next.Holders) == len(state.Configuration.Groups) {
		next.Proxies = state.ProxyCount
	}

	next.Proxies = roundProxies(next.Proxies)

	if l.sortedFrom != state {
		l.sortedFrom = state
		l.sortedGroups, l.sortedServers = nil, nil

		for _, name := range slices.Sorted(maps.Keys(state.Groups)) {
			l.sortedGroups = append(l.sortedGroups, state.Groups[name])
		}

		for _, id := range slices.Sorted(maps.Keys(state.Servers)) {
			l.sortedServers = append(l.sortedServers, state.Servers[id])
		}
	}

	next.Groups = l.sortedGroups
	next.Servers = make([]managedcontrol.Server, 0, len(l.sortedServers))

	for _, server := range l.sortedServers {
		// The sequence number grows with each announcement and is of no use to a proxy.
		server.Sequence = 0
		next.Servers = append(next.Servers, managedcontrol.Server{Server: server, Silent: l.silentFor(now, server.ID) > l.silentThreshold()})
	}

	return next
}

// chooseHolders chooses the proxies that hold connections of each group whose connections don't suffice for all. It
// chooses none, and placed is false, until enough proxies are known. The caller holds the mutex.
func (l *leadership) chooseHolders(now time.Time, state *topology.View) (placed bool, holders map[string][]placement.Proxy) {
	l.takeRecordedPeers(now, state)
	l.dropSilentPeers(now)

	known := len(l.peers) >= int(earlyPlacementShare*float64(state.ProxyCount)) || now.Sub(l.began) >= placementDelay
	l.recordProxies(now, state)

	wanted := holderChoice{configuration: state.Configuration.Number, proxyCount: state.ProxyCount, known: known}
	last := &l.holderChoice
	same := last.configuration == wanted.configuration && last.proxyCount == wanted.proxyCount && last.known == known

	// A proxy that has joined is no reason to choose anew at once: others are likely to follow.
	if same && !l.lostHolder && (l.peersChangedAt.IsZero() || now.Sub(l.peersChangedAt) < batchDelay(l.activeProxies)) {
		return last.placed, last.holders
	}

	// The change has waited since then.
	if !l.peersChangedAt.IsZero() && (l.changedSince.IsZero() || l.peersChangedAt.Before(l.changedSince)) {
		l.changedSince = l.peersChangedAt
	}

	wanted.placed, wanted.holders = l.chooseHoldersAnew(state, known)
	wanted.from = l.holderChoice.from
	l.holderChoice, l.peersChangedAt = wanted, time.Time{}

	return wanted.placed, wanted.holders
}

// chooseHoldersAnew chooses the holders from the present proxies. The caller holds the mutex.
func (l *leadership) chooseHoldersAnew(state *topology.View, known bool) (placed bool, holders map[string][]placement.Proxy) {
	last := l.holderChoice
	present := make(map[string]placement.Proxy, len(l.peers))
	all := make([]placement.Proxy, 0, len(l.peers))

	var come []placement.Proxy

	for name, candidate := range l.peers {
		present[name] = candidate.proxy
		all = append(all, candidate.proxy)

		if last.from[name] != candidate.proxy {
			come = append(come, candidate.proxy)
		}
	}

	gone := make(container.Set[string])

	for name, before := range last.from {
		if present[name] != before {
			gone.Add(name)
		}
	}

	l.holderChoice.from = present

	for _, settings := range state.Configuration.Groups {
		connections := settings.MaxConnections - share.ReservedConnections
		if !placement.NeedsSharing(connections, max(len(all), state.ProxyCount)) {
			continue
		}

		if !known {
			return false, nil
		}

		if holders == nil {
			holders = make(map[string][]placement.Proxy)
		}

		// Proxies that were not chosen before can't take the place of others unless a holder has gone. To rank all of
		// 1,800 proxies for each of 2,700 groups takes a third of a second.
		candidates := all

		before, chosen := last.holders[settings.Name]
		if chosen && !slices.ContainsFunc(before, func(p placement.Proxy) bool { return gone.Has(p.Name) }) {
			candidates = slices.Concat(before, come)
		}

		holders[settings.Name] = placement.Holders(settings.Name, candidates)
	}

	return state.ProxyCount > 0, holders
}

// takeRecordedPeers counts the recorded proxies as present until they have had the time to call. So a new leader knows
// the holders at once, and they are those of the leader before. Whether a proxy still acts on an earlier view is not
// decided here: a lease from an earlier leader counts until it has run out, and a proxy that has called counts until it
// has applied a view of this leader. The caller holds the mutex.
func (l *leadership) takeRecordedPeers(now time.Time, state *topology.View) {
	if l.seededFrom == state || now.Sub(l.began) >= peerTimeout {
		return
	}

	l.seededFrom = state

	for name, recorded := range state.Proxies {
		if !l.recordedTaken.Has(name) {
			l.recordedTaken.Add(name)
			l.recordPeersChanged(now)

			l.peers[name] = peer{at: l.began, proxy: recorded}
		}
	}
}

// recordProxies records the proxies that have come, and removes those that have been absent for proxyForgetDelay. The
// caller holds the mutex.
func (l *leadership) recordProxies(now time.Time, state *topology.View) {
	if now.Sub(l.proxiesRecordedAt) < placementDelay {
		return
	}

	var change topology.RecordProxies

	for name, present := range l.peers {
		delete(l.absentSince, name)

		if state.Proxies[name] != present.proxy {
			change.Added = append(change.Added, present.proxy)
		}
	}

	for name := range state.Proxies {
		if _, present := l.peers[name]; present {
			continue
		}

		since, known := l.absentSince[name]
		if !known {
			l.absentSince[name] = now
		} else if now.Sub(since) >= proxyForgetDelay {
			change.Removed = append(change.Removed, name)
			delete(l.absentSince, name)
		}
	}

	if len(change.Added)+len(change.Removed) == 0 {
		return
	}

	slices.SortFunc(change.Added, func(a, b placement.Proxy) int { return cmp.Compare(a.Name, b.Name) })

	l.proxiesRecordedAt = now

	l.running.Go(func() {
		_, err := l.controller.propose(l.ctx, topology.Command{RecordProxies: &change})
		l.controller.options.Logger.Info("proxies recorded", "come", len(change.Added), "gone", len(change.Removed), "before",
			len(state.Proxies), "error", err)
		l.refreshView(time.Now())
	})
}

// dropSilentPeers drops the proxies that have not called for too long. The caller holds the mutex.
func (l *leadership) dropSilentPeers(now time.Time) {
	// A call waits for up to an interval before the next one comes.
	timeout := peerTimeout - longPollTimeout + syncInterval(l.activeProxies)

	for name, candidate := range l.peers {
		if now.Sub(candidate.at) > timeout {
			l.dropPeer(now, name)
		}
	}
}

// dropPeer drops a proxy that can't be a holder any more. The caller holds the mutex.
func (l *leadership) dropPeer(now time.Time, name string) {
	if _, known := l.peers[name]; !known {
		return
	}

	delete(l.peers, name)
	l.recordPeersChanged(now)

	for _, holders := range l.view.Holders {
		if containsProxy(holders, name) {
			l.lostHolder = true
			l.controller.requestTick()

			break
		}
	}
}

func (l *leadership) recordPeersChanged(now time.Time) {
	if l.peersChangedAt.IsZero() {
		l.peersChangedAt = now
	}
}

// recordPeer records a proxy that accepts statements from other proxies. The caller holds the mutex.
func (l *leadership) recordPeer(now time.Time, request *managedcontrol.SyncRequest) {
	if request.Leaving || !request.Address.IsValid() {
		l.recordedTaken.Add(request.Proxy)
		l.dropPeer(now, request.Proxy)

		return
	}

	latest := placement.Proxy{Name: request.Proxy, Centre: request.Centre, Address: request.Address}
	if l.peers[request.Proxy].proxy != latest {
		l.recordPeersChanged(now)
	}

	l.peers[request.Proxy] = peer{at: now, proxy: latest}
	l.recordedTaken.Add(request.Proxy)
}
