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

// writers insert rows through every proxy at a steady rate, with one connection each.
type writers struct {
	options     FailoverOptions
	run         *run
	stopWriting context.CancelFunc
	tasks       sync.WaitGroup

	mu           sync.Mutex
	acknowledged []acknowledgedWrite
	unknown      int
}

// acknowledgedWrite holds the proxy and the times of a write that was acknowledged.
type acknowledgedWrite struct {
	proxy                  int
	sentAt, acknowledgedAt time.Time
}

const writeDatabase = local.PoolName

func startWriters(ctx context.Context, proxies []netip.AddrPort, options FailoverOptions) (*writers, error) {
	addresses := make([]string, len(proxies))
	for i, proxy := range proxies {
		addresses[i] = proxy.String()
	}

	runOptions := Options{
		Proxies: addresses, Databases: []string{writeDatabase}, User: local.UserName, Connections: 1, Seed: options.Seed,
	}
	w := &writers{options: options, run: &run{
		options: runOptions, connections: newConnectionPools(runOptions), ledger: newLedger(),
		idPrefix: fmt.Sprintf("f%d-%x", options.Seed, time.Now().UnixNano()),
	}}

	if err := w.run.createRecords(ctx); err != nil {
		return nil, err
	}

	ctx, w.stopWriting = context.WithCancel(ctx)

	for i, proxy := range addresses {
		w.tasks.Go(func() { w.runWriter(ctx, i, proxy) })
	}

	return w, nil
}

func (w *writers) stop() {
	w.stopWriting()
	w.tasks.Wait()
}

// runWriter inserts rows through one proxy until the context ends. A write that times out closes its connection.
func (w *writers) runWriter(ctx context.Context, proxyIndex int, proxy string) {
	ticker := time.NewTicker(w.options.WriteInterval)
	defer ticker.Stop()

	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		id := fmt.Sprintf("%s-%d-%d", w.run.idPrefix, proxyIndex, n)
		sent := time.Now()
		result := outcomeOf(w.insert(ctx, proxy, id, n))

		w.run.ledger.recordRowOutcome(id, result)
		w.recordWrite(acknowledgedWrite{proxyIndex, sent, time.Now()}, result)
	}
}

func (w *writers) insert(ctx context.Context, proxy, id string, value int) error {
	// A write in progress at the end of the run continues, so that its outcome is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.options.WriteTimeout)
	defer cancel()

	t := target{proxy, writeDatabase, "bench-failover"}

	return w.run.connections.withConnection(ctx, t, func(conn *pgconn.PgConn) error {
		_, err := query(ctx, conn, insertFiling, id, "failover", strconv.Itoa(value))

		return err
	})
}

func (w *writers) recordWrite(write acknowledgedWrite, result outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()

	switch result {
	case acknowledged:
		w.acknowledged = append(w.acknowledged, write)
	case unknown:
		w.unknown++
	case refused:
	}
}

// resumedProxies returns the number of proxies through which a write that was sent after the fault was acknowledged after
// the given time.
func (w *writers) resumedProxies(injected, from time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.firstAcknowledgementsLocked(injected, from))
}

func (w *writers) firstAcknowledgementsLocked(injected, from time.Time) map[int]time.Time {
	first := map[int]time.Time{}

	for i := len(w.acknowledged) - 1; i >= 0 && w.acknowledged[i].acknowledgedAt.After(from); i-- {
		if each := w.acknowledged[i]; each.sentAt.After(injected) {
			first[each.proxy] = each.acknowledgedAt
		}
	}

	return first
}

// acknowledgementsAround returns the time of the last acknowledgement before the end of a failover, the time of the first
// one after it through any proxy, and the time at which every proxy had acknowledged a write.
func (w *writers) acknowledgementsAround(injected, finished time.Time) (before, first, last time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, each := range w.acknowledged {
		if !each.acknowledgedAt.After(finished) && each.acknowledgedAt.After(before) {
			before = each.acknowledgedAt
		}
	}

	for _, at := range w.firstAcknowledgementsLocked(injected, finished) {
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

	return len(w.acknowledged), w.unknown
}

// checkRows compares the rows in the database with the ledger and returns all violations.
func (w *writers) checkRows(ctx context.Context) (Violations, error) {
	defer w.run.connections.close(ctx)

	if err := w.run.checkFinalState(ctx); err != nil {
		return Violations{}, eris.Wrap(err, "check the acknowledged writes")
	}

	return w.run.ledger.violations, nil
}
