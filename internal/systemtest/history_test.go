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

// outcome is what a caller was told about a write.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAcknowledged
	outcomeNotRun
)

// history is what callers did and were told while faults were injected.
type history struct {
	d    *deployment
	seed uint64

	mutex    sync.Mutex
	outcomes map[string]outcome
	// requests holds, for each named request, whether a caller was told that it ran.
	requests map[string]bool

	stop    chan struct{}
	callers sync.WaitGroup
	reads   atomic.Int64
	faults  atomic.Int64
	// violations are answers that must never be given.
	violations []string
	// unplanned are answers to writes that are neither success nor a refusal with a code that says "not run".
	unplanned []string
}

const (
	historyCallers = 6
	// callLimit bounds one statement of a caller, above the proxies' own deadlines.
	callLimit = 15 * time.Second
)

func startHistory(d *deployment, seed uint64) *history {
	h := &history{
		d: d, seed: seed, outcomes: make(map[string]outcome), requests: make(map[string]bool), stop: make(chan struct{}),
	}
	conn := d.connect(d.proxies[0], "")

	for _, sql := range []string{
		"CREATE TABLE records (id text PRIMARY KEY)",
		"CREATE TABLE shipments (request text)",
	} {
		_, err := conn.Exec(context.Background(), sql)
		require.NoError(d.t, err)
	}

	for i := range historyCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		h.callers.Go(func() { h.call(i, random) })
	}

	return h
}

// call repeats a write, a read of it through another proxy, and a named request, until the history ends.
func (h *history) call(caller int, random *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-h.stop:
			return
		default:
		}

		proxy := h.d.proxies[random.IntN(len(h.d.proxies))]
		other := h.d.proxies[random.IntN(len(h.d.proxies))]
		id := fmt.Sprintf("r%d-%d", caller, n)

		told := h.write(proxy, "INSERT INTO records VALUES ('"+id+"')")
		h.mutex.Lock()
		h.outcomes[id] = told
		h.mutex.Unlock()

		if told == outcomeAcknowledged {
			h.read(other, id)
		}

		h.request(random, fmt.Sprintf("q%d-%d", caller, n))
	}
}

// write runs one statement through a proxy and returns what the caller knows afterwards.
func (h *history) write(proxy *process, sql string) outcome {
	conn, err := h.d.tryConnect(proxy, "", "")
	if err != nil {
		return outcomeNotRun
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()

	_, err = conn.Exec(ctx, sql)

	if ran, code := codeOf(err); err != nil && (code == result.OK || ran != result.RanNo) {
		h.mutex.Lock()
		h.unplanned = append(h.unplanned, fmt.Sprintf("%s through %s: %v", sql, proxy.name, err))
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

// codeOf returns what an error says about whether the request ran. An error without a code comes from a lost
// connection to the proxy, after which nothing is known, or from the database itself, which then did not run it.
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

// read checks that an acknowledged record is seen through a proxy. A refused read is no violation; a stale one is.
func (h *history) read(proxy *process, id string) {
	conn, err := h.d.tryConnect(proxy, "", "")
	if err != nil {
		return
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()

	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM records WHERE id = '"+id+"'").Scan(&count); err != nil {
		return
	}

	h.reads.Add(1)

	if count != 1 {
		h.violate("record %s was acknowledged, a read through %s shows %d of it", id, proxy.name, count)
	}
}

// request runs a shipment update that may not run twice, and repeats it under the same name through any proxy until
// it is known to have run or the history ends.
func (h *history) request(random *rand.Rand, id string) {
	for attempt := 0; ; attempt++ {
		if h.shipment(h.d.proxies[random.IntN(len(h.d.proxies))], id) {
			h.mutex.Lock()
			h.requests[id] = true
			h.mutex.Unlock()

			return
		}

		select {
		case <-h.stop:
			h.mutex.Lock()
			h.requests[id] = false
			h.mutex.Unlock()

			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (h *history) shipment(proxy *process, id string) bool {
	conn, err := h.d.tryConnect(proxy, "", "")
	if err != nil {
		return false
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()

	if _, err := conn.Exec(ctx, "SET almondgrade.request = '"+id+"'"); err != nil {
		return false
	}

	_, err = conn.Exec(ctx, "INSERT INTO shipments VALUES ('"+id+"')")

	return outcomeOf(err) == outcomeAcknowledged
}

func (h *history) violate(format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// fault injects one fault and counts it.
func (h *history) fault(what string, inject func()) {
	h.d.t.Logf("fault: %s", what)
	inject()
	h.faults.Add(1)
}

// progress waits until callers have had a number of further writes acknowledged.
func (h *history) progress(writes int) {
	h.d.t.Helper()

	start := h.acknowledged()
	eventually(h.d.t, fmt.Sprintf("%d further writes", writes), startLimit, func() error {
		if now := h.acknowledged(); now < start+writes {
			return fmt.Errorf("%d", now-start)
		}

		return nil
	})
}

func (h *history) acknowledged() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	count := 0

	for _, told := range h.outcomes {
		if told == outcomeAcknowledged {
			count++
		}
	}

	return count
}

// finish ends the callers and compares what they were told with what the database holds.
func (h *history) finish() {
	t := h.d.t
	t.Helper()
	close(h.stop)
	h.callers.Wait()

	held, shipped := h.contents()
	counts := map[outcome]int{}

	for id, told := range h.outcomes {
		counts[told]++

		switch {
		case told == outcomeAcknowledged && held[id] != 1:
			h.violate("record %s was acknowledged, the database holds %d of it", id, held[id])
		case told == outcomeNotRun && held[id] != 0:
			h.violate("record %s was refused as not run, the database holds it", id)
		}
	}

	ran := 0

	for id, told := range h.requests {
		if told {
			ran++
		}

		if shipped[id] > 1 || told && shipped[id] != 1 {
			h.violate("request %s (ran: %v) stands %d times in the database", id, told, shipped[id])
		}
	}

	t.Logf("seed %d: %d faults; writes: %d acknowledged, %d not run, %d unknown; %d reads; %d requests, %d of them ran",
		h.seed, h.faults.Load(), counts[outcomeAcknowledged], counts[outcomeNotRun], counts[outcomeUnknown],
		h.reads.Load(), len(h.requests), ran)

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

// contents reads both tables from the present primary, once everything that was sent has come to its end.
func (h *history) contents() (records, shipments map[string]int) {
	var conn *pgx.Conn

	group := h.d.group("students")

	eventually(h.d.t, "connection to the primary", startLimit, func() error {
		group = h.d.group("students")
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

// waitTerm waits until a group is stable in a term past the given one.
func (d *deployment) waitTerm(group string, past uint64) groupStatus {
	d.t.Helper()

	var found groupStatus

	eventually(d.t, fmt.Sprintf("group %s past term %d", group, past), startLimit, func() error {
		found = d.group(group)
		if found.Term <= past || found.Phase != "stable" {
			return fmt.Errorf("term %d, phase %s", found.Term, found.Phase)
		}

		return nil
	})

	return found
}

// Guards, for each fault in the midst of writes, reads and named requests through every proxy, against lost or
// doubled records, stale reads of a session's own writes, and false answers about what ran.
func TestHistoryUnderFaults(t *testing.T) {
	t.Parallel()

	tests := []struct {
		name   string
		seed   uint64
		shape  shape
		inject func(h *history)
	}{
		{"primary killed and back", 1, shape{controls: 1, proxies: 2, members: 3}, func(h *history) {
			old := h.d.group("students")
			h.fault("kill "+old.Primary, func() { h.d.member(old.Primary).inject(map[string]any{"kind": "stop"}) })
			h.d.waitTerm("students", old.Term)
			h.progress(20)
			h.fault("restart "+old.Primary, func() { h.d.member(old.Primary).inject(map[string]any{"kind": "start"}) })
			h.progress(20)
		}},
		{"primary frozen past the bound and thawed", 2, shape{controls: 1, proxies: 2, members: 3}, func(h *history) {
			old := h.d.group("students")
			h.fault("freeze "+old.Primary, func() { h.d.member(old.Primary).inject(map[string]any{"kind": "freeze"}) })
			h.d.waitTerm("students", old.Term)
			h.progress(20)
			h.fault("thaw "+old.Primary, func() { h.d.member(old.Primary).inject(map[string]any{"kind": "thaw"}) })
			h.progress(20)
		}},
		{"primary cut off together with a proxy", 3, shape{controls: 1, proxies: 3, members: 3}, func(h *history) {
			old := h.d.group("students")
			primary := h.d.member(old.Primary)
			h.fault("cut all but proxy3 from "+old.Primary, func() {
				for _, peer := range []string{"agcontrol/", "ag/proxy1", "ag/proxy2", "ag_", "announce"} {
					primary.inject(map[string]any{"kind": "cut", "peer": peer})
				}
			})
			h.d.waitTerm("students", old.Term)
			h.progress(20)
			h.fault("heal "+old.Primary, func() { primary.inject(map[string]any{"kind": "heal"}) })
			h.progress(20)
		}},
		{"proxy killed and back", 4, shape{controls: 1, proxies: 3, members: 3}, func(h *history) {
			for i := range 3 {
				h.fault("kill "+h.d.proxies[i].name, h.d.proxies[i].kill)
				h.progress(20)
				h.fault("start "+h.d.proxies[i].name, h.d.proxies[i].start)
				h.progress(20)
			}
		}},
		{"control leader killed and back", 5, shape{controls: 3, proxies: 2, members: 3}, func(h *history) {
			for i := range 3 {
				h.fault("kill "+h.d.controls[i].name, h.d.controls[i].kill)
				h.progress(20)
				h.fault("start "+h.d.controls[i].name, h.d.controls[i].start)
				h.progress(20)
			}
		}},
		{"open connections of every member go silent", 6, shape{controls: 1, proxies: 2, members: 3}, func(h *history) {
			term := h.d.group("students").Term

			for range 3 {
				for _, member := range h.d.members {
					h.fault("lose connections of "+member.name, func() { member.inject(map[string]any{"kind": "lose"}) })
				}

				h.progress(20)
			}

			assert.Equal(t, term, h.d.group("students").Term, "a silent connection is no reason for a failover")
		}},
		{"answers of the primary are lost", 8, shape{controls: 1, proxies: 2, members: 3}, func(h *history) {
			term := h.d.group("students").Term

			for range 8 {
				primary := h.d.member(h.d.group("students").Primary)
				h.fault("lose the answers of "+primary.name, func() {
					primary.inject(map[string]any{"kind": "lose_answers", "peer": "ag/proxy"})
				})
				h.progress(10)
			}

			assert.Equal(t, term, h.d.group("students").Term, "a lost answer is no reason for a failover")
		}},
		{"two failovers in a row", 7, shape{controls: 3, proxies: 2, members: 3}, func(h *history) {
			for range 2 {
				old := h.d.group("students")
				h.fault("kill "+old.Primary, func() { h.d.member(old.Primary).inject(map[string]any{"kind": "stop"}) })
				h.d.waitTerm("students", old.Term)
				h.fault("restart "+old.Primary, func() { h.d.member(old.Primary).inject(map[string]any{"kind": "start"}) })
				h.progress(20)
			}
		}},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, test.shape)
			h := startHistory(d, test.seed)
			h.progress(20)
			test.inject(h)
			h.finish()
		})
	}
}
