package systemtest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/io/control/controlpb"
)

// roaming is a number of sessions that carry their token from proxy to proxy and between two groups.
type roaming struct {
	d      *deployment
	groups []string
	stop   chan struct{}
	tasks  sync.WaitGroup

	writes, reads, moves, refused atomic.Int64

	mutex      sync.Mutex
	violations []string
}

func (r *roaming) run(session int, random *rand.Rand) {
	token, written := "", map[string]int{}

	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		default:
		}

		proxy, group := r.d.proxies[random.IntN(len(r.d.proxies))], r.groups[random.IntN(len(r.groups))]

		next, err := r.visit(proxy, group, session, n, token, written)
		if err != nil {
			r.refused.Add(1)
			time.Sleep(waitPeriod)
		}

		if next != "" {
			token = next
			r.moves.Add(1)
		}
	}
}

// visit reads what the session has written to a group, writes one more row, and returns the token afterwards.
func (r *roaming) visit(proxy *process, group string, session, n int, token string, written map[string]int) (string, error) {
	conn, err := r.d.tryConnect(proxy, "session", group)
	if err != nil {
		return "", err
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()

	if token != "" {
		if _, err := conn.Exec(ctx, "SET almondgrade.token = '"+token+"'"); err != nil {
			return "", err
		}
	}

	var count int

	query := fmt.Sprintf("SELECT count(*) FROM steps WHERE session = %d AND known", session)
	if err := conn.QueryRow(ctx, query).Scan(&count); err != nil {
		return "", err
	}

	r.reads.Add(1)

	if count < written[group] {
		r.mutex.Lock()
		r.violations = append(r.violations, fmt.Sprintf("session %d wrote %d rows to group %s, %s shows %d of them",
			session, written[group], group, proxy.name, count))
		r.mutex.Unlock()
	}

	_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO steps VALUES (%d, %d, true)", session, n))
	if outcomeOf(err) == outcomeAcknowledged {
		written[group]++
		r.writes.Add(1)
	}

	if err != nil {
		return "", err
	}

	var next string

	return next, conn.QueryRow(ctx, "SHOW almondgrade.token").Scan(&next)
}

// Guards against a session that carries its token through proxies and groups and misses one of its own writes, with
// replicas that lag, before, during and after failovers of one of the groups.
func TestRoamingSessionWithToken(t *testing.T) {
	groups := []string{"students", "staff"}
	d := deploy(t, shape{controls: 1, proxies: 3, members: 3, groups: groups, memberArgs: []string{"--lag", "300ms"}})

	for _, group := range groups {
		conn, err := d.tryConnect(d.proxies[0], "", group)
		require.NoError(t, err)
		_, err = conn.Exec(context.Background(), "CREATE TABLE steps (session integer, n integer, known boolean)")
		require.NoError(t, err)
		require.NoError(t, conn.Close(context.Background()))
	}

	const sessions, seed = 6, 12

	r := &roaming{d: d, groups: groups, stop: make(chan struct{})}

	for i := range sessions {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		r.tasks.Go(func() { r.run(i, random) })
	}

	d.more("writes", &r.writes, 50)

	faults := 0

	for _, group := range groups {
		old := d.group(group)
		primary := d.member(old.Primary)
		primary.inject(map[string]any{"kind": "stop"})
		faults++

		d.waitTerm(group, old.Term)
		d.more("writes in the next term", &r.writes, 50)
		primary.inject(map[string]any{"kind": "start"})
		faults++

		d.more("writes after the server returned", &r.writes, 50)
	}

	close(r.stop)
	r.tasks.Wait()

	t.Logf("seed %d: %d faults; %d writes, %d reads, %d moves with a token, %d visits refused", seed, faults,
		r.writes.Load(), r.reads.Load(), r.moves.Load(), r.refused.Load())

	for _, violation := range r.violations {
		t.Errorf("violation: %s", violation)
	}

	require.Positive(t, r.writes.Load())
	require.Positive(t, r.moves.Load())
	require.Positive(t, r.reads.Load())
}

// waitVoter waits until a control process votes and has the whole log. A process that lost its disk is still listed as a
// voter under its old identity until it has rejoined, but that identity stays behind.
func (d *deployment) waitVoter(name string) {
	d.t.Helper()
	eventually(d.t, name+" votes", startLimit, func() error {
		status := d.confirmedStatus()

		for _, member := range status.GetMembers() {
			if member.GetName() == name && member.GetVoter() && member.GetMatch() >= status.GetVersion() {
				return nil
			}
		}

		return fmt.Errorf("version %d, members: %v", status.GetVersion(), status.GetMembers())
	})
}

// Guards against a control process without its disk that votes before it has caught up, so that the loss of a second
// one right after the repair loses accepted changes.
func TestControlDiskLostThenSecondLoss(t *testing.T) {
	d := deploy(t, shape{controls: 3, proxies: 2, members: 3})
	r := &race{d: d, base: d.confirmedStatus().GetSettings(), first: d.confirmedStatus().GetConfiguration()}
	number, changes, faults := r.first, 0, 0

	apply := func() {
		t.Helper()

		content, err := marked(r.base, number+1, "one")
		require.NoError(t, err)

		reply := r.send(&controlpb.Change{Id: fmt.Sprintf("c%d", number), Base: number, Author: "one", Settings: content})
		require.NotNil(t, reply, r.violations)
		require.EqualValues(t, 0, reply.GetCode(), reply.GetReason())
		require.Equal(t, number+1, reply.GetNumber())

		number++
		changes++
	}

	for round := range 3 {
		for range 20 {
			apply()
		}

		lost, second := d.controls[round], d.controls[(round+1)%3]
		lost.kill()
		apply()
		require.NoError(t, os.RemoveAll(lost.data))

		faults++

		lost.start()
		d.waitVoter(lost.name)
		second.kill()

		faults++

		status := d.confirmedStatus()
		assert.Equal(t, number, status.GetConfiguration(), "after %s lost its disk and %s was killed", lost.name, second.name)

		for range 5 {
			apply()
		}

		second.start()
		d.waitVoter(second.name)
	}

	r.waitInForce(number)
	t.Logf("%d faults; %d changes accepted, all of them present", faults, changes)
	require.Positive(t, faults)
	require.Positive(t, changes)
}
