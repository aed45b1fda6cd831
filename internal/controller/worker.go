package controller

import (
	"context"
	"sync"
	"time"

	"almondgrade/core/registry"
	"almondgrade/core/timer"
)

const (
	// busyPeriod is the pause between two steps of a group that is not yet as it should be.
	busyPeriod = 100 * time.Millisecond
	// retryPeriod is the pause after a step that could not reach a server.
	retryPeriod = 500 * time.Millisecond
	// sweepPeriod is the time after which a group is checked although nothing about it has changed. Changes are
	// seen by announcements and by the coordinator's reports; with 2,700 groups a sweep of 5 minutes opens 27
	// connections a second.
	sweepPeriod = 5 * time.Minute
	// suspicionLife is the time for which a suspicion counts; a coordinator repeats it while it lasts.
	suspicionLife = 3 * time.Second
)

// worker brings one group from its recorded state to where it should be: it names the first primary, attaches
// replicas, changes members and performs failovers. Its memory is lost with the leadership and gathered again.
type worker struct {
	lead  *leadership
	group string
	wake  chan struct{}
	done  chan struct{}

	mutex     sync.Mutex
	suspected map[string]time.Time

	attempt attempt
	// unreachable holds since when a server could not be reached.
	unreachable map[string]time.Time
	// servers are those of the group in the view of the present step. Only run and its steps use them.
	servers []registry.Server
}

// wakeWorkers starts a worker for each new group and wakes all workers if the view has changed. Workers set their
// own timers for everything else.
func (l *leadership) wakeWorkers() {
	view := l.controller.view()
	if view == l.woken {
		return
	}

	l.woken = view
	l.controller.peers.keep(view.Proxies)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	for name := range view.Groups {
		present, found := l.workers[name]
		if !found {
			present = &worker{
				lead: l, group: name, wake: make(chan struct{}, 1), done: make(chan struct{}),
				suspected: make(map[string]time.Time), unreachable: make(map[string]time.Time),
			}
			l.workers[name] = present

			go present.run(l.ctx)
		}

		present.notify()
	}
}

func (l *leadership) stopWorkers() {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	for _, present := range l.workers {
		<-present.done
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

// suspect records a coordinator's report.
func (w *worker) suspect(server string) {
	w.mutex.Lock()
	w.suspected[server] = w.lead.controller.options.Timer.Now()
	w.mutex.Unlock()

	w.notify()
}

func (w *worker) isSuspected(server string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	at, found := w.suspected[server]

	return found && w.lead.controller.options.Timer.Now().Sub(at) <= suspicionLife
}

// suspectsAny reports whether any server of the group is suspected, and forgets old suspicions.
func (w *worker) suspectsAny() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	now := w.lead.controller.options.Timer.Now()

	for server, at := range w.suspected {
		if now.Sub(at) > suspicionLife {
			delete(w.suspected, server)
		}
	}

	return len(w.suspected) > 0
}

func (w *worker) run(ctx context.Context) {
	defer close(w.done)

	var last fingerprint

	due := w.lead.controller.options.Timer.Now()

	for ctx.Err() == nil {
		now := w.lead.controller.options.Timer.Now()
		view, servers := w.lead.controller.servers.latest(w.lead.controller.view)
		w.servers = servers[w.group]
		present := printOf(view.Groups[w.group], w.servers)

		if !w.suspectsAny() && present.same(last) && now.Before(due) {
			w.wait(ctx, due.Sub(now))

			continue
		}

		period := w.step(ctx, view)
		due = w.lead.controller.options.Timer.Now().Add(period)
		last = present

		if period < sweepPeriod {
			_ = timer.Sleep(ctx, min(period, busyPeriod))
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

// step does what the group needs next and returns the time after which to look again.
func (w *worker) step(ctx context.Context, view *registry.View) time.Duration {
	group := view.Groups[w.group]

	switch {
	case group.Term == 0:
		return w.bootstrap(ctx, group)
	case group.Phase != registry.PhaseStable:
		return w.advance(ctx, view, group)
	case w.isSuspected(group.Primary) && w.confirmDead(ctx, group):
		return busyPeriod
	case view.Servers[group.Primary].Leaving:
		return w.move(ctx, view, group)
	default:
		return w.check(ctx, view, group)
	}
}

// check reconciles the group when its turn has come.
func (w *worker) check(ctx context.Context, view *registry.View, group registry.Group) time.Duration {
	select {
	case w.lead.checks <- struct{}{}:
		defer func() { <-w.lead.checks }()

		return w.reconcile(ctx, view, group)
	case <-ctx.Done():
		return busyPeriod
	case <-time.After(busyPeriod):
		// A suspicion that arrived meanwhile goes first.
		return busyPeriod
	}
}

// fingerprint is what of a view concerns one group, without what changes with every announcement.
type fingerprint struct {
	group   registry.Group
	servers map[string]registry.Server
}

func printOf(group registry.Group, list []registry.Server) fingerprint {
	servers := make(map[string]registry.Server, len(list))

	for _, server := range list {
		server.Sequence = 0
		servers[server.Name] = server
	}

	return fingerprint{group: group, servers: servers}
}

func (f fingerprint) same(other fingerprint) bool {
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
