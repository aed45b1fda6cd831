package bench

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/internal/standin"
)

const testTimeout = time.Minute

func newMember(t *testing.T, options standin.Options) *standin.Member {
	t.Helper()

	m, err := standin.New(options)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, m.Close()) })

	return m
}

func newOptions(workload string, members ...*standin.Member) Options {
	o := Options{
		Workload: workload, Databases: []string{"registry1"}, User: "app", Duration: time.Second, Seed: 7, Records: 5,
		Deadline: testTimeout,
	}
	for _, m := range members {
		o.Proxies = append(o.Proxies, m.Addr().String())
	}

	return o
}

// Guards against a workload that measures nothing, and against checks that report violations of a correct system.
func TestRunAgainstOnePrimary(t *testing.T) {
	t.Parallel()

	m := newMember(t, standin.Options{Name: "db0", Primary: true, Connections: 100})

	for _, workload := range Workloads() {
		result, err := Run(t.Context(), newOptions(workload.Name, m, m))
		require.NoError(t, err)
		assert.False(t, result.Void, "%+v %v", result.Violations, result.Examples)
		assert.Zero(t, result.ReplicaShare)

		for _, c := range workload.classes {
			measured := result.Classes[c.name]
			assert.Positive(t, measured.Arrivals, c.name)
			assert.Equal(t, measured.Arrivals, measured.Answered, "%s: %v", c.name, measured.States)
			assert.Positive(t, measured.P50Millis, c.name)
			assert.NotEmpty(t, measured.Histogram, c.name)
		}
	}
}

// Guards against checks that miss stale reads. The second address is a replica that never catches up.
func TestRunFindsStaleReads(t *testing.T) {
	t.Parallel()

	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()

	primary := newMember(t, standin.Options{Name: "db0", Primary: true, Connections: 100})
	replica := newMember(t, standin.Options{Name: "db1", Connections: 100})

	writer, err := pgx.Connect(ctx, "postgres://app@"+primary.Addr().String()+"/x?sslmode=disable")
	require.NoError(t, err)

	reader, err := pgx.Connect(ctx, "postgres://app@"+replica.Addr().String()+"/x?sslmode=disable")
	require.NoError(t, err)

	for _, sql := range []string{createRecordTable, createFilingTable} {
		_, err = writer.Exec(ctx, sql)
		require.NoError(t, err)
	}

	_, err = reader.Exec(ctx, "ALTER SYSTEM SET primary_conninfo = 'application_name=ag_1_db1 host="+
		primary.Addr().Addr().String()+" port="+portOf(primary)+"'")
	require.NoError(t, err)
	_, err = reader.Exec(ctx, "SELECT pg_reload_conf()")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := reader.Exec(ctx, readFiling, pgx.QueryExecModeSimpleProtocol, "x")
		return err == nil
	}, testTimeout, time.Millisecond)
	replica.SetLag(time.Hour)

	result, err := Run(ctx, newOptions("teranga", primary, replica))
	require.NoError(t, err)
	assert.True(t, result.Void)
	assert.Positive(t, result.Violations.Stale)
	assert.Zero(t, result.Violations.Total()-result.Violations.Stale, "%+v %v", result.Violations, result.Examples)
	assert.Positive(t, result.Classes["clerk"].States["25006"], "writes to the replica are refused and must not count as lost")
}

// Guards against checks that count writes whose connections broke, and whose outcome is thus unknown, as lost or doubled.
func TestRunAllowsUnknownOutcomes(t *testing.T) {
	t.Parallel()

	m := newMember(t, standin.Options{Name: "db0", Primary: true, Connections: 100})
	ended := make(chan struct{})
	restarts := make(chan int)

	go func() {
		// The restarts begin with the traffic, because on a busy VM the setup may take longer than all of them. They end
		// before the check of the final state, which needs a server that keeps running.
		const maxRestarts, setupStatements = 10, 50

		for statementCount(m) < setupStatements && !isClosed(ended) {
			time.Sleep(time.Millisecond)
		}

		for n := 0; ; n++ {
			pause := time.After(100 * time.Millisecond)
			if n == maxRestarts {
				pause = nil
			}

			select {
			case <-ended:
				restarts <- n
				return
			case <-pause:
			}

			assert.NoError(t, m.Stop())
			assert.NoError(t, m.Start())
		}
	}()

	result, err := Run(t.Context(), newOptions("kalasag", m, m))
	close(ended)
	assert.Positive(t, <-restarts)
	require.NoError(t, err)
	assert.False(t, result.Void, "%+v %v", result.Violations, result.Examples)

	failed := 0
	for _, c := range result.Classes {
		failed += c.Arrivals - c.Answered
	}

	assert.Positive(t, failed)
}

// statementCount returns the number of statements that a member has received.
func statementCount(m *standin.Member) (count uint64) {
	for _, one := range m.Status().Statements {
		count += one
	}

	return count
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

func portOf(m *standin.Member) string {
	return strconv.Itoa(int(m.Addr().Port()))
}

// Guards against a kind of violation that the final check misses or counts as another kind.
func TestLedgerFindsViolations(t *testing.T) {
	t.Parallel()

	tests := []struct {
		name     string
		outcomes []outcome
		version  int64
		rows     int
		want     Violations
	}{
		{"acknowledged and present", []outcome{acknowledged}, 1, 1, Violations{}},
		{"acknowledged and missing", []outcome{acknowledged}, 0, 0, Violations{Lost: 2}},
		{"acknowledged and doubled", []outcome{acknowledged}, 2, 2, Violations{Doubled: 2}},
		{"unknown and missing", []outcome{unknown}, 0, 0, Violations{}},
		{"unknown and present", []outcome{unknown}, 1, 1, Violations{}},
		{"unknown and doubled", []outcome{unknown}, 2, 2, Violations{Doubled: 2}},
		{"refused and missing", []outcome{refused}, 0, 0, Violations{}},
		{"refused and present", []outcome{refused}, 1, 1, Violations{Doubled: 1, Ran: 1}},
		{"one of two lost", []outcome{acknowledged, unknown, acknowledged}, 1, 1, Violations{Lost: 1}},
	}

	for _, test := range tests {
		l := newLedger()

		for _, result := range test.outcomes {
			l.recordSentUpdate("record")
			l.recordUpdateOutcome("record", result, time.Now())
		}

		l.recordRowOutcome("row", test.outcomes[0])
		l.checkFinalState(map[string]int64{"record": test.version}, map[string]int{"row": test.rows})
		assert.Equal(t, test.want, l.violations, test.name)
	}
}

// Guards against a maximum age that is ignored, or that permits reads of any age.
func TestLedgerMinVersion(t *testing.T) {
	t.Parallel()

	l, at := newLedger(), time.Now()
	for i := range 3 {
		l.recordSentUpdate("record")
		l.recordUpdateOutcome("record", acknowledged, at.Add(time.Duration(i)*time.Second))
	}

	assert.Equal(t, int64(0), l.minVersion("record", at))
	assert.Equal(t, int64(2), l.minVersion("record", at.Add(1500*time.Millisecond)))
	assert.Equal(t, int64(3), l.minVersion("record", at.Add(time.Hour)))

	l.checkRead("record", 2, 2)
	l.checkRead("record", 3, 2)
	assert.Zero(t, l.violations.Total())
	l.checkRead("record", 1, 2)
	l.checkRead("record", 4, 2)
	assert.Equal(t, Violations{Stale: 1, Wrong: 1}, l.violations)
}

// Guards against a lost connection or an unknown outcome that is counted as "not run".
func TestOutcomeOfError(t *testing.T) {
	t.Parallel()

	tests := []struct {
		err   error
		want  outcome
		state string
	}{
		{&pgconn.PgError{Code: "23505"}, refused, "23505"},
		{&pgconn.PgError{Code: "08007"}, unknown, "08007"},
		{&notSentError{errors.New("refused")}, refused, "not connected"},
		{errors.New("unexpected EOF"), unknown, "connection lost"},
		{context.DeadlineExceeded, unknown, "deadline"},
	}

	for _, test := range tests {
		assert.Equal(t, test.want, outcomeOf(test.err), test.err)
		assert.Equal(t, test.state, errorState(test.err), test.err)
	}

	assert.Equal(t, acknowledged, outcomeOf(nil))
}

// Guards against requests that differ between runs with the same seed, whose results could then not be compared.
func TestSameSeedMakesSameRequests(t *testing.T) {
	t.Parallel()

	due := time.Now()
	newRequests := func(seed uint64) []request {
		r := &run{idPrefix: "r", options: Options{Proxies: []string{"a", "b", "c"}, Databases: []string{"x", "y"}, Records: 9}}
		random := rand.New(rand.NewPCG(seed, 0))

		requests := make([]request, 20)
		for i := range requests {
			requests[i] = r.newRequest(class{name: "browse"}, i, due, random)
			assert.NotEqual(t, requests[i].proxy, requests[i].otherProxy)
		}

		return requests
	}

	assert.Equal(t, newRequests(1), newRequests(1))
	assert.NotEqual(t, newRequests(1), newRequests(2))
}

// Guards against a comparison of void results, or of results of different workloads.
func TestCompareRefuses(t *testing.T) {
	t.Parallel()

	valid := Result{Workload: "teranga", Scale: 1, Classes: map[string]ClassResult{"browse": {Arrivals: 2, Answered: 1, P50Millis: 4}}}
	void, other := valid, valid
	void.Void, other.Workload = true, "kalasag"

	var out bytes.Buffer

	require.Error(t, Compare(valid, void, &out))
	require.Error(t, Compare(void, valid, &out))
	require.Error(t, Compare(valid, other, &out))
	assert.Empty(t, out.String())
	require.NoError(t, Compare(valid, valid, &out))
	assert.Contains(t, out.String(), "browse p50 ms")
	assert.Contains(t, out.String(), "50.00")
}
