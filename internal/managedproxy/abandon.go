package managedproxy

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"almondgrade/core/result"
	"almondgrade/core/timer"
)

// callerCheckInterval is the time between two checks whether the caller of a waiting statement is still there. Target
// latencies are 150 ms and more.
const callerCheckInterval = 25 * time.Millisecond

// abandonRepeatInterval is the time after which a holder is told again that a caller is gone: the statement may not have
// waited yet.
const abandonRepeatInterval = 4 * callerCheckInterval

// errCallerGone is returned for a statement that left the queue because its caller has closed its connection.
var errCallerGone = result.New(result.DeadlinePassed, "the caller closed its connection while its statement waited")

// waitingCaller is the caller of a statement that waits for a connection.
type waitingCaller interface {
	// Gone reports whether the caller has closed its connection.
	Gone() bool
	// setWaiting is called when the statement begins to wait, and when it ends.
	setWaiting(waiting bool)
}

// Gone implements waitingCaller.
func (s *session) Gone() bool {
	if s.caller != nil {
		return s.caller.Gone()
	}

	return s.abandoned.Load()
}

// setWaiting implements waitingCaller.
func (s *session) setWaiting(waiting bool) {
	if s.caller == nil && s.token != 0 {
		s.gateway.waits.set(s, waiting)
	}
}

// await waits for a grant, until the timer fires, or until the caller is gone.
func await(grants <-chan grant, caller waitingCaller, expired <-chan time.Time) (given grant, served, gone bool) {
	var check <-chan time.Time

	if caller != nil {
		ticker := time.NewTicker(callerCheckInterval)
		defer ticker.Stop()

		check = ticker.C

		caller.setWaiting(true)
		defer caller.setWaiting(false)
	}

	for {
		select {
		case given := <-grants:
			return given, true, false
		case <-expired:
			return grant{}, false, false
		case <-check:
			if caller.Gone() {
				return grant{}, false, true
			}
		}
	}
}

// waitingForwards are the sessions of other proxies' callers whose statements wait here, by token. It is safe for
// concurrent use.
//
// It is built for callers that give up and leave together, while most statements are forwarded: without it they would wait
// at the holder, and take the place of others, until they run for nobody.
type waitingForwards struct {
	// ended is true once this proxy forwards no more statements of its own callers.
	ended atomic.Bool

	mutex    sync.Mutex
	sessions map[uint64]*session
}

func (w *waitingForwards) set(waiting *session, present bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if w.sessions == nil {
		w.sessions = make(map[uint64]*session)
	}

	if present {
		w.sessions[waiting.token] = waiting
	} else if w.sessions[waiting.token] == waiting {
		// Otherwise the sender has given up this statement, and another one of its session waits.
		delete(w.sessions, waiting.token)
	}
}

// abandon records that the caller of a statement is gone. A statement that does not wait is not affected.
func (w *waitingForwards) abandon(token uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if waiting := w.sessions[token]; waiting != nil {
		waiting.abandoned.Store(true)
	}
}

// forwardWatch is the statement of a session that a holder has not answered yet.
type forwardWatch struct {
	active atomic.Bool

	mutex sync.Mutex
	to    netip.AddrPort
	// checkAt is the time of the next check whether the caller is still there.
	checkAt time.Time
	counted bool
}

// begin records that a statement is sent to a holder.
func (w *forwardWatch) begin(to netip.AddrPort, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.to, w.checkAt, w.counted = to, now.Add(callerCheckInterval), false
	w.active.Store(true)
}

// end records that the holder has answered. After it the caller is no longer asked.
func (w *forwardWatch) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.active.Store(false)
}

// target returns the holder that has not answered yet, if any.
func (w *forwardWatch) target() (to netip.AddrPort, active bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.to, w.active.Load()
}

// check returns the holder that has to be told that the caller is gone, and whether it is told for the first time.
func (w *forwardWatch) check(caller Caller, now time.Time) (to netip.AddrPort, first, gone bool) {
	if !w.active.Load() {
		return to, false, false
	}

	w.mutex.Lock()
	defer w.mutex.Unlock()

	if !w.active.Load() || now.Before(w.checkAt) || !caller.Gone() {
		return to, false, false
	}

	first = !w.counted
	w.counted, w.checkAt = true, now.Add(abandonRepeatInterval)

	return w.to, first, true
}

// abandonForwards tells holders which of the statements that may wait there have lost their callers.
func (g *Gateway) abandonForwards(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	for session := range g.sessions {
		to, first, gone := session.watch.check(session.caller, now)
		if !gone {
			continue
		}

		if first {
			g.count("caller_gone")
		}

		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
			defer cancel()

			g.sendAbandon(ctx, to, session.token)
		}()
	}
}

// errEnding means that a statement was not forwarded because this proxy ends.
var errEnding = errors.New("this proxy ends")

// AbandonForwards ends the forwarding of statements and tells holders that this proxy ends. The statements of its callers
// that wait there leave the queue and are answered as not run, in place of an unknown outcome when the connection to the
// holder ends. It repeats this for abandonRepeatInterval at most, because a statement may not have waited yet.
func (g *Gateway) AbandonForwards() {
	g.waits.ended.Store(true)

	ctx, cancel := context.WithTimeout(context.Background(), abandonRepeatInterval)
	defer cancel()

	for g.abandonActiveForwards(ctx) > 0 {
		if timer.Sleep(ctx, callerCheckInterval) != nil {
			return
		}
	}
}

// abandonActiveForwards tells the holder of each statement that is not answered yet, and returns the number of these.
func (g *Gateway) abandonActiveForwards(ctx context.Context) (count int) {
	var requests sync.WaitGroup

	g.mutex.Lock()
	for session := range g.sessions {
		if to, active := session.watch.target(); active {
			count++

			requests.Go(func() { g.sendAbandon(ctx, to, session.token) })
		}
	}
	g.mutex.Unlock()

	requests.Wait()

	return count
}

// sendAbandon tells a holder that a statement need not wait any longer.
func (g *Gateway) sendAbandon(ctx context.Context, to netip.AddrPort, token uint64) {
	if _, err := g.options.Forward(ctx, to, &ForwardRequest{Token: token, Abandon: true}); err != nil {
		g.options.Logger.Debug("holder could not be told that a statement is abandoned", "error", err)
	}
}
