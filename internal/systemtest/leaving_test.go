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

// leavingBound is the time after which a leaving server gets no new statement.
const leavingBound = 4 * time.Second

// statements returns how many statements a member got on connections that proxies use for callers.
func (p *process) statements() uint64 {
	p.t.Helper()

	reply, err := http.Get("http://" + p.fault + "/status") //nolint:noctx // A test.
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

// load is a number of callers who read and write through every proxy until it ends.
type load struct {
	d       *deployment
	stop    chan struct{}
	callers sync.WaitGroup
	served  atomic.Int64
	refused atomic.Int64
}

func startLoad(d *deployment) *load {
	l := &load{d: d, stop: make(chan struct{})}
	conn := d.connect(d.proxies[0], "")
	_, err := conn.Exec(context.Background(), "CREATE TABLE visits (id text)")
	require.NoError(d.t, err)

	for _, proxy := range d.proxies {
		for i := range 3 {
			application := []string{"browse", "session", ""}[i]
			l.callers.Go(func() { l.call(proxy, application) })
		}
	}

	return l
}

func (l *load) call(proxy *process, application string) {
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
				time.Sleep(waitPeriod)

				conn = nil

				continue
			}
		}

		sql := "SELECT count(*) FROM visits WHERE id = 'none'"
		if n%10 == 0 && application == "" {
			sql = "INSERT INTO visits VALUES ('x')"
		}

		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		_, err := conn.Exec(ctx, sql)

		cancel()

		if err == nil {
			l.served.Add(1)
		} else {
			l.refused.Add(1)
			time.Sleep(waitPeriod)
		}
	}
}

func (l *load) finish() {
	close(l.stop)
	l.callers.Wait()
}

// more waits until a count has grown.
func (d *deployment) more(what string, count *atomic.Int64, by int64) {
	d.t.Helper()

	start := count.Load()
	eventually(d.t, what, startLimit, func() error {
		if now := count.Load() - start; now < by {
			return fmt.Errorf("%d of %d", now, by)
		}

		return nil
	})
}

// waitLeaving waits until control has recorded that a server leaves or stays.
func (d *deployment) waitLeaving(name string, leaving bool) {
	d.t.Helper()
	eventually(d.t, fmt.Sprintf("%s leaving: %v", name, leaving), startLimit, func() error {
		for _, server := range d.confirmedStatus().GetServers() {
			if server.GetName() == name && server.GetLeaving() == leaving {
				return nil
			}
		}

		return fmt.Errorf("not recorded")
	})
}

// Guards against statements that reach a server after its time to leave is over: from proxies that hold open
// connections to it, from a primary's sessions, and from proxies that control can't reach to tell them. The count is
// the server's own.
func TestLeavingServerGetsNoWork(t *testing.T) {
	tests := []struct {
		name string
		// primary says whether the primary leaves, or a replica.
		primary bool
		// freeze stops all control processes once they have recorded that the server leaves.
		freeze bool
	}{
		{"replica", false, false},
		{"primary", true, false},
		{"replica, proxies cut off from control", false, true},
		{"primary, proxies cut off from control", true, true},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, shape{controls: 3, proxies: 2, members: 3})
			l := startLoad(d)
			defer l.finish()

			group := d.group("students")
			name := group.Primary

			for _, member := range group.Members {
				if !test.primary && member != group.Primary {
					name = member
				}
			}

			leaver := d.member(name)
			before := leaver.statements()
			d.more("callers served", &l.served, 200)

			// Proxies begin to use a replica some time after it has become a member.
			eventually(t, name+" gets work before it leaves", startLimit, func() error {
				if leaver.statements() == before {
					return fmt.Errorf("no statements yet")
				}

				return nil
			})

			bound := time.After(leavingBound)
			leaver.inject(map[string]any{"kind": "leave"})

			faults := 1

			if test.freeze {
				// The announcement may be on its way to a proxy or to control, or recorded.
				for _, control := range d.controls {
					control.signal(syscall.SIGSTOP)
					faults++
				}
			}

			<-bound

			start := leaver.statements()
			served, refused := l.served.Load(), l.refused.Load()

			if test.freeze {
				d.more("callers refused", &l.refused, 50)
				assert.Equal(t, start, leaver.statements(), "statements after %s while control is frozen", leavingBound)

				for _, control := range d.controls {
					control.signal(syscall.SIGCONT)
				}

				d.waitLeaving(name, true)
				<-time.After(leavingBound)

				start = leaver.statements()
			}

			d.more("callers served without the leaving server", &l.served, 300)
			assert.Equal(t, start, leaver.statements(), "statements after %s", leavingBound)

			if test.primary {
				assert.NotEqual(t, name, d.waitTerm("students", group.Term).Primary)
			}

			t.Logf("%d faults; %s got %d statements before it left; afterwards %d callers' statements were served, %d refused, "+
				"and none reached it", faults, name, leaver.statements()-before, l.served.Load()-served, l.refused.Load()-refused)
		})
	}
}
