package gateway

import (
	"sync"
	"time"

	"almondgrade/core/admission"
	"almondgrade/core/result"
)

const (
	// gateWaiting bounds the statements of each class that wait for one server.
	gateWaiting = 128
	// gateMost is the greatest number of statements that a proxy has at one server at once. Servers run a few at a time
	// and keep a short queue.
	gateMost = 32
	// gateStart is that number at first, and gateCut the part that is left of it after the server had no room.
	gateStart = 8
	gateCut   = 0.7
	// cutInterval is the least time between two cuts: refusals of statements sent together count once.
	cutInterval = 50 * time.Millisecond
	// urgentPriority is the greatest priority number of urgent pools.
	urgentPriority = 1
)

// gate decides which statements are sent to a server now, which wait and which are refused.
//
// The load that it answers: a primary that serves all reads of its group because its replicas are far behind, with half
// as many slots as the load needs. Without it, every statement waits in the server's own queue behind routine reads
// until all are late. With it, urgent statements go first, and a statement that can't be done within its pool's aim is
// refused at once, so that those that are accepted are in time.
type gate struct {
	mutex sync.Mutex
	queue *admission.Queue[*turn]
	limit float64
	cut   time.Time
}

// turn is a statement that waits at a gate.
type turn struct {
	ready chan struct{}
}

func newGate() *gate {
	return &gate{limit: gateStart, queue: admission.New[*turn](admission.Limits{Running: gateStart, Waiting: gateWaiting})}
}

// enter waits until a statement may be sent. It fails at once if the statement could not start by the given time.
func (g *gate) enter(server string, start time.Time, priority int) error {
	item := admission.Item[*turn]{Value: &turn{ready: make(chan struct{}, 1)}, Class: admission.Routine, Deadline: start}
	if priority <= urgentPriority {
		item.Class = admission.Urgent
	}

	g.mutex.Lock()
	decision := g.queue.Offer(time.Now(), item)
	g.mutex.Unlock()

	switch {
	case decision.Run:
		return nil
	case decision.Code != result.OK:
		return result.New(decision.Code, "server %s has too much work; the expected wait is %s", server,
			decision.Wait.Round(time.Millisecond))
	}

	timer := time.NewTimer(time.Until(start))
	defer timer.Stop()

	select {
	case <-item.Value.ready:
		return nil
	case <-timer.C:
	}

	g.mutex.Lock()
	withdrawn := g.queue.Withdraw(item.Value)
	g.mutex.Unlock()

	if !withdrawn {
		// Its turn came at the same moment.
		return nil
	}

	return result.New(result.DeadlinePassed, "server %s had too much work for the statement to start in time", server)
}

// leave notes that a statement ended, and lets others start. Refused says that the server had no room for it.
func (g *gate) leave(took time.Duration, refused bool) {
	now := time.Now()

	g.mutex.Lock()
	defer g.mutex.Unlock()

	switch {
	case refused && now.Sub(g.cut) >= cutInterval:
		g.cut = now
		g.limit = max(1, g.limit*gateCut)
	case !refused:
		g.limit = min(gateMost, g.limit+1/g.limit)
	}

	started := g.queue.Done(now, took)
	started = append(started, g.queue.Limit(now, admission.Limits{Running: int(g.limit), Waiting: gateWaiting})...)

	for _, next := range started {
		next.ready <- struct{}{}
	}
}
