package systemtest_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/result"
)

// outcome is what a caller knows about a write after its answer.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAcknowledged
	outcomeNotRun
)

// history runs callers while faults are injected, and records their requests and the answers.
type history struct {
	d    *deployment
	seed uint64

	mutex    sync.Mutex
	outcomes map[string]outcome
	// requestsRan says of each named request whether a caller was told that it ran.
	requestsRan map[string]bool

	stop    chan struct{}
	callers sync.WaitGroup
	reads   atomic.Int64
	faults  atomic.Int64
	// violations describe answers and final states that contradict earlier answers.
	violations []string
	// unexpectedErrors are failures of writes without a code that says "not run".
	unexpectedErrors []string
}

const (
	callerCount = 6
	// statementTimeout bounds one statement of a caller. It is longer than the proxies' own deadlines.
	statementTimeout = 15 * time.Second
)

func startHistory(d *deployment, seed uint64) *history {
	h := &history{
		d: d, seed: seed, outcomes: make(map[string]outcome), requestsRan: make(map[string]bool), stop: make(chan struct{}),
	}
	conn := d.connect(d.proxies[0], "")

	for _, sql := range []string{
		"CREATE TABLE records (id text PRIMARY KEY)",
		"CREATE TABLE shipments (request text)",
	} {
		_, err := conn.Exec(context.Background(), sql)
		require.NoError(d.t, err)
	}

	for i := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		h.callers.Go(func() { h.runCaller(i, random) })
	}

	return h
}

// runCaller repeats a write, a read of the written record through a random proxy, and a named request, until the history
// ends.
func (h *history) runCaller(caller int, random *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-h.stop:
			return
		default:
		}

		proxy := h.d.proxies[random.IntN(len(h.d.proxies))]
		otherProxy := h.d.proxies[random.IntN(len(h.d.proxies))]
		id := fmt.Sprintf("r%d-%d", caller, n)

		reported := h.execute(proxy, "INSERT INTO records VALUES ('"+id+"')")
		h.mutex.Lock()
		h.outcomes[id] = reported
		h.mutex.Unlock()

		if reported == outcomeAcknowledged {
			h.checkRead(otherProxy, id)
		}

		h.repeatRequest(random, fmt.Sprintf("q%d-%d", caller, n))
	}
}

// execute runs one statement through a proxy and returns its outcome.
func (h *history) execute(proxy *process, sql string) outcome {
	conn, err := h.d.tryConnect(proxy, "", "")
	if err != nil {
		return outcomeNotRun
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()

	_, err = conn.Exec(ctx, sql)

	if ran, code := codeOf(err); err != nil && (code == result.OK || ran != result.RanNo) {
		h.mutex.Lock()
		h.unexpectedErrors = append(h.unexpectedErrors, fmt.Sprintf("%s through %s: %v", sql, proxy.name, err))
		h.mutex.Unlock()
	}

	return outcomeOf(err)
}

func outcomeOf(err error) outcome {
	if err == nil {
		return outcomeAcknowledged
	}

	switch ran, _ := codeOf(err); ran {
	case result.RanNo:
		return outcomeNotRun
	case result.RanYes:
		return outcomeAcknowledged
	case result.RanUnknown:
	}

	return outcomeUnknown
}

var codePattern = regexp.MustCompile(`AG(\d{4})`)

// codeOf returns the proxy's code in an error and whether the request ran. An error without a code comes either from a
// lost connection to the proxy, which leaves the outcome unknown, or from the database itself, which then didn't run the
// request.
func codeOf(err error) (result.Ran, result.Code) {
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		return result.RanUnknown, result.OK
	}

	found := codePattern.FindStringSubmatch(failure.Message)
	if found == nil {
		return result.RanNo, result.OK
	}

	number, _ := strconv.ParseUint(found[1], 10, 32)
	code := result.Code(number)

	return code.Ran(), code
}

// checkRead checks that a read through a proxy shows an acknowledged record. A stale read is a violation, a refused read
// is not.
func (h *history) checkRead(proxy *process, id string) {
	conn, err := h.d.tryConnect(proxy, "", "")
	if err != nil {
		return
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()

	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM records WHERE id = '"+id+"'").Scan(&count); err != nil {
		return
	}

	h.reads.Add(1)

	if count != 1 {
		h.recordViolation("record %s was acknowledged, but a read through %s returns %d rows of it", id, proxy.name, count)
	}
}

// repeatRequest inserts a shipment that may exist only once. It repeats the insert under the same request name through
// random proxies until it is known to have run or the history ends.
func (h *history) repeatRequest(random *rand.Rand, id string) {
	for attempt := 0; ; attempt++ {
		if h.insertShipment(h.d.proxies[random.IntN(len(h.d.proxies))], id) {
			h.mutex.Lock()
			h.requestsRan[id] = true
			h.mutex.Unlock()

			return
		}

		select {
		case <-h.stop:
			h.mutex.Lock()
			h.requestsRan[id] = false
			h.mutex.Unlock()

			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (h *history) insertShipment(proxy *process, id string) bool {
	conn, err := h.d.tryConnect(proxy, "", "")
	if err != nil {
		return false
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()

	if _, err := conn.Exec(ctx, "SET almondgrade.request = '"+id+"'"); err != nil {
		return false
	}

	_, err = conn.Exec(ctx, "INSERT INTO shipments VALUES ('"+id+"')")

	return outcomeOf(err) == outcomeAcknowledged
}

func (h *history) recordViolation(format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// injectFault injects one fault and counts it.
func (h *history) injectFault(what string, inject func()) {
	h.d.t.Logf("fault: %s", what)
	inject()
	h.faults.Add(1)
}

// waitForWrites waits until a number of further writes are acknowledged.
func (h *history) waitForWrites(writes int) {
	h.d.t.Helper()

	start := h.acknowledgedWrites()
	eventually(h.d.t, fmt.Sprintf("%d further writes", writes), conditionTimeout, func() error {
		if now := h.acknowledgedWrites(); now < start+writes {
			return fmt.Errorf("%d", now-start)
		}

		return nil
	})
}

func (h *history) acknowledgedWrites() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	count := 0

	for _, reported := range h.outcomes {
		if reported == outcomeAcknowledged {
			count++
		}
	}

	return count
}

// stopAndCheck stops the callers and compares the answers they got with the content of the database.
func (h *history) stopAndCheck() {
	t := h.d.t
	t.Helper()
	close(h.stop)
	h.callers.Wait()

	records, shipments := h.tableContents()
	counts := map[outcome]int{}

	for id, reported := range h.outcomes {
		counts[reported]++

		switch {
		case reported == outcomeAcknowledged && records[id] != 1:
			h.recordViolation("record %s was acknowledged, but the database holds %d rows of it", id, records[id])
		case reported == outcomeNotRun && records[id] != 0:
			h.recordViolation("record %s was refused as not run, but the database holds it", id)
		}
	}

	ran := 0

	for id, reportedRan := range h.requestsRan {
		if reportedRan {
			ran++
		}

		if shipments[id] > 1 || reportedRan && shipments[id] != 1 {
			h.recordViolation("request %s (reported as run: %v) has %d rows in the database", id, reportedRan, shipments[id])
		}
	}

	t.Logf("seed %d: %d faults; writes: %d acknowledged, %d not run, %d unknown; %d reads; %d requests, %d of them ran",
		h.seed, h.faults.Load(), counts[outcomeAcknowledged], counts[outcomeNotRun], counts[outcomeUnknown],
		h.reads.Load(), len(h.requestsRan), ran)

	for i, violation := range h.violations {
		if i < 20 {
			t.Errorf("violation: %s", violation)
		}
	}

	assert.Empty(t, h.violations)
	require.Positive(t, h.faults.Load())
	require.Positive(t, counts[outcomeAcknowledged])
	require.Positive(t, h.reads.Load())
	require.Positive(t, ran)
}

// tableContents returns the number of rows per id in both tables of the current primary. The callers must have stopped.
func (h *history) tableContents() (records, shipments map[string]int) {
	var conn *pgx.Conn

	group := h.d.groupStatus("students")

	eventually(h.d.t, "connection to the primary", conditionTimeout, func() error {
		group = h.d.groupStatus("students")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)

		defer cancel()

		var err error
		conn, err = pgx.Connect(ctx, "postgres://test@"+h.d.member(group.Primary).address+"/main?sslmode=disable")

		return err
	})

	defer conn.Close(context.Background())

	read := func(sql string) map[string]int {
		counts := make(map[string]int)

		rows, err := conn.Query(context.Background(), sql)
		require.NoError(h.d.t, err)

		for rows.Next() {
			var id string

			require.NoError(h.d.t, rows.Scan(&id))
			counts[id]++
		}

		require.NoError(h.d.t, rows.Err())

		return counts
	}

	return read("SELECT id FROM records"), read("SELECT request FROM shipments")
}

// waitForTerm waits until a group is in phase stable of a term later than the given one.
func (d *deployment) waitForTerm(group string, past uint64) groupStatus {
	d.t.Helper()

	var found groupStatus

	eventually(d.t, fmt.Sprintf("group %s stable in a term after %d", group, past), conditionTimeout, func() error {
		found = d.groupStatus(group)
		if found.Term <= past || found.Phase != "stable" {
			return fmt.Errorf("term %d, phase %s", found.Term, found.Phase)
		}

		return nil
	})

	return found
}

// Guards against lost or duplicate records, stale reads of acknowledged writes, and wrong answers about whether a write
// ran. Each case injects another fault while callers send writes, reads and named requests through every proxy.
func TestHistoryUnderFaults(t *testing.T) {
	t.Parallel()

	tests := []struct {
		name    string
		seed    uint64
		options deployOptions
		inject  func(h *history)
	}{
		{"primary killed and restarted", 1, deployOptions{controls: 1, proxies: 2, members: 3}, func(h *history) {
			old := h.d.groupStatus("students")
			h.injectFault("kill "+old.Primary, func() { h.d.member(old.Primary).injectFault(map[string]any{"kind": "stop"}) })
			h.d.waitForTerm("students", old.Term)
			h.waitForWrites(20)
			h.injectFault("restart "+old.Primary, func() { h.d.member(old.Primary).injectFault(map[string]any{"kind": "start"}) })
			h.waitForWrites(20)
		}},
		{"primary frozen until replaced, then thawed", 2, deployOptions{controls: 1, proxies: 2, members: 3}, func(h *history) {
			old := h.d.groupStatus("students")
			h.injectFault("freeze "+old.Primary, func() { h.d.member(old.Primary).injectFault(map[string]any{"kind": "freeze"}) })
			h.d.waitForTerm("students", old.Term)
			h.waitForWrites(20)
			h.injectFault("thaw "+old.Primary, func() { h.d.member(old.Primary).injectFault(map[string]any{"kind": "thaw"}) })
			h.waitForWrites(20)
		}},
		{"primary cut off together with a proxy", 3, deployOptions{controls: 1, proxies: 3, members: 3}, func(h *history) {
			old := h.d.groupStatus("students")
			primary := h.d.member(old.Primary)
			h.injectFault("cut all but proxy3 from "+old.Primary, func() {
				for _, peer := range []string{"agcontrol/", "ag/proxy1", "ag/proxy2", "ag_", "announce"} {
					primary.injectFault(map[string]any{"kind": "cut", "peer": peer})
				}
			})
			h.d.waitForTerm("students", old.Term)
			h.waitForWrites(20)
			h.injectFault("heal "+old.Primary, func() { primary.injectFault(map[string]any{"kind": "heal"}) })
			h.waitForWrites(20)
		}},
		{"proxy killed and restarted", 4, deployOptions{controls: 1, proxies: 3, members: 3}, func(h *history) {
			for i := range 3 {
				h.injectFault("kill "+h.d.proxies[i].name, h.d.proxies[i].kill)
				h.waitForWrites(20)
				h.injectFault("start "+h.d.proxies[i].name, h.d.proxies[i].start)
				h.waitForWrites(20)
			}
		}},
		{"control processes killed and restarted", 5, deployOptions{controls: 3, proxies: 2, members: 3}, func(h *history) {
			for i := range 3 {
				h.injectFault("kill "+h.d.controls[i].name, h.d.controls[i].kill)
				h.waitForWrites(20)
				h.injectFault("start "+h.d.controls[i].name, h.d.controls[i].start)
				h.waitForWrites(20)
			}
		}},
		{"open connections of every member go silent", 6, deployOptions{controls: 1, proxies: 2, members: 3}, func(h *history) {
			term := h.d.groupStatus("students").Term

			for range 3 {
				for _, member := range h.d.members {
					h.injectFault("lose connections of "+member.name, func() { member.injectFault(map[string]any{"kind": "lose"}) })
				}

				h.waitForWrites(20)
			}

			assert.Equal(t, term, h.d.groupStatus("students").Term, "silent connections must not cause a failover")
		}},
		{"answers of the primary are lost", 8, deployOptions{controls: 1, proxies: 2, members: 3}, func(h *history) {
			term := h.d.groupStatus("students").Term

			for range 8 {
				primary := h.d.member(h.d.groupStatus("students").Primary)
				h.injectFault("lose the answers of "+primary.name, func() {
					primary.injectFault(map[string]any{"kind": "lose_answers", "peer": "ag/proxy"})
				})
				h.waitForWrites(10)
			}

			assert.Equal(t, term, h.d.groupStatus("students").Term, "lost answers must not cause a failover")
		}},
		{"two failovers in a row", 7, deployOptions{controls: 3, proxies: 2, members: 3}, func(h *history) {
			for range 2 {
				old := h.d.groupStatus("students")
				h.injectFault("kill "+old.Primary, func() { h.d.member(old.Primary).injectFault(map[string]any{"kind": "stop"}) })
				h.d.waitForTerm("students", old.Term)
				h.injectFault("restart "+old.Primary, func() { h.d.member(old.Primary).injectFault(map[string]any{"kind": "start"}) })
				h.waitForWrites(20)
			}
		}},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, test.options)
			h := startHistory(d, test.seed)
			h.waitForWrites(20)
			test.inject(h)
			h.stopAndCheck()
		})
	}
}
