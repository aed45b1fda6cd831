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

// link is this proxy's connection with the coordinator of one group.
type link struct {
	owner    *Coordination
	group    string
	context  context.Context //nolint:containedctx // Ends what the link started.
	cancel   context.CancelFunc
	barriers *coordinator.Rounds[proxy.Barrier]
	reports  *coordinator.Rounds[struct{}]
	seen     atomic.Pointer[[]proxy.Observation]

	mutex    sync.Mutex
	confirms map[confirmation]*coordinator.Rounds[position.Position]
	direct   *direct
	// to is the coordinator in the given epoch, nil while none is known.
	to    target
	epoch uint64
	// registration counts the changes of epoch, host and number. An answer to a question of an earlier one is worth
	// nothing, because the coordinator may have taken the permit back since.
	registration uint64
	// host is the instance of the coordinating proxy: a restarted one has to be told the permits again.
	host uint64
	// number is what control gave to this proxy when it joined. It changes when the proxy was taken for gone.
	number uint32
	slots  time.Duration
	// reported is true once the coordinator of the epoch took a report of the held permits.
	reported bool
	// reachable is false after a call found no answer, until another one did.
	reachable bool
	// failing is the time since which the coordinator has answered barriers and confirmations with failures only.
	failing time.Time
	// tried is the time at which the coordinator was last asked.
	tried time.Time
	used  time.Time
	hints []string

	// next and sequence number the permits and the reports.
	next     uint64
	sequence uint64
	held     map[uint64]*grant
	pools    map[poolKey]*pool
	back     []uint64
	flushing bool
}

type confirmation struct {
	term       position.Term
	unreplaced bool
}

func newLink(owner *Coordination, group string) *link {
	ctx, cancel := context.WithCancel(owner.context)
	l := &link{
		owner:    owner,
		group:    group,
		context:  ctx,
		cancel:   cancel,
		confirms: make(map[confirmation]*coordinator.Rounds[position.Position]),
		held:     make(map[uint64]*grant),
		pools:    make(map[poolKey]*pool),
	}
	l.barriers = coordinator.NewRounds(ctx, roundWidth, l.barrier)
	l.reports = coordinator.NewRounds(ctx, 1, l.report)

	return l
}

func (l *link) close() {
	l.cancel()
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.direct != nil {
		l.direct.Close()
		l.direct = nil
	}
}

// Barrier returns a position that covers every write that was acknowledged before the call.
func (l *link) Barrier(ctx context.Context) (proxy.Barrier, error) {
	var answer proxy.Barrier

	err := l.repeat(ctx, func() (err error) {
		answer, err = l.barriers.Do(ctx)

		return err
	})
	if err != nil && result.CodeOf(err) == result.OK {
		err = result.New(result.NoPrimary, "barrier of group %s: %w", l.group, err)
	}

	return answer, err
}

// Confirm returns once the commits that were made before the call are held by a commit quorum, or proven to be on a
// primary that was not replaced.
func (l *link) Confirm(ctx context.Context, term position.Term, unreplaced bool) (position.Position, error) {
	var at position.Position

	rounds := l.confirmRounds(confirmation{term: term, unreplaced: unreplaced})

	err := l.repeat(ctx, func() (err error) {
		at, err = rounds.Do(ctx)

		return err
	})
	if err != nil && result.CodeOf(err) != result.PrimaryReplaced {
		err = result.New(result.NotConfirmed, "group %s: the write is not confirmed: %w", l.group, err)
	}

	return at, err
}

// Observations returns what is known of the members, without waiting.
func (l *link) Observations() []proxy.Observation {
	l.touch()

	list := l.seen.Load()
	if list == nil {
		return nil
	}

	now := l.owner.options.Timer.Now()
	observations := append([]proxy.Observation(nil), *list...)

	// Reports bring observations each second; where reads depend on them they are asked for more often.
	if len(observations) > 0 && now.Sub(observations[0].At) > refreshTime && l.reports.Idle() {
		go l.hold()
	}

	for i := range observations {
		if at, found := l.owner.failed.Load(observations[i].Server); found && now.Sub(at.(time.Time)) < failedTime {
			observations[i].Reachable = false
		}
	}

	return observations
}

// repeat runs an attempt until it succeeds, the primary proves replaced, or the context ends.
func (l *link) repeat(ctx context.Context, attempt func() error) error {
	l.touch()

	for backoff := leastBackoff; ; backoff = min(2*backoff, mostBackoff) {
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

// barrier is one shared attempt.
func (l *link) barrier(ctx context.Context) (proxy.Barrier, error) {
	asked := l.owner.options.Timer.Now()

	answer, err := attempt(ctx, l, attemptLimit,
		func(ctx context.Context, to target) (coordinator.Answer, error) { return to.Barrier(ctx) })
	if err != nil {
		return proxy.Barrier{}, err
	}

	return proxy.Barrier{Position: answer.Position, Observations: l.publish(asked, answer.Observations)}, nil
}

func (l *link) confirmRounds(key confirmation) *coordinator.Rounds[position.Position] {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	rounds, found := l.confirms[key]
	if !found {
		rounds = coordinator.NewRounds(l.context, roundWidth, func(ctx context.Context) (position.Position, error) {
			return attempt(ctx, l, confirmLimit,
				func(ctx context.Context, to target) (position.Position, error) {
					return to.Confirm(ctx, key.term, key.unreplaced)
				})
		})
		l.confirms[key] = rounds
	}

	return rounds
}

// attempt asks the coordinator, or the members directly if it can't be reached or has failed for a while.
func attempt[T any](
	parent context.Context, l *link, limit time.Duration, ask func(ctx context.Context, to target) (T, error),
) (T, error) {
	to, goDirect := l.choose()

	if goDirect {
		metrics.GetOrRegisterCounter("coordination_direct", l.owner.options.Metrics).Inc(1)

		ctx, cancel := context.WithTimeout(parent, limit)
		defer cancel()

		return ask(ctx, l.directly()) //nolint:contextcheck // The direct connections outlive the call.
	}

	var none T

	if to == nil {
		return none, result.New(result.NotCoordinator, "group %s has no coordinator yet", l.group)
	}

	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()

	answer, err := ask(ctx, to)
	l.noted(err)

	return answer, err
}

// choose returns the coordinator, or whether to ask the members directly. A coordinator that answers with failures, for
// example because it can't reach the primary, is asked again now and then.
func (l *link) choose() (target, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.epoch == 0 {
		return nil, false
	}

	if l.to == nil || !l.reachable {
		return l.to, true
	}

	now := l.owner.options.Timer.Now()
	if l.failing.IsZero() || now.Sub(l.failing) < failingTime || !l.stable() || now.Sub(l.tried) >= failedTime {
		l.tried = now

		return l.to, false
	}

	return l.to, true
}

// stable reports whether the group is not changing its primary. During a change nobody can do better than the
// coordinator.
func (l *link) stable() bool {
	view := l.owner.View()

	return view != nil && view.Groups[l.group].Phase == registry.PhaseStable
}

// noted takes the outcome of a call to the coordinator.
func (l *link) noted(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	switch {
	case err == nil:
		l.reachable = true
		l.failing = time.Time{}
	case result.CodeOf(err) == result.OK:
		if l.reachable {
			l.owner.options.Logger.Info("coordinator can't be reached", "group", l.group, "error", err)
		}

		l.reachable = false
		go l.hold()
	case result.CodeOf(err) == result.NoPrimary, result.CodeOf(err) == result.NotCoordinator:
		if l.failing.IsZero() {
			l.failing = l.owner.options.Timer.Now()
		}
	}
}

// update takes over the latest view.
func (l *link) update(view *registry.View) {
	group := view.Groups[l.group]

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.slots = view.Running.Timing.SlotCacheTime.Or(defaultSlotCache)

	for key := range l.confirms {
		if key.term < group.Term {
			delete(l.confirms, key) // Its rounds end by themselves.
		}
	}

	for key := range l.pools {
		if _, found := view.Servers[key.server]; !found && l.pools[key].idle() {
			delete(l.pools, key)
		}
	}

	if l.direct != nil {
		l.direct.Update()
	}

	number := view.Proxies[l.owner.options.Name].Number
	host := view.Proxies[group.Coordinator].Instance
	same := group.Epoch == l.epoch && host == l.host && number == l.number && l.to != nil

	if same || group.Coordinator == "" {
		return
	}

	to, err := l.locate(view, group)
	if err != nil {
		l.owner.options.Logger.Warn("coordinator is unknown", "group", l.group, "error", err)
	}

	l.reported = false
	l.discardSpare()

	l.registration++
	l.host, l.number = host, number
	l.to, l.epoch, l.reachable, l.failing = to, group.Epoch, to != nil, time.Time{}

	go l.introduce(l.registration)
}

// current reports whether spare permits may be used: the coordinator knows of them, and the epoch has not ended and
// control has not taken this proxy for gone since then. It asks the view itself, because the link may not have
// taken over the latest one. The mutex is held.
func (l *link) current() bool {
	view := l.owner.View()
	if !l.reported || view == nil {
		return false
	}

	group := view.Groups[l.group]

	return group.Epoch == l.epoch && view.Proxies[group.Coordinator].Instance == l.host &&
		view.Proxies[l.owner.options.Name].Number == l.number
}

// locate returns the coordinator of a group.
func (l *link) locate(view *registry.View, group registry.Group) (target, error) {
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

	// The caller of update holds the mutex of the clients.
	client, err := l.owner.clientLocked(other.Peer)
	if err != nil {
		return nil, err
	}

	return remote{client: client, group: l.group, epoch: group.Epoch}, nil
}

// introduce reports the held permits until the coordinator of a registration took a report.
func (l *link) introduce(registration uint64) {
	for backoff := leastBackoff; ; backoff = min(2*backoff, mostBackoff) {
		_, _ = l.reports.Do(l.context)

		l.mutex.Lock()
		done := l.reported || l.registration != registration || !l.reachable
		l.mutex.Unlock()

		if done {
			return // While the coordinator can't be reached, the reports of each second go on.
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

// hold reports the held permits.
func (l *link) hold() {
	_, _ = l.reports.Do(l.context)
}

// report is one report.
func (l *link) report(parent context.Context) (struct{}, error) {
	made, to, registration := l.snapshot()
	if to == nil {
		return struct{}{}, nil
	}

	ctx, cancel := context.WithTimeout(parent, holdInterval)
	defer cancel()

	asked := l.owner.options.Timer.Now()
	seen, err := to.Hold(ctx, made)

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
		l.publish(asked, seen)
	}

	return struct{}{}, err
}

// snapshot returns the content of a report, its receiver and the present registration.
func (l *link) snapshot() (report, target, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.sequence++
	made := report{
		Report: permit.Report{Holder: l.holder(), Sequence: l.sequence, Next: l.next},
		held:   make(map[string][]permit.Held),
		failed: l.hints,
	}
	l.hints = nil

	for number, grant := range l.held {
		made.held[grant.server] = append(made.held[grant.server],
			permit.Held{Number: number, Kind: grant.kind, Pending: grant.pending})
	}

	return made, l.to, l.registration
}

func (l *link) holder() permit.Holder {
	return permit.Holder{Proxy: l.owner.options.Name, Instance: l.owner.options.Instance}
}

// failed tells the coordinator that a server could not be used.
func (l *link) failed(server string) {
	l.mutex.Lock()
	l.hints = append(l.hints, server)
	l.mutex.Unlock()

	go l.hold()
}

// publish keeps the observations of an answer to a question that was asked at the given time.
func (l *link) publish(asked time.Time, seen []coordinator.Observation) []proxy.Observation {
	list := make([]proxy.Observation, 0, len(seen))
	for _, one := range seen {
		list = append(list, proxy.Observation{
			Server: one.Server, Reachable: one.Reachable, Replayed: one.Replayed, Age: one.Age, At: asked,
		})
	}

	for {
		last := l.seen.Load()
		if last != nil && len(*last) > 0 && len(list) > 0 && (*last)[0].At.After(asked) {
			return list
		}

		if l.seen.CompareAndSwap(last, &list) {
			return list
		}
	}
}

func (l *link) touch() {
	now := l.owner.options.Timer.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.used = now
}

// active reports whether the link has to report. It closes direct connections that are needed no more.
func (l *link) active() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	now := l.owner.options.Timer.Now()

	if l.direct != nil && l.reachable && l.failing.IsZero() && now.Sub(l.direct.used) > directIdle {
		l.direct.Close()
		l.direct = nil
	}

	return !l.reported || len(l.held) > 0 || now.Sub(l.used) < activeTime
}
