package managedproxy

import (
	"sync"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/topology"
	"almondgrade/io/managedcontrol"
)

// acknowledgedRetention is the time for which a proxy that has ceased to be a holder reports what it has acknowledged. Replicas are up to
// 30 s behind.
const acknowledgedRetention = time.Minute

// acknowledgedCommits are the last commits of each group that were acknowledged to callers because control waits for this proxy. Control
// knows them when it chooses the next primary, and need not know each replica that may have received them. It is safe for concurrent use.
type acknowledgedCommits struct {
	mutex   sync.Mutex
	byGroup map[string]acknowledgedCommit
}

type acknowledgedCommit struct {
	managedcontrol.AcknowledgedCommit
	recordedAt time.Time
}

// record records a commit before its caller is told.
func (a *acknowledgedCommits) record(now time.Time, group, primary string, at position.Position) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.byGroup == nil {
		a.byGroup = make(map[string]acknowledgedCommit)
	}

	if last := a.byGroup[group]; last.Primary == primary {
		at = position.Later(at, last.Position)
	}

	a.byGroup[group] = acknowledgedCommit{managedcontrol.AcknowledgedCommit{Primary: primary, Position: at}, now}
}

// AcknowledgedCommits returns the last commits that were acknowledged to callers, by group, where commits wait for replicas: those of
// groups that are changing their primary, and of groups whose changes this proxy does not see because others hold the connections.
func (g *Gateway) AcknowledgedCommits() map[string]managedcontrol.AcknowledgedCommit {
	now, groups := time.Now(), g.view.Load().groups

	g.acknowledged.mutex.Lock()
	defer g.acknowledged.mutex.Unlock()

	var reported map[string]managedcontrol.AcknowledgedCommit

	for name, last := range g.acknowledged.byGroup {
		group := groups[name]
		if group == nil && now.Sub(last.recordedAt) > acknowledgedRetention {
			delete(g.acknowledged.byGroup, name)

			continue
		}

		if group != nil && group.Phase == topology.PhaseStable {
			continue
		}

		if reported == nil {
			reported = make(map[string]managedcontrol.AcknowledgedCommit)
		}

		reported[name] = last.AcknowledgedCommit
	}

	return reported
}
