package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondgrade/io/backend"
)

const (
	// watchAfter is the time without a byte from a backend server after which the proxy asks whether the server
	// still works on the statement.
	watchAfter = time.Second
	// watchAgain is the time between two questions. The server may have finished just before the first one; its
	// answer then arrives before the second.
	watchAgain = 300 * time.Millisecond
	// watchTimeout bounds one question.
	watchTimeout = time.Second
)

const counterSilent = "connection_silent"

// errSilent is the error of a connection over which the server neither works nor answers.
var errSilent = errors.New("the connection to the backend server has gone silent")

// watchdog ends the wait for an answer that will not come: something between proxy and server has lost track of the
// connection, while the server itself answers over new ones. A statement that runs for long is left alone.
type watchdog struct {
	session *session
	pool    *serverPool
	conn    *backend.Conn
	began   time.Time

	mu     sync.Mutex
	timer  *time.Timer
	ended  bool
	silent bool
}

// watchSilence starts a watchdog for the answer to one request. It costs one timer as long as the server answers in time.
// A request that is not complete is not watched: the server waits for the caller, and nobody is silent.
func (s *session) watchSilence(held *lease, complete bool) *watchdog {
	w := &watchdog{session: s, pool: held.pool, conn: held.conn, began: time.Now()}
	if !complete {
		return w
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.timer = time.AfterFunc(watchAfter, func() { w.check(0, false) })

	return w
}

// end stops the watchdog and returns the error that explains a failed exchange.
func (w *watchdog) end(err error) error {
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

// check asks the server unless bytes have arrived since the last look. Idle says that the server did not work during
// the wait with the number of the given read.
func (w *watchdog) check(read uint64, idle bool) {
	now, waits := w.conn.ReadProgress()
	if !waits {
		w.again(watchAfter, 0, false)

		return
	}

	if idle && now == read {
		w.declareSilent()

		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()

	working, err := w.pool.inquirer.HasActiveStatement(ctx, w.conn)
	if err != nil || working {
		w.again(watchAfter, 0, false)

		return
	}

	w.again(watchAgain, now, true)
}

func (w *watchdog) again(after time.Duration, read uint64, idle bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.ended {
		w.timer = time.AfterFunc(after, func() { w.check(read, idle) })
	}
}

// declareSilent ends the exchange and closes what else may have gone silent with the connection.
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
	server.counters.add(counterSilent)
	server.options.Logger.Info("connection to backend server has gone silent", "server", w.pool.server)

	// What was idle when the connection went silent may be silent, too.
	go w.pool.CloseIdleBefore(w.began)
}
