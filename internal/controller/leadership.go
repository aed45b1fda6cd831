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

// leaseMargin is added to the duration of a lease before the leader considers it expired. The proxy counts from when it
// sent its renewal, the leader from when it received it; the margin covers different clock rates.
const leaseMargin = time.Second

// leadership is the state that a leader keeps only in memory, for one period of leadership.
type leadership struct {
	controller *Controller
	ctx        context.Context //nolint:containedctx // The period of leadership.
	beganAt    time.Time

	mutex    sync.Mutex
	renewals map[string]renewal
	// announcements holds the order of the latest announcement of each server that was accepted, whether it is in the log or not.
	announcements map[announcer]announcementOrder
	workers       map[string]*worker
	// reconcileSlots limits the groups that are reconciled at once, because a new leader reconciles all of them. Failovers
	// need no slot.
	reconcileSlots chan struct{}
	// wokenView is the view for which the workers were last woken. Only run uses it.
	wokenView *registry.View
}

// maxConcurrentReconciles bounds the number of groups that are reconciled at once.
const maxConcurrentReconciles = 64

// renewal is the last renewal of a proxy.
type renewal struct {
	instance      uint64
	renewedAt     time.Time
	version       uint64
	configuration uint64
}

// announcer identifies a server. One that was recorded for a group that no pool has may have the name of a server of another group.
type announcer struct {
	name, group string
}

// announcementOrder orders the announcements of one server.
type announcementOrder struct {
	incarnation uint64
	sequence    uint64
}

func (o announcementOrder) before(other announcementOrder) bool {
	if o.incarnation != other.incarnation {
		return o.incarnation < other.incarnation
	}

	return o.sequence < other.sequence
}

func newLeadership(controller *Controller, ctx context.Context) *leadership { //nolint:revive // See the field ctx.
	return &leadership{
		controller: controller, ctx: ctx, beganAt: controller.options.Timer.Now(),
		renewals: make(map[string]renewal), announcements: make(map[announcer]announcementOrder), workers: make(map[string]*worker),
		reconcileSlots: make(chan struct{}, maxConcurrentReconciles),
	}
}

// initialise waits until the leadership is confirmed, so that the state is current, and writes the first configuration of
// a new system.
func (l *leadership) initialise(ctx context.Context) error {
	c := l.controller

	for {
		if err := c.confirmLeadership(ctx); err == nil {
			break
		} else if ctx.Err() != nil {
			return err
		}

		if err := timer.Sleep(ctx, leaderCheckInterval); err != nil {
			return err
		}
	}

	if c.view().ConfigurationNumber > 0 {
		return nil
	}

	encoded, err := json.Marshal(c.options.InitialSettings)
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
	stop := l.controller.options.Timer.Every(leaderCheckInterval, func(time.Time) {
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

// recordRenewal records a proxy's renewal.
func (l *leadership) recordRenewal(proxy registry.Proxy, version, configuration uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.renewals[proxy.Name] = renewal{
		instance: proxy.Instance, renewedAt: l.controller.options.Timer.Now(), version: version,
		configuration: configuration,
	}
}

// lastRenewal returns the last renewal of a proxy. A proxy that has not renewed its lease since the leadership began counts
// as renewed at that time, because the previous leader may have renewed it until then.
func (l *leadership) lastRenewal(proxy registry.Proxy) renewal {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if last, found := l.renewals[proxy.Name]; found && last.instance == proxy.Instance {
		return last
	}

	return renewal{instance: proxy.Instance, renewedAt: l.beganAt}
}

// mayHoldLease reports whether a proxy may still hold a lease.
func (l *leadership) mayHoldLease(proxy registry.Proxy) bool {
	limit := l.leaseDuration() + leaseMargin

	return l.controller.options.Timer.Now().Sub(l.lastRenewal(proxy).renewedAt) <= limit
}

func (l *leadership) leaseDuration() time.Duration {
	return l.controller.view().Running.Timing.Lease.Or(defaultLeaseDuration)
}

const defaultLeaseDuration = 3 * time.Second

// expireProxies removes the proxies whose lease has expired.
func (l *leadership) expireProxies(ctx context.Context) {
	for _, proxy := range l.controller.view().Proxies {
		if l.mayHoldLease(proxy) {
			continue
		}

		l.controller.recordCommand(ctx, "proxy removed", registry.Command{
			RemoveProxy: &registry.RemoveProxy{Proxy: proxy.Name, Instance: proxy.Instance},
		}, "proxy", proxy.Name)
	}
}

// isInForce reports whether every proxy that may still hold a lease has applied a version of the state or a later one.
func (l *leadership) isInForce(version uint64) bool {
	for _, proxy := range l.controller.view().Proxies {
		if l.mayHoldLease(proxy) && l.lastRenewal(proxy).version < version {
			return false
		}
	}

	return true
}
