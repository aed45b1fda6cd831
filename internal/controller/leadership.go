package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/timer"
)

// leaseMargin is added to the duration of a lease before the leader counts it as expired. The proxy counts from
// when it sent its renewal, the leader from when it received it; the margin covers different clock rates.
const leaseMargin = time.Second

// leadership is what a leader knows only in memory.
type leadership struct {
	controller *Controller
	ctx        context.Context //nolint:containedctx // The period of leadership.
	began      time.Time

	mutex  sync.Mutex
	leases map[string]lease
	// sequences holds the latest announcement of each server, recorded in the log or not.
	sequences map[string]stamp
	workers   map[string]*worker
	// checks bounds the groups that are checked at once. A new leader checks all of them; failovers don't wait.
	checks chan struct{}
	// woken is the view that the workers were last woken for. Only run uses it.
	woken *registry.View
}

// checkLimit is the number of groups that are checked at once.
const checkLimit = 64

// lease is the last renewal of a proxy.
type lease struct {
	instance      uint64
	renewed       time.Time
	version       uint64
	configuration uint64
}

// stamp orders the announcements of one server.
type stamp struct {
	incarnation uint64
	sequence    uint64
}

func (s stamp) before(other stamp) bool {
	if s.incarnation != other.incarnation {
		return s.incarnation < other.incarnation
	}

	return s.sequence < other.sequence
}

func newLeadership(controller *Controller, ctx context.Context) *leadership { //nolint:revive // See the field.
	return &leadership{
		controller: controller, ctx: ctx, began: controller.options.Timer.Now(),
		leases: make(map[string]lease), sequences: make(map[string]stamp), workers: make(map[string]*worker),
		checks: make(chan struct{}, checkLimit),
	}
}

// begin waits until the state is that of a confirmed leader and writes the first configuration of a new system.
func (l *leadership) begin(ctx context.Context) error {
	c := l.controller

	for {
		if err := c.confirmed(ctx); err == nil {
			break
		} else if ctx.Err() != nil {
			return err
		}

		if err := timer.Sleep(ctx, leadTick); err != nil {
			return err
		}
	}

	if c.view().ConfigurationNumber > 0 {
		return nil
	}

	encoded, err := json.Marshal(c.options.First)
	if err != nil {
		return eris.Wrap(err, "encode first configuration")
	}

	answer, err := c.propose(ctx, registry.Command{Configure: &registry.Configure{
		ID: "first", BaseNumber: 0, Author: "settings of " + c.options.Name, Settings: encoded,
	}})
	if err != nil {
		return err
	}

	if answer.Code == result.NumberNotCurrent {
		return nil
	}

	return answer.Err()
}

// run performs the leader's periodic work until the leadership ends.
func (l *leadership) run(ctx context.Context) {
	ticker := make(chan struct{}, 1)
	stop := l.controller.options.Timer.Every(leadTick, func(time.Time) {
		select {
		case ticker <- struct{}{}:
		default:
		}
	})

	defer stop()
	defer l.stopWorkers()

	for {
		changed := l.controller.options.Log.Changed()

		l.expireProxies(ctx)
		l.assignCoordinators(ctx)
		l.wakeWorkers()

		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker:
		}
	}
}

// renew records a proxy's renewal.
func (l *leadership) renew(proxy registry.Proxy, version, configuration uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.leases[proxy.Name] = lease{
		instance: proxy.Instance, renewed: l.controller.options.Timer.Now(), version: version,
		configuration: configuration,
	}
}

// lease returns the last renewal of a proxy. A proxy that has not renewed since the leadership began counts as
// renewed at its beginning, because the previous leader may have renewed its lease until then.
func (l *leadership) lease(proxy registry.Proxy) lease {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if last, found := l.leases[proxy.Name]; found && last.instance == proxy.Instance {
		return last
	}

	return lease{instance: proxy.Instance, renewed: l.began}
}

// live reports whether a proxy may still hold a lease.
func (l *leadership) live(proxy registry.Proxy) bool {
	limit := l.leaseDuration() + leaseMargin

	return l.controller.options.Timer.Now().Sub(l.lease(proxy).renewed) <= limit
}

func (l *leadership) leaseDuration() time.Duration {
	return l.controller.view().Running.Timing.Lease.Or(defaultLease)
}

const defaultLease = 3 * time.Second

// expireProxies takes out the proxies whose lease has expired.
func (l *leadership) expireProxies(ctx context.Context) {
	for _, proxy := range l.controller.view().Proxies {
		if l.live(proxy) {
			continue
		}

		l.controller.record(ctx, "proxy removed", registry.Command{
			RemoveProxy: &registry.RemoveProxy{Proxy: proxy.Name, Instance: proxy.Instance},
		}, "proxy", proxy.Name)
	}
}

// inForce reports whether every proxy that may still hold a lease has a version of the state in force.
func (l *leadership) inForce(version uint64) bool {
	for _, proxy := range l.controller.view().Proxies {
		if l.live(proxy) && l.lease(proxy).version < version {
			return false
		}
	}

	return true
}
