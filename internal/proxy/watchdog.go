package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondgrade/io/backend"
)

const (
	// silenceCheckDelay is the time without a byte from a backend server after which the proxy asks the server whether
	// it still runs the statement.
	silenceCheckDelay = time.Second
	// silenceRecheckDelay is the time between two checks. The server may have finished just before the first one; its
	// answer then arrives before the second.
	silenceRecheckDelay = 300 * time.Millisecond
	// silenceCheckTimeout bounds one check.
	silenceCheckTimeout = time.Second
)

const counterConnectionSilent = "connection_silent"

// errSilent is the error of a connection on which the server neither runs a statement nor answers.
var errSilent = errors.New("the connection to the backend server has gone silent")

// watchdog ends the wait for an answer that will not arrive, because something on the network path has lost track of
// the connection while the server itself answers on new ones. It does not affect long-running statements.
type watchdog struct {
	session *session
	pool    *serverPool
	conn    *backend.Conn
	started time.Time

	mu     sync.Mutex
	timer  *time.Timer
	ended  bool
	silent bool
}

// startWatchdog starts a watchdog for the answer to one request. It costs one timer as long as the server answers in
// time. An incomplete request is not watched, because the server waits for the caller.
func (s *session) startWatchdog(lease *connLease, complete bool) *watchdog {
	w := &watchdog{session: s, pool: lease.pool, conn: lease.conn, started: time.Now()}
	if !complete {
		return w
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.timer = time.AfterFunc(silenceCheckDelay, func() { w.check(0, false) })

	return w
}

// stop stops the watchdog and returns the error of the exchange, which is errSilent if the watchdog ended it.
func (w *watchdog) stop(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}

	if err != nil && w.silent {
		return errSilent
	}

	return err
}

// check asks the server whether it runs the statement, if the connection waits for bytes. WasIdle is true if
// the server did not run it at the last check, when the connection waited for the read with the number lastRead. If it
// still waits for that read, the connection is silent.
func (w *watchdog) check(lastRead uint64, wasIdle bool) {
	read, waits := w.conn.ReadProgress()
	if !waits {
		w.schedule(silenceCheckDelay, 0, false)

		return
	}

	if wasIdle && read == lastRead {
		w.declareSilent()

		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
	defer cancel()

	working, err := w.pool.inquirer.HasActiveStatement(ctx, w.conn)
	if err != nil || working {
		w.schedule(silenceCheckDelay, 0, false)

		return
	}

	w.schedule(silenceRecheckDelay, read, true)
}

func (w *watchdog) schedule(after time.Duration, lastRead uint64, wasIdle bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.ended {
		w.timer = time.AfterFunc(after, func() { w.check(lastRead, wasIdle) })
	}
}

// declareSilent ends the exchange and closes idle connections that may have gone silent as well.
func (w *watchdog) declareSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.ended {
		return
	}

	w.silent = true
	w.conn.Taint()
	_ = w.conn.SetDeadline(time.Unix(1, 0))

	server := w.session.server
	server.counters.increment(counterConnectionSilent)
	server.options.Logger.Info("connection to backend server has gone silent; ending the exchange", "server", w.pool.server)

	// Connections that were idle when this one went silent may be silent, too.
	go w.pool.CloseIdleBefore(w.started)
}
