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
	// Proxies are the addresses to send requests to. Requests that insert a row and read it use two of them.
	Proxies []string
	// Databases are the database names to connect to, POOL or POOL.GROUP.
	Databases      []string
	User, Password string
	Duration       time.Duration
	// Warmup precedes the Duration. Its requests are checked like the others but not measured.
	Warmup time.Duration
	Seed   uint64
	// Scale multiplies all arrival rates.
	Scale float64
	// Records is the number of records in each database.
	Records int
	// Connections is the maximum number of connections of each class to each database through each proxy.
	Connections int
	// Deadline is the time after which a request without an answer fails.
	Deadline time.Duration
}

const (
	defaultRecords     = 200
	defaultConnections = 8
	defaultDeadline    = 30 * time.Second
	// retryTimeout bounds the retries of each statement that creates the records or reads the final state.
	retryTimeout  = time.Minute
	retryInterval = 100 * time.Millisecond
	// The histograms hold latencies from 1 µs to 2 minutes with 3 significant digits.
	maxLatency        = 2 * time.Minute
	latencyDigits     = 3
	createRecordTable = `CREATE TABLE IF NOT EXISTS bench_record (id text PRIMARY KEY, name text, version bigint)`
	createFilingTable = `CREATE TABLE IF NOT EXISTS bench_filing (id text, record text, value bigint)`
	insertFiling      = `INSERT INTO bench_filing (id, record, value) VALUES ($1, $2, $3)`
	incrementVersion  = `UPDATE bench_record SET version = version + 1 WHERE id = $1 RETURNING version`
	readRecord        = `SELECT id, name, version, pg_is_in_recovery() FROM bench_record WHERE id = $1`
	readFiling        = `SELECT id, value, pg_is_in_recovery() FROM bench_filing WHERE id = $1`
	selectVersions    = `SELECT id, version FROM bench_record WHERE id LIKE $1`
	countFilings      = `SELECT id, count(*) FROM bench_filing WHERE id LIKE $1 GROUP BY id`
	auditApplication  = "bench-audit"
	readRecordColumns = 4
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
	// idPrefix starts all ids of this run, so that the records of different runs don't collide.
	idPrefix    string
	connections *connectionPools
	ledger      *ledger
	began       time.Time
	results     map[string]*classMeasurement
}

// classMeasurement collects the measurements of one class of requests.
type classMeasurement struct {
	mu        sync.Mutex
	result    ClassResult
	histogram *hdrhistogram.Histogram
}

// Run sends the requests of a workload to a system and returns what it measured. An error means that there is no result.
func Run(ctx context.Context, options Options) (Result, error) {
	options = options.withDefaults()

	workload, err := findWorkload(options.Workload)
	if err != nil {
		return Result{}, err
	}

	if len(options.Proxies) == 0 || len(options.Databases) == 0 || options.Duration <= 0 {
		return Result{}, errors.New("at least one proxy, one database and a positive duration are required")
	}

	r := &run{
		options: options, workload: workload, connections: newConnectionPools(options), ledger: newLedger(),
		idPrefix: fmt.Sprintf("r%d-%x", options.Seed, time.Now().UnixNano()), results: map[string]*classMeasurement{},
	}
	defer r.connections.close(ctx)

	for _, c := range workload.classes {
		r.results[c.name] = &classMeasurement{
			histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits), result: ClassResult{States: map[string]int{}},
		}
	}

	if err := r.createRecords(ctx); err != nil {
		return Result{}, err
	}

	r.began = time.Now()
	r.generateLoad(ctx)

	if err := r.checkFinalState(ctx); err != nil {
		return Result{}, err
	}

	return r.result(), nil
}

// createRecords creates the tables and records in all databases.
func (r *run) createRecords(ctx context.Context) error {
	for _, database := range r.options.Databases {
		for _, sql := range []string{createRecordTable, createFilingTable} {
			if _, err := r.queryUntilSuccess(ctx, database, sql); err != nil {
				return eris.Wrapf(err, "prepare database %s", database)
			}
		}

		for i := range r.options.Records {
			id := r.recordID(database, i)
			_, err := r.queryUntilSuccess(ctx, database,
				`INSERT INTO bench_record (id, name, version) VALUES ($1, $2, 0) ON CONFLICT (id) DO NOTHING`, id, recordName(id))

			if err != nil {
				return eris.Wrapf(err, "prepare database %s", database)
			}
		}
	}

	return nil
}

func (r *run) recordID(database string, i int) string {
	return fmt.Sprintf("%s-%s-%d", r.idPrefix, database, i)
}

func recordName(id string) string {
	return "name of " + id
}

// queryUntilSuccess runs an idempotent statement, through the proxies in turn, until it succeeds.
func (r *run) queryUntilSuccess(ctx context.Context, database, sql string, parameters ...string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()

	for i := 0; ; i++ {
		var rows [][][]byte

		t := target{r.options.Proxies[i%len(r.options.Proxies)], database, auditApplication}
		err := r.connections.withConnection(ctx, t, func(conn *pgconn.PgConn) error {
			var err error
			rows, err = query(ctx, conn, sql, parameters...)

			return err
		})

		if err == nil || ctx.Err() != nil {
			return rows, err
		}

		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// generateLoad generates the requests of all classes and returns when the last one has ended.
func (r *run) generateLoad(ctx context.Context) {
	var arrivals, requests sync.WaitGroup

	for i, c := range r.workload.classes {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))

		arrivals.Go(func() { r.generateArrivals(ctx, c, random, &requests) })
	}

	arrivals.Wait()
	requests.Wait()
}

// generateArrivals starts the requests of a class at exponentially distributed intervals, whether or not earlier requests
// have been answered.
func (r *run) generateArrivals(ctx context.Context, c class, random *rand.Rand, requests *sync.WaitGroup) {
	due := r.began
	end := r.began.Add(r.options.Warmup + r.options.Duration)

	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / (c.arrivalsPerSecond * r.options.Scale) * float64(time.Second)))
		if due.After(end) {
			return
		}

		q := r.newRequest(c, n, due, random)

		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}

		requests.Go(func() { r.runRequest(ctx, q) })
	}
}

// request is one request with everything that is chosen at random for it.
type request struct {
	class             class
	id                string
	due               time.Time
	database          string
	record            string
	value             int64
	proxy, otherProxy string
}

func (r *run) newRequest(c class, n int, due time.Time, random *rand.Rand) request {
	proxies := r.options.Proxies
	proxy := random.IntN(len(proxies))
	database := r.options.Databases[random.IntN(len(r.options.Databases))]

	return request{
		class: c, due: due, database: database, id: fmt.Sprintf("%s-%s-%d", r.idPrefix, c.name, n),
		record: r.recordID(database, random.IntN(r.options.Records)), value: random.Int64N(1 << 40),
		proxy: proxies[proxy], otherProxy: proxies[(proxy+1)%len(proxies)],
	}
}

func (q request) target(proxy string) target {
	return target{proxy, q.database, q.class.name}
}

// withCost appends the cost of the class as a comment, which stand-ins simulate and other servers ignore.
func (q request) withCost(sql string) string {
	return fmt.Sprintf("%s /* cost %s */", sql, q.class.statementCost)
}

func (r *run) runRequest(ctx context.Context, q request) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Deadline)
	defer cancel()

	var err error

	switch q.class.kind {
	case lookupRecord:
		err = r.lookup(ctx, q)
	case updateRecord:
		err = r.update(ctx, q)
	case insertAndRead:
		err = r.insertAndRead(ctx, q)
	case insertInTransaction:
		err = r.insertInTransaction(ctx, q)
	}

	r.results[q.class.name].recordRequest(err, time.Since(q.due), q.due.Before(r.began.Add(r.options.Warmup)))
}

func (m *classMeasurement) recordRequest(err error, took time.Duration, warmup bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.result.Arrivals++

	if err != nil {
		m.result.States[errorState(err)]++
		return
	}

	m.result.Answered++

	if !warmup {
		_ = m.histogram.RecordValue(min(took, maxLatency).Microseconds())
	}
}

// recordRead counts a read, and whether a replica served it.
func (m *classMeasurement) recordRead(recovery []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.result.Reads++

	if string(recovery) == "t" {
		m.result.ReplicaReads++
	}
}

func (r *run) lookup(ctx context.Context, q request) error {
	minVersion := r.ledger.minVersion(q.record, time.Now().Add(-q.class.maxAge))

	return r.connections.withConnection(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		rows, err := query(ctx, conn, q.withCost(readRecord), q.record)
		if err != nil {
			return err
		}

		if len(rows) == 0 && q.class.maxAge > 0 && time.Since(r.began) < q.class.maxAge {
			return nil // The record is younger than the maximum age, so that a read may still miss it.
		}

		if len(rows) != 1 || len(rows[0]) != readRecordColumns || string(rows[0][0]) != q.record ||
			string(rows[0][1]) != recordName(q.record) {
			r.ledger.addWrongAnswer(q.record + ": answer to another request")
			return nil
		}

		version, _ := strconv.ParseInt(string(rows[0][2]), 10, 64)
		r.ledger.checkRead(q.record, version, minVersion)
		r.results[q.class.name].recordRead(rows[0][3])

		return nil
	})
}

func (r *run) update(ctx context.Context, q request) error {
	r.ledger.recordSentUpdate(q.record)

	err := r.connections.withConnection(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		_, err := query(ctx, conn, q.withCost(incrementVersion), q.record)
		return err
	})

	r.recordUpdateOutcome(q, outcomeOf(err))

	return err
}

// recordUpdateOutcome records the outcome of an update of the request's record.
func (r *run) recordUpdateOutcome(q request, result outcome) {
	now := time.Now()
	r.ledger.recordUpdateOutcome(q.record, result, now)

	if result == acknowledged {
		r.ledger.recordAcknowledgedWrite(q.database, now)
	}
}

func (r *run) insertAndRead(ctx context.Context, q request) error {
	value := strconv.FormatInt(q.value, 10)

	err := r.connections.withConnection(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		_, err := query(ctx, conn, q.withCost(insertFiling), q.id, q.record, value)
		return err
	})

	r.ledger.recordRowOutcome(q.id, outcomeOf(err))

	if err != nil {
		return err
	}

	r.ledger.recordAcknowledgedWrite(q.database, time.Now())

	return r.connections.withConnection(ctx, q.target(q.otherProxy), func(conn *pgconn.PgConn) error {
		rows, err := query(ctx, conn, q.withCost(readFiling), q.id)
		if err != nil {
			return err
		}

		switch {
		case len(rows) == 0:
			r.ledger.addStaleRead(q.id + ": row is missing right after its acknowledgement")
		case len(rows) != 1 || string(rows[0][0]) != q.id || string(rows[0][1]) != value:
			r.ledger.addWrongAnswer(q.id + ": read another row than was written")
		default:
			r.results[q.class.name].recordRead(rows[0][2])
		}

		return nil
	})
}

func (r *run) insertInTransaction(ctx context.Context, q request) error {
	r.ledger.recordSentUpdate(q.record)

	result := refused
	err := r.connections.withConnection(ctx, q.target(q.proxy), func(conn *pgconn.PgConn) error {
		if _, err := conn.Exec(ctx, "BEGIN").ReadAll(); err != nil {
			return err
		}

		if _, err := query(ctx, conn, q.withCost(insertFiling), q.id, q.record, strconv.FormatInt(q.value, 10)); err != nil {
			return err
		}

		if _, err := query(ctx, conn, q.withCost(incrementVersion), q.record); err != nil {
			return err
		}

		// Before the COMMIT is sent, the transaction can't take effect.
		answers, err := conn.Exec(ctx, "COMMIT").ReadAll()
		result = outcomeOf(err)

		if err == nil && answers[0].CommandTag.String() != "COMMIT" {
			result = refused
			return errors.New("the transaction was rolled back")
		}

		return err
	})

	r.ledger.recordRowOutcome(q.id, result)
	r.recordUpdateOutcome(q, result)

	return err
}

// checkFinalState reads the final state of the databases and compares it with the ledger.
func (r *run) checkFinalState(ctx context.Context) error {
	versions, rowCounts := map[string]int64{}, map[string]int{}

	for _, database := range r.options.Databases {
		rows, err := r.queryUntilSuccess(ctx, database, selectVersions, r.idPrefix+"-"+database+"-%")
		if err != nil {
			return eris.Wrapf(err, "read the final state of %s", database)
		}

		for _, row := range rows {
			versions[string(row[0])], _ = strconv.ParseInt(string(row[1]), 10, 64)
		}

		if rows, err = r.queryUntilSuccess(ctx, database, countFilings, r.idPrefix+"-%"); err != nil {
			return eris.Wrapf(err, "read the final state of %s", database)
		}

		for _, row := range rows {
			count, _ := strconv.Atoi(string(row[1]))
			rowCounts[string(row[0])] += count
		}
	}

	r.ledger.checkFinalState(versions, rowCounts)

	return nil
}
