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

// roamingSessions runs sessions that carry their token from proxy to proxy and between two groups.
type roamingSessions struct {
	d      *deployment
	groups []string
	stop   chan struct{}
	tasks  sync.WaitGroup

	writes, reads, moves, refused atomic.Int64

	mutex      sync.Mutex
	violations []string
}

func (r *roamingSessions) runSession(session int, random *rand.Rand) {
	token, written := "", map[string]int{}

	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		default:
		}

		proxy, group := r.d.proxies[random.IntN(len(r.d.proxies))], r.groups[random.IntN(len(r.groups))]

		next, err := r.readAndWrite(proxy, group, session, n, token, written)
		if err != nil {
			r.refused.Add(1)
			time.Sleep(pollInterval)
		}

		if next != "" {
			token = next
			r.moves.Add(1)
		}
	}
}

// readAndWrite checks that a group shows the session's rows, inserts one more, and returns the token afterwards.
func (r *roamingSessions) readAndWrite(proxy *process, group string, session, n int, token string, written map[string]int) (string, error) {
	conn, err := r.d.tryConnect(proxy, "session", group)
	if err != nil {
		return "", err
	}
	defer conn.Close(context.Background())

	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
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
		r.violations = append(r.violations, fmt.Sprintf("session %d wrote %d rows to group %s, but %s returns %d of them",
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

// Guards against a session that carries its token between proxies and groups and does not see one of its own writes.
// Replicas lag, and the sessions run before, during and after a failover of each group.
func TestRoamingSessionWithToken(t *testing.T) {
	groups := []string{"students", "staff"}
	d := deploy(t, deployOptions{controls: 1, proxies: 3, members: 3, groups: groups, memberArgs: []string{"--lag", "300ms"}})

	for _, group := range groups {
		conn, err := d.tryConnect(d.proxies[0], "", group)
		require.NoError(t, err)
		_, err = conn.Exec(context.Background(), "CREATE TABLE steps (session integer, n integer, known boolean)")
		require.NoError(t, err)
		require.NoError(t, conn.Close(context.Background()))
	}

	const sessions, seed = 6, 12

	r := &roamingSessions{d: d, groups: groups, stop: make(chan struct{})}

	for i := range sessions {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		r.tasks.Go(func() { r.runSession(i, random) })
	}

	d.waitForIncrease("writes", &r.writes, 50)

	faults := 0

	for _, group := range groups {
		old := d.groupStatus(group)
		primary := d.member(old.Primary)
		primary.injectFault(map[string]any{"kind": "stop"})
		faults++

		d.waitForTerm(group, old.Term)
		d.waitForIncrease("writes in the next term", &r.writes, 50)
		primary.injectFault(map[string]any{"kind": "start"})
		faults++

		d.waitForIncrease("writes after the server returned", &r.writes, 50)
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

// waitForVoter waits until a control process is a voter and has the whole log. A process that lost its disk is listed as
// a voter under its old identity until it has rejoined, but the match index of that identity no longer advances.
func (d *deployment) waitForVoter(name string) {
	d.t.Helper()
	eventually(d.t, name+" is a voter with the whole log", conditionTimeout, func() error {
		status := d.confirmedStatus()

		for _, member := range status.GetMembers() {
			if member.GetName() == name && member.GetVoter() && member.GetMatch() >= status.GetVersion() {
				return nil
			}
		}

		return fmt.Errorf("version %d, members: %v", status.GetVersion(), status.GetMembers())
	})
}

// Guards against a control process that lost its disk and votes before it has caught up: the loss of a second process
// right after the repair would then lose accepted changes.
func TestControlDiskLostThenSecondLoss(t *testing.T) {
	d := deploy(t, deployOptions{controls: 3, proxies: 2, members: 3})
	r := &configurationRace{d: d, baseSettings: d.confirmedStatus().GetSettings(), firstNumber: d.confirmedStatus().GetConfiguration()}
	number, changes, faults := r.firstNumber, 0, 0

	apply := func() {
		t.Helper()

		content, err := markedSettings(r.baseSettings, number+1, "one")
		require.NoError(t, err)

		reply := r.sendChange(&controlpb.Change{Id: fmt.Sprintf("c%d", number), Base: number, Author: "one", Settings: content})
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
		require.NoError(t, os.RemoveAll(lost.dataFolder))

		faults++

		lost.start()
		d.waitForVoter(lost.name)
		second.kill()

		faults++

		status := d.confirmedStatus()
		assert.Equal(t, number, status.GetConfiguration(), "after %s lost its disk and %s was killed", lost.name, second.name)

		for range 5 {
			apply()
		}

		second.start()
		d.waitForVoter(second.name)
	}

	r.waitUntilInForce(number)
	t.Logf("%d faults; %d changes accepted, and all are present", faults, changes)
	require.Positive(t, faults)
	require.Positive(t, changes)
}
