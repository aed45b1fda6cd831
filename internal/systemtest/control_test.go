package systemtest_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/io/control/controlpb"
	"almondgrade/io/operator"
)

// askLimit bounds one request of an operator to one process, so that a frozen one doesn't take the time of the others.
const askLimit = 3 * time.Second

// operators returns a client for the operators' interface of a process.
func operators(p *process) *operator.Client {
	return operator.NewClient(operator.Target{Addresses: []netip.AddrPort{netip.MustParseAddrPort(p.operator)}})
}

// confirmedStatus asks control until a quorum confirms an answer.
func (d *deployment) confirmedStatus() *controlpb.StatusReply {
	d.t.Helper()

	var found *controlpb.StatusReply

	eventually(d.t, "status confirmed by a quorum", startLimit, func() error {
		var last error

		for _, control := range d.controls {
			ctx, cancel := context.WithTimeout(context.Background(), askLimit)
			status, err := operators(control).Status(ctx)

			cancel()

			if err == nil {
				found = status

				return nil
			}

			last = err
		}

		return last
	})

	return found
}

const markPrefix = "mark-"

// marked returns settings with a user whose name says which change they come from.
func marked(base []byte, number uint64, author string) ([]byte, error) {
	var running map[string]any
	if err := json.Unmarshal(base, &running); err != nil {
		return nil, err
	}

	running["users"] = map[string]any{"clerk": map[string]any{}, fmt.Sprintf("%s%d-%s", markPrefix, number, author): map[string]any{}}

	return json.Marshal(running)
}

// markOf returns the change that settings come from; zero is the first configuration.
func markOf(running settings.Running) (uint64, string) {
	for name := range running.Users {
		if mark, found := strings.CutPrefix(name, markPrefix); found {
			number, author, _ := strings.Cut(mark, "-")
			parsed, _ := strconv.ParseUint(number, 10, 64)

			return parsed, author
		}
	}

	return 0, ""
}

// race is a set of operators who change the configuration at the same time.
type race struct {
	d     *deployment
	base  []byte
	first uint64
	stop  chan struct{}
	tasks sync.WaitGroup

	faults   atomic.Int64
	accepted atomic.Int64
	refused  atomic.Int64
	resent   atomic.Int64
	looks    atomic.Int64
	current  atomic.Uint64

	mutex   sync.Mutex
	winners map[uint64]string
	// told holds, for each number, the authors that refused operators were told, and seen those whose settings were
	// in force on a proxy.
	told, seen map[uint64]map[string]bool
	violations []string
}

func startRace(d *deployment, racers int) *race {
	status := d.confirmedStatus()
	r := &race{
		d: d, base: status.GetSettings(), first: status.GetConfiguration(), stop: make(chan struct{}),
		winners: map[uint64]string{}, told: map[uint64]map[string]bool{}, seen: map[uint64]map[string]bool{},
	}
	r.current.Store(r.first)

	for i := range racers {
		r.tasks.Go(func() { r.change("racer" + strconv.Itoa(i)) })
	}

	for _, proxy := range d.proxies {
		r.tasks.Go(func() { r.watch(proxy) })
	}

	return r
}

func (r *race) violate(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *race) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// change makes changes based on the number that it last heard of.
func (r *race) change(author string) {
	base := r.first

	for n := 0; !r.stopped(); n++ {
		content, err := marked(r.base, base+1, author)
		if err != nil {
			r.violate("settings: %v", err)

			return
		}

		change := &controlpb.Change{Id: fmt.Sprintf("%s-%d", author, n), Base: base, Author: author, Settings: content}

		reply := r.send(change)
		if reply == nil {
			return
		}

		if reply.GetCode() == 0 {
			r.win(reply, change)

			if n%5 == 0 {
				r.resend(change, reply)
			}
		} else {
			r.lose(reply, change)
		}

		base = reply.GetNumber()
	}
}

// send repeats a change under its id, through the control processes in turn, until it is answered. It returns nil if
// it is not answered in time.
func (r *race) send(change *controlpb.Change) *controlpb.ChangeReply {
	var last error

	end := time.Now().Add(startLimit)

	for i := 0; time.Now().Before(end); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), askLimit)
		reply, err := operators(r.d.controls[i%len(r.d.controls)]).Apply(ctx, change)

		cancel()

		if err == nil || result.CodeOf(err) == result.NumberNotCurrent {
			return reply
		}

		last = err

		time.Sleep(waitPeriod)
	}

	r.violate("change %s was not answered: %v", change.GetId(), last)

	return nil
}

func (r *race) win(reply *controlpb.ChangeReply, change *controlpb.Change) {
	r.accepted.Add(1)

	r.mutex.Lock()
	other, taken := r.winners[reply.GetNumber()]
	r.winners[reply.GetNumber()] = change.GetAuthor()
	r.mutex.Unlock()

	if taken {
		r.violate("number %d was won by %s and by %s", reply.GetNumber(), other, change.GetAuthor())
	}

	if reply.GetNumber() != change.GetBase()+1 {
		r.violate("change %s based on %d was accepted as %d", change.GetId(), change.GetBase(), reply.GetNumber())
	}

	for {
		now := r.current.Load()
		if now >= reply.GetNumber() || r.current.CompareAndSwap(now, reply.GetNumber()) {
			return
		}
	}
}

func (r *race) lose(reply *controlpb.ChangeReply, change *controlpb.Change) {
	r.refused.Add(1)

	if reply.GetNumber() == change.GetBase() {
		r.violate("change %s was refused although %d is current", change.GetId(), change.GetBase())
	}

	r.note(r.told, reply.GetNumber(), reply.GetAuthor())
}

func (r *race) note(where map[uint64]map[string]bool, number uint64, author string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if where[number] == nil {
		where[number] = map[string]bool{}
	}

	where[number][author] = true
}

func (r *race) resend(change *controlpb.Change, first *controlpb.ChangeReply) {
	again := r.send(change)
	if again == nil {
		return
	}

	r.resent.Add(1)

	if again.GetCode() != 0 || again.GetNumber() != first.GetNumber() || !again.GetRepeated() {
		r.violate("change %s was accepted as %d, sent again the answer is %v", change.GetId(), first.GetNumber(), again)
	}
}

// watch reads the settings that a proxy has in force. They may never go back, also when the proxy starts anew.
func (r *race) watch(proxy *process) {
	client := operators(proxy)

	var last uint64

	for ; !r.stopped(); time.Sleep(waitPeriod) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		running, err := client.Settings(ctx)

		cancel()

		if err != nil {
			continue
		}

		r.looks.Add(1)

		number, author := markOf(running)
		if number < last {
			r.violate("%s had number %d in force, then %d", proxy.name, last, number)
		}

		last = number

		if number > 0 {
			r.note(r.seen, number, author)
		}
	}
}

// progress waits for a number of further accepted changes.
func (r *race) progress(changes int64) {
	r.d.t.Helper()

	start := r.accepted.Load()
	eventually(r.d.t, fmt.Sprintf("%d further changes", changes), 2*startLimit, func() error {
		if now := r.accepted.Load() - start; now < changes {
			return fmt.Errorf("%d", now)
		}

		return nil
	})
}

func (r *race) fault(what string, inject func()) {
	r.d.t.Logf("fault: %s", what)
	inject()
	r.faults.Add(1)
}

// finish ends the race and compares what operators and proxies were told.
func (r *race) finish() {
	t := r.d.t
	t.Helper()
	close(r.stop)
	r.tasks.Wait()

	for number, authors := range r.told {
		for author := range authors {
			if number > r.first && r.winners[number] != author {
				r.violations = append(r.violations, fmt.Sprintf(
					"losers were told that %s made number %d; it was %q", author, number, r.winners[number]))
			}
		}
	}

	for number, authors := range r.seen {
		for author := range authors {
			if r.winners[number] != author {
				r.violations = append(r.violations, fmt.Sprintf(
					"a proxy had number %d of %s in force; it was made by %q", number, author, r.winners[number]))
			}
		}
	}

	t.Logf("%d faults; %d changes accepted, %d refused, %d sent again; %d looks at proxies' settings saw %d numbers",
		r.faults.Load(), r.accepted.Load(), r.refused.Load(), r.resent.Load(), r.looks.Load(), len(r.seen))

	for i, violation := range r.violations {
		if i < 20 {
			t.Errorf("violation: %s", violation)
		}
	}

	require.Positive(t, r.faults.Load())
	require.Positive(t, r.accepted.Load())
	require.Positive(t, r.refused.Load())
	require.Positive(t, r.resent.Load())
	require.Positive(t, len(r.seen))
}

// waitInForce waits until every proxy has the settings of a change in force.
func (r *race) waitInForce(number uint64) {
	r.d.t.Helper()

	for _, proxy := range r.d.proxies {
		client := operators(proxy)

		eventually(r.d.t, fmt.Sprintf("number %d in force on %s", number, proxy.name), startLimit, func() error {
			running, err := client.Settings(context.Background())
			if err != nil {
				return err
			}

			if seen, _ := markOf(running); seen != number {
				return fmt.Errorf("number %d", seen)
			}

			return nil
		})
	}
}

// Guards against two operators who both win a number, against a resend that changes something again, against a
// proxy that goes back to an older configuration, and against a restart that forgets changes.
func TestConfigurationRace(t *testing.T) {
	d := deploy(t, shape{controls: 3, proxies: 2, members: 3})
	r := startRace(d, 3)

	for i := range 6 {
		control := d.controls[i%3]

		r.progress(25)
		r.fault("kill "+control.name, control.kill)
		r.progress(25)
		r.fault("start "+control.name, control.start)

		if i == 1 || i == 3 {
			r.fault("kill and start "+d.proxies[0].name, d.proxies[0].restart)
		}
	}

	r.progress(5)
	r.finish()
	require.GreaterOrEqual(t, r.accepted.Load(), int64(300))

	last := r.current.Load()
	r.waitInForce(last)

	for _, control := range d.controls {
		control.kill()
	}

	for _, control := range d.controls {
		control.start()
	}

	status := d.confirmedStatus()
	assert.Equal(t, last, status.GetConfiguration(), "the latest configuration after all control processes were killed")
	assert.Equal(t, r.winners[last], status.GetAuthor())
	r.waitInForce(last)

	content, err := marked(r.base, last+1, "after")
	require.NoError(t, err)

	reply := r.send(&controlpb.Change{Id: "after", Base: last, Author: "after", Settings: content})
	require.NotNil(t, reply)
	assert.Equal(t, last+1, reply.GetNumber())
	r.waitInForce(last + 1)
	require.Empty(t, r.violations)
}

// Guards against a control leader that was frozen while others took over, and then answers from its old state. The
// requests wait in its sockets when it is thawed.
func TestFrozenControlLeader(t *testing.T) {
	d := deploy(t, shape{controls: 3, proxies: 2, members: 3})
	r := startRace(d, 2)

	var checked, fresh, refused int

	for range 3 {
		r.progress(5)

		leader := d.controlNamed(d.confirmedStatus().GetLeader())
		connection, err := grpc.NewClient("passthrough:///"+leader.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)

		direct := controlpb.NewControlClient(connection)
		_, err = direct.Status(context.Background(), &controlpb.StatusRequest{})
		require.NoError(t, err)

		r.fault("freeze "+leader.name, func() { leader.signal(syscall.SIGSTOP) })
		r.progress(5)

		atLeast := r.current.Load()
		answers := make(chan error, 20)

		for range cap(answers) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()

				reply, err := direct.Status(ctx, &controlpb.StatusRequest{})
				if err == nil && reply.GetConfiguration() < atLeast {
					answers <- errOld

					return
				}

				answers <- err
			}()
		}

		r.fault("thaw "+leader.name, func() { leader.signal(syscall.SIGCONT) })

		for range cap(answers) {
			err := <-answers
			checked++

			switch {
			case errors.Is(err, errOld):
				t.Errorf("%s answered with a state before number %d", leader.name, atLeast)
			case err == nil:
				fresh++
			default:
				refused++
			}
		}

		require.NoError(t, connection.Close())
	}

	r.progress(5)
	r.finish()
	t.Logf("%d requests to thawed leaders: %d fresh answers, %d refused", checked, fresh, refused)
	require.Positive(t, checked)
}

var errOld = errors.New("old state")

func (d *deployment) controlNamed(name string) *process {
	for _, control := range d.controls {
		if control.name == name {
			return control
		}
	}

	d.t.Fatalf("no control process %q", name)

	return nil
}
