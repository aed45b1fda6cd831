package managedproxy

import (
	"sync/atomic"
	"time"

	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

// commitGrace is the time that open transactions have to commit once a planned change of primary has begun. New writes
// wait meanwhile.
const commitGrace = 250 * time.Millisecond

// commitStop ends the commits to the primary of a group during a change of primary. It exists where commits wait for
// replicas: the former primary still acknowledges commits until the platform has carried out the order, and the next
// primary holds only what it had received when it was chosen.
//
// A commit first counts itself in server.runningCommits and then checks that commits are not stopped. Control is told
// that the view of the change is applied only after commits were stopped and the count was zero, so no commit that
// control does not know of is acknowledged later.
type commitStop struct {
	began   time.Time
	stopped atomic.Bool
}

// newCommitStop returns the stop for a group that is changing its primary, or nil if its commits are not stopped. A stop
// that has begun in an earlier view goes on.
func newCommitStop(former *viewGroup, info topology.Group, syncReplicas int, now time.Time) *commitStop {
	if info.Phase == topology.PhaseStable || syncReplicas == 0 {
		return nil
	}

	if former != nil && former.commitStop != nil && former.Primary == info.Primary {
		return former.commitStop
	}

	begun := &commitStop{began: now}
	// A primary that has failed is not waited for.
	begun.stopped.Store(!info.Planned)

	return begun
}

// settled stops commits once no transaction that has written is open or the grace period is over, and then reports
// whether all have ended.
func (c *commitStop) settled(former *server, now time.Time) bool {
	if !c.stopped.Load() && former.openWrites.Load() > 0 && now.Sub(c.began) < commitGrace {
		return false
	}

	c.stopped.Store(true)

	return former.runningCommits.Load() == 0
}

// SettledVersion returns the version of the newest view whose effects are complete: no commit that began under an
// earlier view is running at a primary that a planned change replaces. Control takes it for the applied version.
func (g *Gateway) SettledVersion() managedcontrol.Version {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	current, now := g.view.Load(), time.Now()
	settled := true

	for _, group := range current.groups {
		if group.commitStop != nil && group.Planned && group.primary != nil && !group.commitStop.settled(group.primary, now) {
			settled = false
		}
	}

	if settled {
		g.settledVersion = current.version
	}

	return g.settledVersion
}
