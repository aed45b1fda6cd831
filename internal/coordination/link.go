package coordination

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"almondgrade/core/permit"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/internal/coordinator"
	"almondgrade/internal/proxy"
)

// groupLink connects this proxy with the coordinator of one group, and manages the permits of this proxy for the group.
type groupLink struct {
	owner        *Coordination
	group        string
	context      context.Context //nolint:containedctx // Ends what the link started.
	cancel       context.CancelFunc
	barriers     *coordinator.Coalescer[proxy.Barrier]
	reports      *coordinator.Coalescer[struct{}]
	observations atomic.Pointer[[]proxy.Observation]

	mutex    sync.Mutex
	confirms map[confirmKey]*coordinator.Coalescer[position.Position]
	direct   *directCoordinator
	// target is the coordinator in the given epoch, nil while none is known.
	target target
	epoch  uint64
	// registration counts the changes of epoch, coordinatorInstance and proxyNumber. An answer to a request of an earlier
	// registration is discarded, because the coordinator may have revoked the permit since.
	registration uint64
	// coordinatorInstance is the instance of the coordinating proxy. After a restart the permits are reported again.
	coordinatorInstance uint64
	// proxyNumber is the number that control assigned to this proxy when it joined. It changes if control had removed the
	// proxy as gone.
	proxyNumber   uint32
	slotCacheTime time.Duration
	// reported is true once the coordinator of the epoch has accepted a report of the held permits.
	reported bool
	// reachable is false from a call without an answer until the next answer.
	reachable bool
	// failingSince is the time since which the coordinator has failed all barriers and confirmations, or zero.
	failingSince time.Time
	// triedAt is the time at which chooseTarget last chose the coordinator.
	triedAt       time.Time
	usedAt        time.Time
	failedServers []string

	// nextPermit and reportSequence number the permits and the reports.
	nextPermit     uint64
	reportSequence uint64
	held           map[uint64]*grant
	pools          map[poolKey]*pool
	unsentReturns  []uint64
	sendingReturns bool
}

type confirmKey struct {
	term       position.Term
	unreplaced bool
}

func newLink(owner *Coordination, group string) *groupLink {
	ctx, cancel := context.WithCancel(owner.context)
	l := &groupLink{
		owner:    owner,
		group:    group,
		context:  ctx,
		cancel:   cancel,
		confirms: make(map[confirmKey]*coordinator.Coalescer[position.Position]),
		held:     make(map[uint64]*grant),
		pools:    make(map[poolKey]*pool),
	}
	l.barriers = coordinator.NewCoalescer(ctx, maxConcurrentCalls, l.attemptBarrier)
	l.reports = coordinator.NewCoalescer(ctx, 1, l.sendReport)

	return l
}

func (l *groupLink) close() {
	l.cancel()
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.direct != nil {
		l.direct.Close()
		l.direct = nil
	}
}

// Barrier returns a position that covers every write acknowledged before the call.
func (l *groupLink) Barrier(ctx context.Context) (proxy.Barrier, error) {
	var answer proxy.Barrier

	err := l.retry(ctx, func() (err error) {
		answer, err = l.barriers.Do(ctx)

		return err
	})
	if err != nil && result.CodeOf(err) == result.OK {
		err = result.New(result.NoPrimary, "barrier of group %s: %w", l.group, err)
	}

	return answer, err
}

// Confirm returns once a commit quorum holds the commits made before the call or, with unreplaced, once the primary is
// proven not to have been replaced before the call.
func (l *groupLink) Confirm(ctx context.Context, term position.Term, unreplaced bool) (position.Position, error) {
	var at position.Position

	coalescer := l.confirmCoalescer(confirmKey{term: term, unreplaced: unreplaced})

	err := l.retry(ctx, func() (err error) {
		at, err = coalescer.Do(ctx)

		return err
	})
	if err != nil && result.CodeOf(err) != result.PrimaryReplaced {
		err = result.New(result.NotConfirmed, "group %s: the write is not confirmed: %w", l.group, err)
	}

	return at, err
}

// Observations returns what is known about the members, without waiting.
func (l *groupLink) Observations() []proxy.Observation {
	l.markUsed()

	list := l.observations.Load()
	if list == nil {
		return nil
	}

	now := l.owner.options.Timer.Now()
	observations := append([]proxy.Observation(nil), *list...)

	// The answers to the reports of each second bring observations; while reads need them, reports are sent more often.
	if len(observations) > 0 && now.Sub(observations[0].At) > maxObservationAge && l.reports.Idle() {
		go l.reportHeld()
	}

	for i := range observations {
		if at, found := l.owner.failedAt.Load(observations[i].Server); found && now.Sub(at.(time.Time)) < failedServerTime {
			observations[i].Reachable = false
		}
	}

	return observations
}

// retry runs an attempt until it succeeds, shows that the primary was replaced, or the context ends.
func (l *groupLink) retry(ctx context.Context, attempt func() error) error {
	l.markUsed()

	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := attempt()
		if err == nil || result.CodeOf(err) == result.PrimaryReplaced {
			return err
		}

		pause := time.NewTimer(backoff)

		select {
		case <-ctx.Done():
			pause.Stop()

			return err
		case <-l.context.Done():
			pause.Stop()

			return result.New(result.Draining, "the proxy is shutting down")
		case <-pause.C:
		}
	}
}

// attemptBarrier makes one attempt of a barrier, which many requests share.
func (l *groupLink) attemptBarrier(ctx context.Context) (proxy.Barrier, error) {
	askedAt := l.owner.options.Timer.Now()

	answer, err := callTarget(ctx, l, barrierTimeout,
		func(ctx context.Context, to target) (coordinator.BarrierAnswer, error) { return to.Barrier(ctx) })
	if err != nil {
		return proxy.Barrier{}, err
	}

	return proxy.Barrier{Position: answer.Position, Observations: l.storeObservations(askedAt, answer.Observations)}, nil
}

func (l *groupLink) confirmCoalescer(key confirmKey) *coordinator.Coalescer[position.Position] {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	coalescer, found := l.confirms[key]
	if !found {
		coalescer = coordinator.NewCoalescer(l.context, maxConcurrentCalls, func(ctx context.Context) (position.Position, error) {
			return callTarget(ctx, l, confirmTimeout,
				func(ctx context.Context, to target) (position.Position, error) {
					return to.Confirm(ctx, key.term, key.unreplaced)
				})
		})
		l.confirms[key] = coalescer
	}

	return coalescer
}

// callTarget calls the coordinator, or queries the members directly if it can't be reached or has failed for a while.
func callTarget[T any](
	parent context.Context, l *groupLink, limit time.Duration, ask func(ctx context.Context, to target) (T, error),
) (T, error) {
	to, goDirect := l.chooseTarget()

	if goDirect {
		metrics.GetOrRegisterCounter("coordination_direct", l.owner.options.Metrics).Inc(1)

		ctx, cancel := context.WithTimeout(parent, limit)
		defer cancel()

		return ask(ctx, l.directTarget()) //nolint:contextcheck // The direct connections outlive the call.
	}

	var none T

	if to == nil {
		return none, result.New(result.NotCoordinator, "group %s has no coordinator yet", l.group)
	}

	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()

	answer, err := ask(ctx, to)
	l.recordOutcome(err)

	return answer, err
}

// chooseTarget returns the coordinator and whether to query the members directly instead. A coordinator that answers with
// failures, for example because it can't reach the primary, is called again each failedServerTime.
func (l *groupLink) chooseTarget() (target, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.epoch == 0 {
		return nil, false
	}

	if l.target == nil || !l.reachable {
		return l.target, true
	}

	now := l.owner.options.Timer.Now()
	if l.failingSince.IsZero() || now.Sub(l.failingSince) < directDelay || !l.groupIsStable() || now.Sub(l.triedAt) >= failedServerTime {
		l.triedAt = now

		return l.target, false
	}

	return l.target, true
}

// groupIsStable reports whether the primary of the group is not being changed. During a change, direct queries would not
// succeed more often than the coordinator.
func (l *groupLink) groupIsStable() bool {
	view := l.owner.View()

	return view != nil && view.Groups[l.group].Phase == registry.PhaseStable
}

// recordOutcome records the outcome of a call to the coordinator.
func (l *groupLink) recordOutcome(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	switch {
	case err == nil:
		l.reachable = true
		l.failingSince = time.Time{}
	case result.CodeOf(err) == result.OK:
		if l.reachable {
			l.owner.options.Logger.Info("coordinator can't be reached; querying the members directly", "group", l.group, "error", err)
		}

		l.reachable = false
		go l.reportHeld()
	case result.CodeOf(err) == result.NoPrimary, result.CodeOf(err) == result.NotCoordinator:
		if l.failingSince.IsZero() {
			l.failingSince = l.owner.options.Timer.Now()
		}
	}
}

// applyView applies the latest view.
func (l *groupLink) applyView(view *registry.View) {
	group := view.Groups[l.group]

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.slotCacheTime = view.Running.Timing.SlotCacheTime.Or(defaultSlotCache)

	for key := range l.confirms {
		if key.term < group.Term {
			delete(l.confirms, key) // Its runs end by themselves.
		}
	}

	for key := range l.pools {
		if _, found := view.Servers[key.server]; !found && l.pools[key].isEmpty() {
			delete(l.pools, key)
		}
	}

	if l.direct != nil {
		l.direct.Update()
	}

	number := view.Proxies[l.owner.options.Name].Number
	host := view.Proxies[group.Coordinator].Instance
	unchanged := group.Epoch == l.epoch && host == l.coordinatorInstance && number == l.proxyNumber && l.target != nil

	if unchanged || group.Coordinator == "" {
		return
	}

	to, err := l.coordinatorTarget(view, group)
	if err != nil {
		l.owner.options.Logger.Warn("coordinator of the group can't be called; querying the members directly", "group", l.group, "error", err)
	}

	l.reported = false
	l.discardSpares()

	l.registration++
	l.coordinatorInstance, l.proxyNumber = host, number
	l.target, l.epoch, l.reachable, l.failingSince = to, group.Epoch, to != nil, time.Time{}

	go l.reportUntilAccepted(l.registration)
}

// permitsAreValid reports whether the held permits may be used: they were reported to the coordinator, and since then
// neither has the epoch ended nor has control removed this proxy as gone. It reads the latest view, because the link may
// not have applied it yet. The mutex is held.
func (l *groupLink) permitsAreValid() bool {
	view := l.owner.View()
	if !l.reported || view == nil {
		return false
	}

	group := view.Groups[l.group]

	return group.Epoch == l.epoch && view.Proxies[group.Coordinator].Instance == l.coordinatorInstance &&
		view.Proxies[l.owner.options.Name].Number == l.proxyNumber
}

// isReported reports whether the present coordinator knows the permits that this proxy holds, or can't be reached.
func (l *groupLink) isReported() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.permitsAreValid() || !l.reachable
}

// coordinatorTarget returns the coordinator of a group.
func (l *groupLink) coordinatorTarget(view *registry.View, group registry.Group) (target, error) {
	if group.Coordinator == l.owner.options.Name {
		running, found := (*l.owner.coordinators.Load())[l.group]
		if !found {
			return nil, result.New(result.NotCoordinator, "another instance of this proxy coordinates the group")
		}

		return local{running}, nil
	}

	other, found := view.Proxies[group.Coordinator]
	if !found {
		return nil, result.New(result.NotCoordinator, "proxy %s is not in the view", group.Coordinator)
	}

	// The caller of applyView holds the mutex of the clients.
	client, err := l.owner.clientLocked(other.Peer)
	if err != nil {
		return nil, err
	}

	return remote{client: client, group: l.group, epoch: group.Epoch}, nil
}

// reportUntilAccepted reports the held permits until the coordinator of a registration has accepted a report.
func (l *groupLink) reportUntilAccepted(registration uint64) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, _ = l.reports.Do(l.context)

		l.mutex.Lock()
		done := l.reported || l.registration != registration || !l.reachable
		l.mutex.Unlock()

		if done {
			return // While the coordinator can't be reached, the reports of each second continue.
		}

		pause := time.NewTimer(backoff)

		select {
		case <-l.context.Done():
			pause.Stop()

			return
		case <-pause.C:
		}
	}
}

// reportHeld sends a report of the held permits and waits for the answer.
func (l *groupLink) reportHeld() {
	_, _ = l.reports.Do(l.context)
}

// sendReport sends one report, which concurrent callers of reports share.
func (l *groupLink) sendReport(parent context.Context) (struct{}, error) {
	report, to, registration := l.newReport()
	if to == nil {
		return struct{}{}, nil
	}

	ctx, cancel := context.WithTimeout(parent, reportInterval)
	defer cancel()

	askedAt := l.owner.options.Timer.Now()
	seen, err := to.ReportHeld(ctx, report)

	l.mutex.Lock()

	if l.registration == registration {
		switch {
		case err == nil:
			l.reported = true
			l.reachable = true
			l.returnSpareConnections()
		case result.CodeOf(err) == result.OK:
			l.reachable = false
		}
	}

	l.mutex.Unlock()

	if err == nil {
		l.storeObservations(askedAt, seen)
	}

	return struct{}{}, err
}

// newReport returns a report of the held permits, the target to send it to and the current registration.
func (l *groupLink) newReport() (heldReport, target, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.reportSequence++
	report := heldReport{
		Report: permit.Report{Holder: l.holder(), Sequence: l.reportSequence, NextNumber: l.nextPermit},
		held:   make(map[string][]permit.HeldPermit),
		failed: l.failedServers,
	}
	l.failedServers = nil

	for number, grant := range l.held {
		report.held[grant.server] = append(report.held[grant.server],
			permit.HeldPermit{Number: number, Kind: grant.kind, Pending: grant.pending})
	}

	return report, l.target, l.registration
}

func (l *groupLink) holder() permit.Holder {
	return permit.Holder{Proxy: l.owner.options.Name, Instance: l.owner.options.Instance}
}

// reportFailed tells the coordinator that a request could not use a server.
func (l *groupLink) reportFailed(server string) {
	l.mutex.Lock()
	l.failedServers = append(l.failedServers, server)
	l.mutex.Unlock()

	go l.reportHeld()
}

// storeObservations keeps the observations of an answer to a call that was made at the given time, unless newer ones are
// stored.
func (l *groupLink) storeObservations(askedAt time.Time, seen []coordinator.Observation) []proxy.Observation {
	list := make([]proxy.Observation, 0, len(seen))
	for _, one := range seen {
		list = append(list, proxy.Observation{
			Server: one.Server, Reachable: one.Reachable, Replayed: one.Replayed, Age: one.Age, At: askedAt,
		})
	}

	for {
		last := l.observations.Load()
		if last != nil && len(*last) > 0 && len(list) > 0 && (*last)[0].At.After(askedAt) {
			return list
		}

		if l.observations.CompareAndSwap(last, &list) {
			return list
		}
	}
}

func (l *groupLink) markUsed() {
	now := l.owner.options.Timer.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.usedAt = now
}

// needsReports reports whether the link has to report its permits. It also closes direct connections that are no longer
// needed.
func (l *groupLink) needsReports() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	now := l.owner.options.Timer.Now()

	if l.direct != nil && l.reachable && l.failingSince.IsZero() && now.Sub(l.direct.usedAt) > directIdleTimeout {
		l.direct.Close()
		l.direct = nil
	}

	return !l.reported || len(l.held) > 0 || now.Sub(l.usedAt) < linkActiveTime
}
