package managedcontroller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondgrade/core/container"
	"almondgrade/core/lease"
	"almondgrade/core/placement"
	"almondgrade/core/position"
	"almondgrade/core/result"
	"almondgrade/core/share"
	"almondgrade/core/timer"
	"almondgrade/core/topology"
	"almondgrade/core/viewlog"
	"almondgrade/io/managedcontrol"
)

const (
	// silentIntervals is the number of announce intervals without an announcement after which a server counts as silent:
	// one announcement may be lost and the next one late.
	silentIntervals = 2.5
	// forgetTimeout is the time after which a silent server is removed. It exceeds the usual downtime of servers and VMs,
	// so that a server that returns is still known.
	forgetTimeout = 12 * time.Second
	// positionMaxAge is the age up to which a position of a primary is sent to proxies.
	positionMaxAge = 2 * time.Second
	// reportMaxAge is the age up to which a proxy's report counts, where the interval of calls is longPollTimeout.
	reportMaxAge = 1500 * time.Millisecond
	// placementDelay is the time after the beginning of a leadership within which each proxy has called: another process
	// may hold a proxy's call for half of it. It is also the shortest time between two records of the proxies.
	placementDelay = 400 * time.Millisecond
	// earlyPlacementShare is the fraction of the proxies that must be known for holders to be chosen earlier: a few VMs
	// are usually down.
	earlyPlacementShare = 0.95
	// proxyForgetDelay is the time for which a proxy must have been absent before it is removed from the recorded ones.
	// VMs that restart are back sooner.
	proxyForgetDelay = time.Minute
	// peerTimeout is the time after its last call for which a proxy may be a holder, where the interval of calls is
	// longPollTimeout. A restart takes about a second.
	peerTimeout = time.Second
)

// announcement is the last announcement of a server and the time it arrived.
type announcement struct {
	server topology.Server
	at     time.Time
}

// report is what a proxy last reported about the servers it uses.
type report struct {
	at           time.Time
	reachability []managedcontrol.PrimaryReport
}

// peer is a proxy that accepts statements from other proxies.
type peer struct {
	proxy placement.Proxy
	at    time.Time
}

// leadership is the state that the leader keeps only in memory, for one term. It is safe for concurrent use.
type leadership struct {
	controller *Controller
	term       uint64
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup

	mutex         sync.Mutex
	began         time.Time
	leases        *lease.Table
	announcements map[string]announcement
	// withdrawn are the last announcements of the servers that were withdrawn, by ID.
	withdrawn map[string]topology.Server
	reports   map[string]report
	// peers are the proxies that accept statements from other proxies, by name.
	peers map[string]peer
	// proxiesRecordedAt is the time of the last record of the proxies, and absentSince has the time since which a
	// recorded proxy has been absent.
	proxiesRecordedAt time.Time
	absentSince       map[string]time.Time
	// recordedTaken are the proxies that have called, or were taken from the record of seededFrom as present.
	recordedTaken container.Set[string]
	seededFrom    *topology.View
	// confirmedAt is the boot time at which the last successful confirmation of the leadership began.
	confirmedAt time.Time
	// view is the view in force, and viewLog the same with the number of the last change of each entry.
	view             managedcontrol.View
	viewLog          *viewlog.Log
	controlChangedAt uint64
	// configurationSent is the number of the configuration for which calls were last woken.
	configurationSent uint64
	// viewConfiguration is the number of the configuration that view belongs to. The holders of a group must not reach the
	// proxies long after the group's settings.
	viewConfiguration uint64
	// changedSince is the time of the first change that is not published yet.
	changedSince time.Time
	// sortedGroups and sortedServers are the groups and servers of sortedFrom in order.
	sortedFrom    *topology.View
	sortedGroups  []topology.Group
	sortedServers []topology.Server
	// peersChangedAt is the time of the first change of peers that holderChoice lacks. lostHolder is true if one of them
	// is a holder that was lost.
	peersChangedAt time.Time
	lostHolder     bool
	holderChoice   holderChoice
	// activeProxies is the number of proxies with a lease.
	activeProxies int
	changed       chan struct{}
	supervised    container.Set[string]
	// lastHeld is the number of the last view in which a proxy could hold connections of a group, by group and proxy.
	lastHeld map[string]map[string]uint64
	// shares divide the connections of each server among the proxies, by server ID.
	shares map[string]*share.Table
	// positions are the last known positions of the primaries, by group.
	positions map[string]primaryPosition
	// acknowledged are the last commits that proxies have acknowledged to callers, by group.
	acknowledged map[string]managedcontrol.AcknowledgedCommit
	counters     counterKeeper
	// probes admits the probes of the groups' supervisors.
	probes *probeQueue
}

// primaryPosition is a position of a primary and the boot time at which the probe for it was sent.
type primaryPosition struct {
	position position.Position
	askedAt  time.Time
}

func newLeadership(c *Controller, term uint64) *leadership {
	ctx, cancel := context.WithCancel(c.ctx)
	now := time.Now()

	return &leadership{
		controller: c, term: term, ctx: ctx, cancel: cancel, began: now, viewLog: viewlog.New(term), leases: lease.New(now, leaseTime),
		announcements: make(map[string]announcement), withdrawn: make(map[string]topology.Server), reports: make(map[string]report),
		peers: make(map[string]peer), absentSince: make(map[string]time.Time), recordedTaken: make(container.Set[string]), lastHeld: make(map[string]map[string]uint64),
		changed: make(chan struct{}), supervised: make(container.Set[string]),
		shares: make(map[string]*share.Table), positions: make(map[string]primaryPosition), acknowledged: make(map[string]managedcontrol.AcknowledgedCommit),
		counters: newCounterKeeper(now),
		probes:   newProbeQueue(c.lateness),
	}
}

func (l *leadership) begin() {
	l.refreshView(time.Now())
	l.running.Go(l.confirmPeriodically)
}

func (l *leadership) end() {
	l.cancel()
	l.running.Wait()
}

// confirmPeriodically confirms with a quorum that this process still leads, until the leadership ends.
func (l *leadership) confirmPeriodically() {
	for l.ctx.Err() == nil {
		began := l.controller.options.BootTime()
		ctx, cancel := context.WithTimeout(l.ctx, confirmTimeout)
		_, err := l.controller.options.Log.Confirm(ctx)

		cancel()

		if err == nil {
			l.recordConfirmation(began)
		} else {
			l.controller.options.Logger.Warn("leadership could not be confirmed", "term", l.term, "error", err)
		}

		l.sleep(confirmInterval)
	}
}

// recordConfirmation records a confirmation of the leadership. The first one wakes the calls that wait for a lease.
func (l *leadership) recordConfirmation(began time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.confirmedAt.IsZero() {
		l.wakeCalls()
	}

	l.confirmedAt = began
}

// sinceConfirmation returns the time since the last confirmation of the leadership began, including suspensions of the VM:
// another process may have led meanwhile. The caller holds the mutex.
func (l *leadership) sinceConfirmation() time.Duration {
	return l.controller.options.BootTime().Sub(l.confirmedAt)
}

// sleep waits for the delay. It returns false if the leadership ends first.
func (l *leadership) sleep(delay time.Duration) bool {
	return timer.Sleep(l.ctx, delay) == nil
}

func (l *leadership) silentThreshold() time.Duration {
	return time.Duration(silentIntervals * float64(l.controller.options.AnnounceInterval))
}

// silentFor returns the time since a server announced itself, or since this leadership began if it has not. The caller
// holds the mutex.
func (l *leadership) silentFor(now time.Time, id string) time.Duration {
	if last, known := l.announcements[id]; known {
		return now.Sub(last.at)
	}

	return now.Sub(l.began)
}

// forgetSilentServers removes servers that were silent for forgetTimeout, except primaries, which are replaced by the
// supervisors of their groups. The caller holds the mutex.
func (l *leadership) forgetSilentServers(now time.Time, state *topology.View) {
	for id, server := range state.Servers {
		if l.silentFor(now, id) < forgetTimeout || state.Groups[server.Group].Primary == id {
			continue
		}

		l.announcements[id] = announcement{server, now} // The next attempt comes after another forgetTimeout.

		l.running.Go(func() {
			if err := l.forgetServer(l.ctx, server); err != nil {
				l.controller.options.Logger.Warn("silent server could not be removed", "server", id, "error", err)
			}
		})
	}
}

// forgetServer removes a server unless it has announced itself since the given announcement.
func (l *leadership) forgetServer(ctx context.Context, last topology.Server) error {
	_, err := l.controller.propose(ctx, topology.Command{
		ForgetServer: &topology.ForgetServer{ID: last.ID, StartedAtMillis: last.StartedAtMillis, Sequence: last.Sequence},
	})
	if err == nil {
		l.controller.options.Logger.Info("server removed", "server", last.ID)
		l.refreshView(time.Now())
	}

	return err
}

// sync answers a proxy once there is a change for it or longPollTimeout has passed.
func (l *leadership) sync(ctx context.Context, request *managedcontrol.SyncRequest) (*managedcontrol.SyncReply, error) {
	holder := lease.Holder{Name: request.Proxy, Instance: request.Instance}

	l.mutex.Lock()
	if request.Stopping {
		l.leases.Release(holder)
		delete(l.reports, request.Proxy)
		l.dropPeer(time.Now(), request.Proxy)
		l.counters.release(holder)
		l.mutex.Unlock()

		return &managedcontrol.SyncReply{Lease: 1}, nil
	}

	arrived, applied := time.Now(), uint64(0)
	if request.AppliedVersion.Term == l.term {
		applied = request.AppliedVersion.Number
	}

	var granted map[string]int

	// A call without a proxy name asks only for the leader and the view.
	if now := time.Now(); request.Proxy != "" {
		l.leases.Grant(now, holder, applied)
		l.recordAcknowledged(request.Acknowledged)
		l.reports[request.Proxy] = report{at: now, reachability: request.PrimaryReports}
		l.recordPeer(now, request)
		l.counters.recordContact(now, request)
		granted = l.grantConnections(now, request)
	}
	l.mutex.Unlock()

	pollCtx, cancel := context.WithTimeout(ctx, l.holdTime(request))
	defer cancel()

	for {
		// Measured before the lease is, so that both together don't end later than the lease.
		waited, held := pollCtx.Err() != nil, time.Since(arrived)

		reply, changed, err := l.buildReply(request, waited)
		if err != nil {
			return nil, err
		}

		if reply != nil {
			reply.ConnectionLimits = granted

			// A reply that brings a change extends no lease: a takeover would wait the longer for a frozen proxy.
			if waited && reply.Lease > 0 && l.extendLease(holder) {
				reply.Held = held
			}

			return reply, nil
		}

		select {
		case <-changed:
		case <-pollCtx.Done():
		case <-l.ctx.Done():
			return &managedcontrol.SyncReply{Leader: l.controller.awaitLeader(ctx)}, nil
		}
	}
}

// recordAcknowledged records the commits that a proxy has acknowledged, except those of former primaries. The caller holds the mutex.
func (l *leadership) recordAcknowledged(commits map[string]managedcontrol.AcknowledgedCommit) {
	groups := l.controller.options.State.View().Groups

	for group, reported := range commits {
		if groups[group].Primary != reported.Primary {
			continue
		}

		if last := l.acknowledged[group]; last.Primary == reported.Primary {
			reported.Position = position.Later(reported.Position, last.Position)
		}

		l.acknowledged[group] = reported
	}
}

// acknowledgedPosition returns the last position that proxies have reported as acknowledged by the recorded primary of a group.
func (l *leadership) acknowledgedPosition(group topology.Group) position.Position {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if last := l.acknowledged[group.Name]; last.Primary == group.Primary {
		return last.Position
	}

	return position.Position{}
}

// extendLease renews a proxy's lease at the end of a call.
func (l *leadership) extendLease(holder lease.Holder) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.leases.Extend(time.Now(), holder)
}

// holdTime returns the time for which a call waits for a change. Calls that were all answered by the same change are
// spread over a quarter of it where there are many.
func (l *leadership) holdTime(request *managedcontrol.SyncRequest) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	interval := syncInterval(l.activeProxies)
	if request.ViewPosition == nil || interval <= longPollTimeout {
		return longPollTimeout
	}

	return interval - rand.N(interval/4)
}

// recordPosition records the latest position of a group's primary.
func (l *leadership) recordPosition(group string, latest primaryPosition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.positions[group] = latest
}

// grantConnections returns how many connections a proxy may hold, by server ID. The caller holds the mutex.
func (l *leadership) grantConnections(now time.Time, request *managedcontrol.SyncRequest) map[string]int {
	state := l.controller.options.State.View()
	granted := make(map[string]int, len(request.Demands))

	for id, demand := range request.Demands {
		settings, known := groupSettings(state, state.Servers[id].Group)
		if !known {
			continue
		}

		limit := settings.MaxConnections - share.ReservedConnections
		holders := l.view.Holders[settings.Name]
		sharers := max(l.activeProxies, state.ProxyCount)

		if holders != nil {
			sharers = len(holders)
		}

		if state.Configuration.Customers != nil && holders != nil {
			limit -= share.RestartReserve(settings.MaxConnections, len(holders))
		}

		if l.shares[id] == nil {
			l.shares[id] = share.New(limit, leaseTime)
		}

		l.shares[id].SetLimit(limit)
		l.shares[id].SetSharers(sharers)
		granted[id] = l.shares[id].Report(now, request.Proxy, demand)
	}

	return granted
}

// groupSettings returns the operator's settings for a group.
func groupSettings(state *topology.View, group string) (topology.GroupSettings, bool) {
	for _, settings := range state.Configuration.Groups {
		if settings.Name == group {
			return settings, true
		}
	}

	return topology.GroupSettings{}, false
}

// buildReply returns what has changed for a proxy, or nil if nothing has, unless the call has waited long enough. The
// channel is closed at the next change.
func (l *leadership) buildReply(request *managedcontrol.SyncRequest, waited bool) (*managedcontrol.SyncReply, <-chan struct{}, error) {
	l.mutex.Lock()
	changed := l.changed
	l.mutex.Unlock()

	// A large configuration is compressed without the mutex. If it changes meanwhile, the channel is closed.
	reply := &managedcontrol.SyncReply{}
	if err := l.controller.addConfiguration(reply, request); err != nil {
		return nil, changed, err
	}

	l.mutex.Lock()
	defer l.mutex.Unlock()

	// The lease counts from the last confirmation of the leadership.
	reply.Lease, reply.Interval = leaseTime-l.sinceConfirmation(), syncInterval(l.activeProxies)

	if reply.Lease <= 0 {
		if waited {
			return &managedcontrol.SyncReply{}, changed, nil
		}

		return nil, changed, nil
	}

	if err := l.addView(reply, request, waited); err != nil {
		return nil, changed, err
	}

	l.addCounters(time.Now(), reply, request)

	if !waited && reply.View == nil && reply.Counters == nil && reply.ViewDelta == nil && reply.Configuration == nil && reply.ConfigurationDelta == nil &&
		reply.Compressed == nil {
		return nil, changed, nil
	}

	now := l.controller.options.BootTime()
	reply.Positions = make(map[string]managedcontrol.ObservedPosition)

	for group, latest := range l.positions {
		// A proxy that forwards a group's statements doesn't need the group's positions.
		if holders, placed := l.view.Holders[group]; placed && !containsProxy(holders, request.Proxy) {
			continue
		}

		if age := now.Sub(latest.askedAt); age < positionMaxAge {
			reply.Positions[group] = managedcontrol.ObservedPosition{Position: latest.position, Age: age}
		}
	}

	return reply, changed, nil
}

// addView adds what a proxy lacks of the view: the whole one for a process of an earlier build, else a delta. After the
// call has waited, the delta also brings a proxy for which nothing has changed to the current number. The caller holds
// the mutex.
func (l *leadership) addView(reply *managedcontrol.SyncReply, request *managedcontrol.SyncRequest, waited bool) error {
	switch {
	case request.ViewPosition == nil:
		if request.AppliedVersion != l.view.Version {
			view := l.view
			reply.View = &view
		}
	case request.Proxy == "":
		if request.AppliedVersion.Term != l.term || request.AppliedVersion.Number < l.controlChangedAt {
			reply.View = &managedcontrol.View{Version: l.view.Version, Control: l.view.Control}
		}
	case !l.view.HoldersKnown:
		// The holders of an earlier view stay in force, with the servers that belong to it.
	case l.viewLog.Changed(request.Proxy, *request.ViewPosition) || waited && request.ViewPosition.Number != l.view.Version.Number:
		delta, err := l.viewLog.Delta(request.Proxy, *request.ViewPosition)
		reply.ViewDelta = delta

		return err //nolint:wrapcheck // It says what can't be encoded.
	}

	return nil
}

func containsProxy(proxies []placement.Proxy, name string) bool {
	return slices.ContainsFunc(proxies, func(p placement.Proxy) bool { return p.Name == name })
}

// configure validates a configuration and proposes it unless it is older than the one in force.
func (l *leadership) configure(ctx context.Context, configuration topology.Configuration) error {
	logger := l.controller.options.Logger

	if err := configuration.Validate(); err != nil {
		logger.Info("configuration refused", "number", configuration.Number, "error", err)

		return err
	}

	if current := l.controller.options.State.View().Configuration.Number; configuration.Number < current {
		logger.Info("configuration is older than the one in force", "number", configuration.Number, "held", current)

		return nil
	}

	answer, err := l.controller.propose(ctx, topology.Command{Configure: &configuration})
	if err == nil {
		l.refreshView(time.Now())
	}

	l.controller.options.Metrics.Counter("configurations").Inc(1)
	logger.Info("configuration proposed", "number", configuration.Number, "in force", answer.Number, "reason",
		answer.Reason, "error", err)

	return err
}

// latestConfiguration returns the newest configuration, after a quorum has confirmed that there is no newer one.
func (l *leadership) latestConfiguration(ctx context.Context) (*topology.Configuration, error) {
	if _, err := l.controller.options.Log.Confirm(ctx); err != nil {
		return nil, err //nolint:wrapcheck // It carries a result code.
	}

	latest := l.controller.options.State.View().Configuration
	if latest.Number == 0 {
		return nil, result.New(result.NotFound, "no configuration has been accepted yet")
	}

	return &latest, nil
}

// announce keeps an announcement in memory and proposes it to the log if it changes what is recorded.
func (l *leadership) announce(ctx context.Context, server topology.Server) error {
	state := l.controller.options.State.View()

	l.mutex.Lock()
	known := l.knownServer(state, server.ID)
	verdict, err := topology.JudgeAnnouncement(server, known, state.IsConfigured)

	if verdict == topology.AnnouncementCounts {
		l.announcements[server.ID] = announcement{server, time.Now()}
	}
	l.mutex.Unlock()

	l.controller.options.Metrics.Counter("announcements_" + verdict.String()).Inc(1)

	if verdict != topology.AnnouncementCounts {
		l.controller.options.Logger.Debug("announcement does not count", "server", server.ID, "group", server.Group, "reason", verdict.String(),
			"error", err)

		return err //nolint:wrapcheck // It carries a result code.
	}

	if known.Recorded != nil && known.Recorded.EqualExceptSequence(server) {
		return nil
	}

	_, err = l.controller.propose(ctx, topology.Command{Announce: &server})

	if result.CodeOf(err) == result.OutdatedEpoch {
		// A newer announcement was recorded first.
		return nil
	}

	if err != nil {
		return err
	}

	l.controller.options.Logger.Info("server announced a change", "server", server.ID, "group", server.Group, "address",
		server.Address, "leaving", server.Leaving, "primary", server.ClaimsPrimary)
	l.refreshAfterAnnouncement(server)

	return nil
}

// withdraw removes a server that has been shut down.
func (l *leadership) withdraw(ctx context.Context, id string) error {
	state, now := l.controller.options.State.View(), time.Now()

	last, recorded := state.Servers[id]
	if !recorded {
		return nil
	}

	l.mutex.Lock()
	known := l.knownServer(state, id)
	heardLately := known.Heard != nil && l.silentFor(now, id) <= l.silentThreshold()
	counts := topology.WithdrawalCounts(known, heardLately)

	if known.Heard != nil && known.Heard.NewerThan(last) {
		last = *known.Heard
	}

	if counts {
		l.withdrawn[id] = last
	}
	l.mutex.Unlock()

	if !counts {
		l.controller.options.Metrics.Counter("withdrawals_outdated").Inc(1)
		l.controller.options.Logger.Info("withdrawal does not count: the server has announced itself since and does not leave", "server", id)

		return nil
	}

	return l.forgetServer(ctx, last)
}

// knownServer returns what is known of the server with an ID. The caller holds the mutex.
func (l *leadership) knownServer(state *topology.View, id string) (known topology.KnownServer) {
	if recorded, exists := state.Servers[id]; exists {
		known.Recorded = &recorded
	}

	if last, exists := l.announcements[id]; exists {
		known.Heard = &last.server
	}

	if final, exists := l.withdrawn[id]; exists {
		known.Withdrawn = &final
	}

	return known
}

// pendingProxies returns the proxies that may still use the servers of a group by a view older than the given version. A
// proxy that has applied a view after the last one in which it held connections of the group no longer uses them.
func (l *leadership) pendingProxies(now time.Time, group string, version uint64) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.leases.PendingHolders(now, func(name string) uint64 {
		return min(version, max(l.lastHeld[group][everyProxy], l.lastHeld[group][name])+1)
	})
}

// everyProxy is the key in lastHeld for views in which all proxies may hold connections of a group.
const everyProxy = ""

// recordHolders records in lastHeld which proxies hold connections in the current view. The caller holds the mutex.
func (l *leadership) recordHolders() {
	for _, group := range l.view.Groups {
		if l.lastHeld[group.Name] == nil {
			l.lastHeld[group.Name] = make(map[string]uint64)
		}

		// Until the holders are chosen, proxies follow an earlier view.
		holders, placed := l.view.Holders[group.Name]
		if !placed || !l.view.HoldersKnown {
			l.lastHeld[group.Name][everyProxy] = l.view.Version.Number
		}

		for _, holder := range holders {
			l.lastHeld[group.Name][holder.Name] = l.view.Version.Number
		}
	}
}

// refreshedVersion refreshes the view and returns the number of the one in which a group last changed. A proxy that has
// applied that view knows the group as it is now. It may learn of a later view, in which only others changed, when its
// call ends.
func (l *leadership) refreshedVersion(group string) uint64 {
	l.refreshView(time.Now())

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if changedAt := managedcontrol.GroupChangedAt(l.viewLog, group); changedAt > 0 {
		return changedAt
	}

	return l.view.Version.Number
}

// reachabilityOf returns what the proxies have lately reported about a server. While this process is late, it receives no
// reports, so that the last ones stay in use.
func (l *leadership) reachabilityOf(now time.Time, server string) []managedcontrol.PrimaryReport {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	var found []managedcontrol.PrimaryReport

	for name, last := range l.reports {
		late := l.controller.lateness.LateDuring(last.at, now)
		if now.Sub(last.at)-late > reportMaxAge-longPollTimeout+syncInterval(l.activeProxies) {
			delete(l.reports, name)

			continue
		}

		for _, reachability := range last.reachability {
			if reachability.Server == server {
				found = append(found, reachability)
			}
		}
	}

	return found
}

// announcedRecently reports whether a server has announced itself and is not silent.
func (l *leadership) announcedRecently(now time.Time, server string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	_, known := l.announcements[server]

	return known && l.silentFor(now, server) <= l.silentThreshold()
}
