package systemtest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/internal/standin"
)

// leaveTimeout is the time after its announcement from which a leaving server may get no new statement.
const leaveTimeout = 4 * time.Second

// statementCount returns how many statements a member received on proxies' connections, without those of monitors.
func (p *process) statementCount() uint64 {
	p.t.Helper()

	reply, err := http.Get("http://" + p.httpAddress + "/status") //nolint:noctx // A test.
	require.NoError(p.t, err)
	defer reply.Body.Close()

	var status standin.Status

	require.NoError(p.t, json.NewDecoder(reply.Body).Decode(&status))

	sum := uint64(0)

	for name, count := range status.Statements {
		if strings.HasPrefix(name, "ag/") && !strings.HasSuffix(name, "/monitor") {
			sum += count
		}
	}

	return sum
}

// callerLoad runs callers that read and write through every proxy until stopCallers is called.
type callerLoad struct {
	d       *deployment
	stop    chan struct{}
	callers sync.WaitGroup
	served  atomic.Int64
	refused atomic.Int64
}

func startCallerLoad(d *deployment) *callerLoad {
	l := &callerLoad{d: d, stop: make(chan struct{})}
	conn := d.connect(d.proxies[0], "")
	_, err := conn.Exec(context.Background(), "CREATE TABLE visits (id text)")
	require.NoError(d.t, err)

	for _, proxy := range d.proxies {
		for i := range 3 {
			application := []string{"browse", "session", ""}[i]
			l.callers.Go(func() { l.runCaller(proxy, application) })
		}
	}

	return l
}

func (l *callerLoad) runCaller(proxy *process, application string) {
	var conn *pgx.Conn

	for n := 0; ; n++ {
		select {
		case <-l.stop:
			if conn != nil {
				_ = conn.Close(context.Background())
			}

			return
		default:
		}

		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = l.d.tryConnect(proxy, application, ""); err != nil {
				l.refused.Add(1)
				time.Sleep(pollInterval)

				conn = nil

				continue
			}
		}

		sql := "SELECT count(*) FROM visits WHERE id = 'none'"
		if n%10 == 0 && application == "" {
			sql = "INSERT INTO visits VALUES ('x')"
		}

		ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
		_, err := conn.Exec(ctx, sql)

		cancel()

		if err == nil {
			l.served.Add(1)
		} else {
			l.refused.Add(1)
			time.Sleep(pollInterval)
		}
	}
}

func (l *callerLoad) stopCallers() {
	close(l.stop)
	l.callers.Wait()
}

// waitForIncrease waits until a count has grown by the given number.
func (d *deployment) waitForIncrease(what string, count *atomic.Int64, by int64) {
	d.t.Helper()

	start := count.Load()
	eventually(d.t, what, conditionTimeout, func() error {
		if now := count.Load() - start; now < by {
			return fmt.Errorf("%d of %d", now, by)
		}

		return nil
	})
}

// waitForLeaving waits until control has recorded that a server is leaving, or that it is not.
func (d *deployment) waitForLeaving(name string, leaving bool) {
	d.t.Helper()
	eventually(d.t, fmt.Sprintf("%s leaving: %v", name, leaving), conditionTimeout, func() error {
		for _, server := range d.confirmedStatus().GetServers() {
			if server.GetName() == name && server.GetLeaving() == leaving {
				return nil
			}
		}

		return fmt.Errorf("not recorded by control")
	})
}

// Guards against statements that reach a server more than leaveTimeout after it announced that it leaves: from proxies
// with open connections to it, from sessions on a primary, and from proxies that control can't notify. The server itself
// counts the statements.
func TestLeavingServerGetsNoWork(t *testing.T) {
	tests := []struct {
		name string
		// primaryLeaves selects the primary as the leaving server, otherwise a replica.
		primaryLeaves bool
		// freezeControl freezes all control processes right after the server announced that it leaves.
		freezeControl bool
	}{
		{"replica", false, false},
		{"primary", true, false},
		{"replica, proxies cut off from control", false, true},
		{"primary, proxies cut off from control", true, true},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, deployOptions{controls: 3, proxies: 2, members: 3})
			l := startCallerLoad(d)
			defer l.stopCallers()

			group := d.groupStatus("students")
			name := group.Primary

			for _, member := range group.Members {
				if !test.primaryLeaves && member != group.Primary {
					name = member
				}
			}

			server := d.member(name)
			before := server.statementCount()
			d.waitForIncrease("callers served", &l.served, 200)

			// Proxies start to use a replica only some time after it becomes a member.
			eventually(t, name+" gets statements before it leaves", conditionTimeout, func() error {
				if server.statementCount() == before {
					return fmt.Errorf("no statements yet")
				}

				return nil
			})

			bound := time.After(leaveTimeout)
			server.injectFault(map[string]any{"kind": "leave"})

			faults := 1

			if test.freezeControl {
				// At this time the announcement may be in transit to a proxy or to control, or already recorded.
				for _, control := range d.controls {
					control.signal(syscall.SIGSTOP)
					faults++
				}
			}

			<-bound

			start := server.statementCount()
			served, refused := l.served.Load(), l.refused.Load()

			if test.freezeControl {
				d.waitForIncrease("callers refused", &l.refused, 50)
				assert.Equal(t, start, server.statementCount(), "statements after %s while control is frozen", leaveTimeout)

				for _, control := range d.controls {
					control.signal(syscall.SIGCONT)
				}

				d.waitForLeaving(name, true)
				<-time.After(leaveTimeout)

				start = server.statementCount()
			}

			d.waitForIncrease("callers served without the leaving server", &l.served, 300)
			assert.Equal(t, start, server.statementCount(), "statements after %s", leaveTimeout)

			if test.primaryLeaves {
				assert.NotEqual(t, name, d.waitForTerm("students", group.Term).Primary)
			}

			t.Logf("%d faults; %s got %d statements before it left; afterwards %d callers' statements were served, %d refused, "+
				"and none reached it", faults, name, server.statementCount()-before, l.served.Load()-served, l.refused.Load()-refused)
		})
	}
}
