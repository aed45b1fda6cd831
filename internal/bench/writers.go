package bench

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"almondgrade/internal/local"
)

// writers write through every proxy at a steady rate, one connection each.
type writers struct {
	options FailoverOptions
	run     *run
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	answered []answered
	unknown  int
}

// answered is an acknowledged write.
type answered struct {
	proxy    int
	sent, at time.Time
}

const writeDatabase = local.PoolName

func startWriters(ctx context.Context, proxies []netip.AddrPort, options FailoverOptions) (*writers, error) {
	addresses := make([]string, len(proxies))
	for i, proxy := range proxies {
		addresses[i] = proxy.String()
	}

	loaded := Options{
		Proxies: addresses, Databases: []string{writeDatabase}, User: local.UserName, Connections: 1, Seed: options.Seed,
	}
	w := &writers{options: options, run: &run{
		options: loaded, callers: newCallers(loaded), ledger: newLedger(),
		name: fmt.Sprintf("f%d-%x", options.Seed, time.Now().UnixNano()),
	}}

	if err := w.run.prepare(ctx); err != nil {
		return nil, err
	}

	ctx, w.cancel = context.WithCancel(ctx)

	for i, proxy := range addresses {
		w.done.Go(func() { w.write(ctx, i, proxy) })
	}

	return w, nil
}

func (w *writers) stop() {
	w.cancel()
	w.done.Wait()
}

// write inserts one row after the other. A write that is given up closes its connection.
func (w *writers) write(ctx context.Context, number int, proxy string) {
	ticker := time.NewTicker(w.options.Period)
	defer ticker.Stop()

	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		id := fmt.Sprintf("%s-%d-%d", w.run.name, number, n)
		sent := time.Now()
		result := judge(w.insert(ctx, proxy, id, n))

		w.run.ledger.file(id, result)
		w.note(answered{number, sent, time.Now()}, result)
	}
}

func (w *writers) insert(ctx context.Context, proxy, id string, value int) error {
	// The write in progress at the end of the run is finished, so that its outcome is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.options.Patience)
	defer cancel()

	t := target{proxy, writeDatabase, "bench-failover"}

	return w.run.callers.with(ctx, t, func(conn *pgconn.PgConn) error {
		_, err := query(ctx, conn, insertFiling, id, "failover", strconv.Itoa(value))

		return err
	})
}

func (w *writers) note(write answered, result outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()

	switch result {
	case acknowledged:
		w.answered = append(w.answered, write)
	case unknown:
		w.unknown++
	case refused:
	}
}

// resumed returns the number of proxies through which a write was acknowledged after a time that was sent after the
// fault.
func (w *writers) resumed(injected, from time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.firstLocked(injected, from))
}

func (w *writers) firstLocked(injected, from time.Time) map[int]time.Time {
	first := map[int]time.Time{}

	for i := len(w.answered) - 1; i >= 0 && w.answered[i].at.After(from); i-- {
		if each := w.answered[i]; each.sent.After(injected) {
			first[each.proxy] = each.at
		}
	}

	return first
}

// around returns the last acknowledgement before the end of a failover, and the first ones after it through any
// and through every proxy.
func (w *writers) around(injected, finished time.Time) (before, first, last time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, each := range w.answered {
		if !each.at.After(finished) && each.at.After(before) {
			before = each.at
		}
	}

	for _, at := range w.firstLocked(injected, finished) {
		if first.IsZero() || at.Before(first) {
			first = at
		}

		if at.After(last) {
			last = at
		}
	}

	return before, first, last
}

func (w *writers) counts() (acknowledged, unknown int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.answered), w.unknown
}

// audit compares the rows with what was acknowledged.
func (w *writers) audit(ctx context.Context) (Violations, error) {
	defer w.run.callers.close(ctx)

	if err := w.run.audit(ctx); err != nil {
		return Violations{}, eris.Wrap(err, "check the acknowledged writes")
	}

	return w.run.ledger.violations, nil
}
