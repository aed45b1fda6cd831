package controller

import (
	"context"
	"sync"
	"time"

	"almondgrade/core/registry"
	"almondgrade/core/timer"
)

const (
	// stepPause is the pause between two steps of a group that is not reconciled yet.
	stepPause = 100 * time.Millisecond
	// retryPause is the pause after a step that could not reach a server.
	retryPause = 500 * time.Millisecond
	// sweepInterval is the time after which a group is reconciled even if nothing about it has changed. Changes are
	// noticed by announcements and by the coordinator's reports. With 2,700 groups, an interval of 5 minutes opens 27
	// connections per second.
	sweepInterval = 5 * time.Minute
	// suspicionTimeout is the time for which a suspicion is valid. A coordinator repeats it while the server fails.
	suspicionTimeout = 3 * time.Second
)

// worker reconciles one group: it records the first primary, attaches replicas, changes members and performs failovers.
// What it keeps in memory is lost with the leadership, and the next leader's worker collects it again.
type worker struct {
	lead  *leadership
	group string
	wake  chan struct{}
	done  chan struct{}

	mutex       sync.Mutex
	suspectedAt map[string]time.Time

	attempt    failoverAttempt
	settlement settlement
	// unreachableSince holds the time since which each unreachable server could not be reached.
	unreachableSince map[string]time.Time
	// servers holds the servers of the group in the view of the current step. Only run and its steps use it.
	servers []registry.Server
}

// wakeWorkers starts a worker for each new group and wakes all workers if the view has changed. Between changes, workers
// wake by their own timers.
func (l *leadership) wakeWorkers() {
	view := l.controller.view()
	if view == l.wokenView {
		return
	}

	l.wokenView = view
	l.controller.peers.closeUnused(view.Proxies)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	for name := range view.Groups {
		groupWorker, found := l.workers[name]
		if !found {
			groupWorker = &worker{
				lead: l, group: name, wake: make(chan struct{}, 1), done: make(chan struct{}),
				suspectedAt: make(map[string]time.Time), unreachableSince: make(map[string]time.Time),
			}
			l.workers[name] = groupWorker

			go groupWorker.run(l.ctx)
		}

		groupWorker.notify()
	}
}

func (l *leadership) stopWorkers() {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	for _, groupWorker := range l.workers {
		<-groupWorker.done
	}
}

// worker returns the worker of a group, or nil before the group is known.
func (l *leadership) worker(group string) *worker {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.workers[group]
}

func (w *worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// suspect records a coordinator's report that a server seems dead.
func (w *worker) suspect(server string) {
	w.mutex.Lock()
	w.suspectedAt[server] = w.lead.controller.options.Timer.Now()
	w.mutex.Unlock()

	w.notify()
}

func (w *worker) isSuspected(server string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	at, found := w.suspectedAt[server]

	return found && w.lead.controller.options.Timer.Now().Sub(at) <= suspicionTimeout
}

// hasSuspicion reports whether any server of the group is suspected. It removes expired suspicions.
func (w *worker) hasSuspicion() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	now := w.lead.controller.options.Timer.Now()

	for server, at := range w.suspectedAt {
		if now.Sub(at) > suspicionTimeout {
			delete(w.suspectedAt, server)
		}
	}

	return len(w.suspectedAt) > 0
}

func (w *worker) run(ctx context.Context) {
	defer close(w.done)

	var last fingerprint

	due := w.lead.controller.options.Timer.Now()

	for ctx.Err() == nil {
		now := w.lead.controller.options.Timer.Now()
		view, servers := w.lead.controller.servers.latest(w.lead.controller.view)
		w.servers = servers[w.group]
		current := fingerprintOf(view.Groups[w.group], w.servers)

		if !w.hasSuspicion() && current.equal(last) && now.Before(due) {
			w.wait(ctx, due.Sub(now))

			continue
		}

		period := w.step(ctx, view)
		due = w.lead.controller.options.Timer.Now().Add(period)
		last = current

		if period < sweepInterval {
			_ = timer.Sleep(ctx, min(period, stepPause))
		}
	}
}

func (w *worker) wait(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}

// step performs the next step that the group needs and returns the time until the following one.
func (w *worker) step(ctx context.Context, view *registry.View) time.Duration {
	group := view.Groups[w.group]

	switch {
	case group.Term == 0:
		return w.bootstrap(ctx, group)
	case group.Phase != registry.PhaseStable:
		return w.advanceFailover(ctx, view, group)
	case w.isSuspected(group.Primary) && w.startFailoverIfDead(ctx, group):
		return stepPause
	case view.Servers[group.Primary].Leaving && len(group.PreviousMembers) == 0:
		// A failover during a change of members may need one that has been removed and has ended.
		return w.startMove(ctx, view, group)
	default:
		return w.reconcileInTurn(ctx, view, group)
	}
}

// reconcileInTurn reconciles the group once a slot is free.
func (w *worker) reconcileInTurn(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	select {
	case w.lead.reconcileSlots <- struct{}{}:
		defer func() { <-w.lead.reconcileSlots }()

		return w.reconcile(ctx, view, group)
	case <-ctx.Done():
		return stepPause
	case <-time.After(stepPause):
		// A suspicion that arrived meanwhile is handled first.
		return stepPause
	}
}

// fingerprint is the part of a view that concerns one group, without the values that change with every announcement.
type fingerprint struct {
	group   registry.Group
	servers map[string]registry.Server
}

func fingerprintOf(group registry.Group, list []registry.Server) fingerprint {
	servers := make(map[string]registry.Server, len(list))

	for _, server := range list {
		server.Sequence = 0
		servers[server.Name] = server
	}

	return fingerprint{group: group, servers: servers}
}

func (f fingerprint) equal(other fingerprint) bool {
	if len(f.servers) != len(other.servers) || f.group.Term != other.group.Term || f.group.Phase != other.group.Phase ||
		f.group.MembersChangedIndex != other.group.MembersChangedIndex || len(f.group.PreviousMembers) != len(other.group.PreviousMembers) ||
		f.group.Attempt != other.group.Attempt {
		return false
	}

	for name, server := range f.servers {
		if other.servers[name] != server {
			return false
		}
	}

	return true
}
