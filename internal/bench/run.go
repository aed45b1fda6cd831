package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// Options describe a run.
type Options struct {
	Workload string
	// Proxies are the addresses to load; clerks read through another one than they write to.
	Proxies []string
	// Databases are the names to connect to, POOL or POOL.GROUP.
	Databases      []string
	User, Password string
	Duration       time.Duration
	// Warmup is checked like the rest of the run but not measured.
	Warmup time.Duration
	Seed   uint64
	// Scale multiplies all arrival rates.
	Scale float64
	// Records is the number of records of each database.
	Records int
	// Connections is the number of connections of each class to each database of each proxy.
	Connections int
	// Deadline ends a request that has no answer.
	Deadline time.Duration
}

const (
	defaultRecords     = 200
	defaultConnections = 8
	defaultDeadline    = 30 * time.Second
	// settleWithin bounds the time for writing the records and for reading the final state.
	settleWithin = time.Minute
	retryPeriod  = 100 * time.Millisecond
	// The histograms hold latencies from 1 µs to 2 minutes with 3 significant digits.
	maxLatency      = 2 * time.Minute
	latencyDigits   = 3
	createRecords   = `CREATE TABLE IF NOT EXISTS bench_record (id text PRIMARY KEY, name text, version bigint)`
	createFilings   = `CREATE TABLE IF NOT EXISTS bench_filing (id text, record text, value bigint)`
	insertFiling    = `INSERT INTO bench_filing (id, record, value) VALUES ($1, $2, $3)`
	raiseVersion    = `UPDATE bench_record SET version = version + 1 WHERE id = $1 RETURNING version`
	readRecord      = `SELECT id, name, version, pg_is_in_recovery() FROM bench_record WHERE id = $1`
	readFiling      = `SELECT id, value, pg_is_in_recovery() FROM bench_filing WHERE id = $1`
	allVersions     = `SELECT id, version FROM bench_record WHERE id LIKE $1`
	allFilings      = `SELECT id, count(*) FROM bench_filing WHERE id LIKE $1 GROUP BY id`
	auditor         = "bench-audit"
	readRecordWidth = 4
)

func (o Options) withDefaults() Options {
	if o.Scale == 0 {
		o.Scale = 1
	}

	if o.Records == 0 {
		o.Records = defaultRecords
	}

	if o.Connections == 0 {
		o.Connections = defaultConnections
	}

	if o.Deadline == 0 {
		o.Deadline = defaultDeadline
	}

	return o
}

// run is the state of a running benchmark.
type run struct {
	options  Options
	workload Workload
	// name begins the ids of this run, so that runs don't disturb each other.
	name    string
	callers *callers
	ledger  *ledger
	began   time.Time
	results map[string]*measured
}

// measured is what one class has measured.
type measured struct {
	mu        sync.Mutex
	result    ClassResult
	histogram *hdrhistogram.Histogram
}

// Run loads the system and returns what it measured. An error means that there is no result.
func Run(ctx context.Context, options Options) (Result, error) {
	options = options.withDefaults()

	workload, err := find(options.Workload)
	if err != nil {
		return Result{}, err
	}

	if len(options.Proxies) == 0 || len(options.Databases) == 0 || options.Duration <= 0 {
		return Result{}, errors.New("at least one proxy, one database and a duration are needed")
	}

	r := &run{
		options: options, workload: workload, callers: newCallers(options), ledger: newLedger(),
		name: fmt.Sprintf("r%d-%x", options.Seed, time.Now().UnixNano()), results: map[string]*measured{},
	}
	defer r.callers.close(ctx)

	for _, c := range workload.classes {
		r.results[c.name] = &measured{
			histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits), result: ClassResult{States: map[string]int{}},
		}
	}

	if err := r.prepare(ctx); err != nil {
		return Result{}, err
	}

	r.began = time.Now()
	r.load(ctx)

	if err := r.audit(ctx); err != nil {
		return Result{}, err
	}

	return r.result(), nil
}

// prepare writes the records.
func (r *run) prepare(ctx context.Context) error {
	for _, database := range r.options.Databases {
		for _, sql := range []string{createRecords, createFilings} {
			if _, err := r.insist(ctx, database, sql); err != nil {
				return eris.Wrapf(err, "prepare database %s", database)
			}
		}

		for i := range r.options.Records {
			id := r.recordID(database, i)
			_, err := r.insist(ctx, database,
				`INSERT INTO bench_record (id, name, version) VALUES ($1, $2, 0) ON CONFLICT (id) DO NOTHING`, id, recordName(id))

			if err != nil {
				return eris.Wrapf(err, "prepare database %s", database)
			}
		}
	}

	return nil
}

func (r *run) recordID(database string, i int) string {
	return fmt.Sprintf("%s-%s-%d", r.name, database, i)
}

func recordName(id string) string {
	return "name of " + id
}

// insist runs a repeatable statement until it succeeds.
func (r *run) insist(ctx context.Context, database, sql string, parameters ...string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()

	for i := 0; ; i++ {
		var rows [][][]byte

		t := target{r.options.Proxies[i%len(r.options.Proxies)], database, auditor}
		err := r.callers.with(ctx, t, func(conn *pgconn.PgConn) error {
			var err error
			rows, err = query(ctx, conn, sql, parameters...)

			return err
		})

		if err == nil || ctx.Err() != nil {
			return rows, err
		}

		select {
		case <-time.After(retryPeriod):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// load lets the requests of all classes arrive, and returns when the last is answered.
func (r *run) load(ctx context.Context) {
	var arrivals, requests sync.WaitGroup

	for i, c := range r.workload.classes {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))

		arrivals.Go(func() { r.arrive(ctx, c, random, &requests) })
	}

	arrivals.Wait()
	requests.Wait()
}

// arrive starts the requests of a class at exponentially distributed intervals, whether or not earlier ones have
// been answered.
func (r *run) arrive(ctx context.Context, c class, random *rand.Rand, requests *sync.WaitGroup) {
	due := r.began
	end := r.began.Add(r.options.Warmup + r.options.Duration)

	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / (c.rate * r.options.Scale) * float64(time.Second)))
		if due.After(end) {
			return
		}

		q := r.draw(c, n, due, random)

		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}

		requests.Go(func() { r.serve(ctx, q) })
	}
}

// request is one arrival with all that chance decides about it.
type request struct {
	class          class
	id             string
	due            time.Time
	database       string
	record         string
	value          int64
	proxy, another string
}

func (r *run) draw(c class, n int, due time.Time, random *rand.Rand) request {
	proxies := r.options.Proxies
	proxy := random.IntN(len(proxies))
	database := r.options.Databases[random.IntN(len(r.options.Databases))]

	return request{
		class: c, due: due, database: database, id: fmt.Sprintf("%s-%s-%d", r.name, c.name, n),
		record: r.recordID(database, random.IntN(r.options.Records)), value: random.Int64N(1 << 40),
		proxy: proxies[proxy], another: proxies[(proxy+1)%len(proxies)],
	}
}

func (q request) target(proxy string) target {
	return target{proxy, q.database, q.class.name}
}

// priced adds the cost comment of the class, which stand-ins obey and other servers ignore.
func (q request) priced(sql string) string {
	return fmt.Sprintf("%s /* cost %s */", sql, q.class.cost)
}

func (r *run) serve(ctx context.Context, q request) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Deadline)
	defer cancel()

	var err error

	switch q.class.kind {
	case lookup:
		err = r.lookup(ctx, q)
	case update:
		err = r.update(ctx, q)
	case fileAndRead:
		err = r.fileAndRead(ctx, q)
	case fileInTransaction:
		err = r.fileInTransaction(ctx, q)
	}

	r.results[q.class.name].note(err, time.Since(q.due), q.due.Before(r.began.Add(r.options.Warmup)))
}

func (m *measured) note(err error, took time.Duration, warmup bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.result.Arrivals++

	if err != nil {
		m.result.States[state(err)]++
		return
	}

	m.result.Answered++

	if !warmup {
		_ = m.histogram.RecordValue(min(took, maxLatency).Microseconds())
	}
}

// served counts which kind of server answered a read.
func (m *measured) served(recovery []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.result.Reads++

	if string(recovery) == "t" {
		m.result.ReplicaReads++
	}
}

func (r *run) lookup(ctx context.Context, q request) error {
	floor := r.ledger.floor(q.record, time.Now().Add(-q.class.age))

	return r.callers.with(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		rows, err := query(ctx, conn, q.priced(readRecord), q.record)
		if err != nil {
			return err
		}

		if len(rows) == 0 && q.class.age > 0 && time.Since(r.began) < q.class.age {
			return nil // The record is younger than the stated age.
		}

		if len(rows) != 1 || len(rows[0]) != readRecordWidth || string(rows[0][0]) != q.record ||
			string(rows[0][1]) != recordName(q.record) {
			r.ledger.wrong(q.record + ": answer to another request")
			return nil
		}

		version, _ := strconv.ParseInt(string(rows[0][2]), 10, 64)
		r.ledger.checkRead(q.record, version, floor)
		r.results[q.class.name].served(rows[0][3])

		return nil
	})
}

func (r *run) update(ctx context.Context, q request) error {
	r.ledger.send(q.record)

	err := r.callers.with(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		_, err := query(ctx, conn, q.priced(raiseVersion), q.record)
		return err
	})

	r.settle(q, judge(err))

	return err
}

// settle notes the outcome of an update of the request's record.
func (r *run) settle(q request, result outcome) {
	now := time.Now()
	r.ledger.settle(q.record, result, now)

	if result == acknowledged {
		r.ledger.wrote(q.database, now)
	}
}

func (r *run) fileAndRead(ctx context.Context, q request) error {
	value := strconv.FormatInt(q.value, 10)

	err := r.callers.with(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		_, err := query(ctx, conn, q.priced(insertFiling), q.id, q.record, value)
		return err
	})

	r.ledger.file(q.id, judge(err))

	if err != nil {
		return err
	}

	r.ledger.wrote(q.database, time.Now())

	return r.callers.with(ctx, q.target(q.another), func(conn *pgconn.PgConn) error {
		rows, err := query(ctx, conn, q.priced(readFiling), q.id)
		if err != nil {
			return err
		}

		switch {
		case len(rows) == 0:
			r.ledger.stale(q.id + ": row is missing right after its acknowledgement")
		case len(rows) != 1 || string(rows[0][0]) != q.id || string(rows[0][1]) != value:
			r.ledger.wrong(q.id + ": read another row than was written")
		default:
			r.results[q.class.name].served(rows[0][2])
		}

		return nil
	})
}

func (r *run) fileInTransaction(ctx context.Context, q request) error {
	r.ledger.send(q.record)

	result := refused
	err := r.callers.with(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		if _, err := conn.Exec(ctx, "BEGIN").ReadAll(); err != nil {
			return err
		}

		if _, err := query(ctx, conn, q.priced(insertFiling), q.id, q.record, strconv.FormatInt(q.value, 10)); err != nil {
			return err
		}

		if _, err := query(ctx, conn, q.priced(raiseVersion), q.record); err != nil {
			return err
		}

		// Only from here on the transaction may take effect.
		answers, err := conn.Exec(ctx, "COMMIT").ReadAll()
		result = judge(err)

		if err == nil && answers[0].CommandTag.String() != "COMMIT" {
			result = refused
			return errors.New("the transaction was rolled back")
		}

		return err
	})

	r.ledger.file(q.id, result)
	r.settle(q, result)

	return err
}

// audit reads the final state and compares it with what was acknowledged.
func (r *run) audit(ctx context.Context) error {
	versions, filed := map[string]int64{}, map[string]int{}

	for _, database := range r.options.Databases {
		rows, err := r.insist(ctx, database, allVersions, r.name+"-"+database+"-%")
		if err != nil {
			return eris.Wrapf(err, "read the final state of %s", database)
		}

		for _, row := range rows {
			versions[string(row[0])], _ = strconv.ParseInt(string(row[1]), 10, 64)
		}

		if rows, err = r.insist(ctx, database, allFilings, r.name+"-%"); err != nil {
			return eris.Wrapf(err, "read the final state of %s", database)
		}

		for _, row := range rows {
			count, _ := strconv.Atoi(string(row[1]))
			filed[string(row[0])] += count
		}
	}

	r.ledger.audit(versions, filed)

	return nil
}
