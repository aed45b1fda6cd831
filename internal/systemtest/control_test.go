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

// requestTimeout bounds one operator request to one process, so that a frozen process leaves time to ask the others.
const requestTimeout = 3 * time.Second

// operatorClient returns a client for the operators' interface of a process.
func operatorClient(p *process) *operator.Client {
	return operator.NewClient(operator.Target{Addresses: []netip.AddrPort{netip.MustParseAddrPort(p.operatorAddress)}})
}

// confirmedStatus asks the control processes in turn until one answers with a status that a quorum confirmed.
func (d *deployment) confirmedStatus() *controlpb.StatusReply {
	d.t.Helper()

	var found *controlpb.StatusReply

	eventually(d.t, "status confirmed by a quorum", conditionTimeout, func() error {
		var last error

		for _, control := range d.controls {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			status, err := operatorClient(control).Status(ctx)

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

// markedSettings returns the base settings with a user whose name holds the number and author of the change.
func markedSettings(base []byte, number uint64, author string) ([]byte, error) {
	var running map[string]any
	if err := json.Unmarshal(base, &running); err != nil {
		return nil, err
	}

	running["users"] = map[string]any{"clerk": map[string]any{}, fmt.Sprintf("%s%d-%s", markPrefix, number, author): map[string]any{}}

	return json.Marshal(running)
}

// markOf returns the number and author that markedSettings added; the number is zero in unmarked settings.
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

// configurationRace runs operators who change the configuration concurrently and watches which settings proxies use.
type configurationRace struct {
	d            *deployment
	baseSettings []byte
	firstNumber  uint64
	stop         chan struct{}
	tasks        sync.WaitGroup

	faults        atomic.Int64
	accepted      atomic.Int64
	refused       atomic.Int64
	resends       atomic.Int64
	settingsReads atomic.Int64
	latestNumber  atomic.Uint64

	mutex           sync.Mutex
	acceptedAuthors map[uint64]string
	// reportedAuthors holds, for each number, the authors that refused operators were told, and authorsInForce those
	// whose settings a proxy had in force.
	reportedAuthors, authorsInForce map[uint64]map[string]bool
	violations                      []string
}

func startConfigurationRace(d *deployment, operators int) *configurationRace {
	status := d.confirmedStatus()
	r := &configurationRace{
		d: d, baseSettings: status.GetSettings(), firstNumber: status.GetConfiguration(), stop: make(chan struct{}),
		acceptedAuthors: map[uint64]string{}, reportedAuthors: map[uint64]map[string]bool{}, authorsInForce: map[uint64]map[string]bool{},
	}
	r.latestNumber.Store(r.firstNumber)

	for i := range operators {
		r.tasks.Go(func() { r.makeChanges("racer" + strconv.Itoa(i)) })
	}

	for _, proxy := range d.proxies {
		r.tasks.Go(func() { r.watchProxy(proxy) })
	}

	return r
}

func (r *configurationRace) recordViolation(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *configurationRace) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// makeChanges applies changes, each based on the number in the previous reply.
func (r *configurationRace) makeChanges(author string) {
	base := r.firstNumber

	for n := 0; !r.stopped(); n++ {
		content, err := markedSettings(r.baseSettings, base+1, author)
		if err != nil {
			r.recordViolation("settings: %v", err)

			return
		}

		change := &controlpb.Change{Id: fmt.Sprintf("%s-%d", author, n), Base: base, Author: author, Settings: content}

		reply := r.sendChange(change)
		if reply == nil {
			return
		}

		if reply.GetCode() == 0 {
			r.recordAccepted(reply, change)

			if n%5 == 0 {
				r.resendChange(change, reply)
			}
		} else {
			r.recordRefused(reply, change)
		}

		base = reply.GetNumber()
	}
}

// sendChange sends a change to the control processes in turn, under the same id, until one answers. It returns nil if
// none answers in time.
func (r *configurationRace) sendChange(change *controlpb.Change) *controlpb.ChangeReply {
	var last error

	end := time.Now().Add(conditionTimeout)

	for i := 0; time.Now().Before(end); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		reply, err := operatorClient(r.d.controls[i%len(r.d.controls)]).Apply(ctx, change)

		cancel()

		if err == nil || result.CodeOf(err) == result.NumberNotCurrent {
			return reply
		}

		last = err

		time.Sleep(pollInterval)
	}

	r.recordViolation("change %s got no answer: %v", change.GetId(), last)

	return nil
}

func (r *configurationRace) recordAccepted(reply *controlpb.ChangeReply, change *controlpb.Change) {
	r.accepted.Add(1)

	r.mutex.Lock()
	other, taken := r.acceptedAuthors[reply.GetNumber()]
	r.acceptedAuthors[reply.GetNumber()] = change.GetAuthor()
	r.mutex.Unlock()

	if taken {
		r.recordViolation("number %d was assigned to changes of both %s and %s", reply.GetNumber(), other, change.GetAuthor())
	}

	if reply.GetNumber() != change.GetBase()+1 {
		r.recordViolation("change %s based on %d was accepted as %d", change.GetId(), change.GetBase(), reply.GetNumber())
	}

	for {
		now := r.latestNumber.Load()
		if now >= reply.GetNumber() || r.latestNumber.CompareAndSwap(now, reply.GetNumber()) {
			return
		}
	}
}

func (r *configurationRace) recordRefused(reply *controlpb.ChangeReply, change *controlpb.Change) {
	r.refused.Add(1)

	if reply.GetNumber() == change.GetBase() {
		r.recordViolation("change %s was refused although its base %d is current", change.GetId(), change.GetBase())
	}

	r.recordAuthor(r.reportedAuthors, reply.GetNumber(), reply.GetAuthor())
}

func (r *configurationRace) recordAuthor(authors map[uint64]map[string]bool, number uint64, author string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if authors[number] == nil {
		authors[number] = map[string]bool{}
	}

	authors[number][author] = true
}

func (r *configurationRace) resendChange(change *controlpb.Change, first *controlpb.ChangeReply) {
	second := r.sendChange(change)
	if second == nil {
		return
	}

	r.resends.Add(1)

	if second.GetCode() != 0 || second.GetNumber() != first.GetNumber() || !second.GetRepeated() {
		r.recordViolation("change %s was accepted as %d, sent again the answer is %v", change.GetId(), first.GetNumber(), second)
	}
}

// watchProxy polls the settings that a proxy has in force. They may never revert, not even when the proxy restarts.
func (r *configurationRace) watchProxy(proxy *process) {
	client := operatorClient(proxy)

	var last uint64

	for ; !r.stopped(); time.Sleep(pollInterval) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		running, err := client.Settings(ctx)

		cancel()

		if err != nil {
			continue
		}

		r.settingsReads.Add(1)

		number, author := markOf(running)
		if number < last {
			r.recordViolation("%s had number %d in force and reverted to %d", proxy.name, last, number)
		}

		last = number

		if number > 0 {
			r.recordAuthor(r.authorsInForce, number, author)
		}
	}
}

// waitForChanges waits until a number of further changes are accepted.
func (r *configurationRace) waitForChanges(changes int64) {
	r.d.t.Helper()

	start := r.accepted.Load()
	eventually(r.d.t, fmt.Sprintf("%d further changes", changes), 2*conditionTimeout, func() error {
		if now := r.accepted.Load() - start; now < changes {
			return fmt.Errorf("%d", now)
		}

		return nil
	})
}

func (r *configurationRace) injectFault(what string, inject func()) {
	r.d.t.Logf("fault: %s", what)
	inject()
	r.faults.Add(1)
}

// stopAndCheck ends the race and compares the authors that operators were told and that proxies used with those accepted.
func (r *configurationRace) stopAndCheck() {
	t := r.d.t
	t.Helper()
	close(r.stop)
	r.tasks.Wait()

	for number, authors := range r.reportedAuthors {
		for author := range authors {
			if number > r.firstNumber && r.acceptedAuthors[number] != author {
				r.violations = append(r.violations, fmt.Sprintf(
					"refused operators were told that %s made number %d; it was made by %q", author, number, r.acceptedAuthors[number]))
			}
		}
	}

	for number, authors := range r.authorsInForce {
		for author := range authors {
			if r.acceptedAuthors[number] != author {
				r.violations = append(r.violations, fmt.Sprintf(
					"a proxy had number %d of %s in force; it was made by %q", number, author, r.acceptedAuthors[number]))
			}
		}
	}

	t.Logf("%d faults; %d changes accepted, %d refused, %d sent again; %d reads of proxies' settings saw %d numbers",
		r.faults.Load(), r.accepted.Load(), r.refused.Load(), r.resends.Load(), r.settingsReads.Load(), len(r.authorsInForce))

	for i, violation := range r.violations {
		if i < 20 {
			t.Errorf("violation: %s", violation)
		}
	}

	require.Positive(t, r.faults.Load())
	require.Positive(t, r.accepted.Load())
	require.Positive(t, r.refused.Load())
	require.Positive(t, r.resends.Load())
	require.Positive(t, len(r.authorsInForce))
}

// waitUntilInForce waits until every proxy has the settings of a change in force.
func (r *configurationRace) waitUntilInForce(number uint64) {
	r.d.t.Helper()

	for _, proxy := range r.d.proxies {
		client := operatorClient(proxy)

		eventually(r.d.t, fmt.Sprintf("number %d in force on %s", number, proxy.name), conditionTimeout, func() error {
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

// Guards against two operators whose changes get the same number, a resent change that is applied twice, a proxy that
// reverts to an older configuration, and a restart that loses changes. Three operators change the configuration while
// control processes and a proxy are killed and restarted.
func TestConcurrentConfigurationChanges(t *testing.T) {
	d := deploy(t, deployOptions{controls: 3, proxies: 2, members: 3})
	r := startConfigurationRace(d, 3)

	for i := range 6 {
		control := d.controls[i%3]

		r.waitForChanges(25)
		r.injectFault("kill "+control.name, control.kill)
		r.waitForChanges(25)
		r.injectFault("start "+control.name, control.start)

		if i == 1 || i == 3 {
			r.injectFault("kill and start "+d.proxies[0].name, d.proxies[0].restart)
		}
	}

	r.waitForChanges(5)
	r.stopAndCheck()
	require.GreaterOrEqual(t, r.accepted.Load(), int64(300))

	last := r.latestNumber.Load()
	r.waitUntilInForce(last)

	for _, control := range d.controls {
		control.kill()
	}

	for _, control := range d.controls {
		control.start()
	}

	status := d.confirmedStatus()
	assert.Equal(t, last, status.GetConfiguration(), "the latest configuration after all control processes were killed")
	assert.Equal(t, r.acceptedAuthors[last], status.GetAuthor())
	r.waitUntilInForce(last)

	content, err := markedSettings(r.baseSettings, last+1, "after")
	require.NoError(t, err)

	reply := r.sendChange(&controlpb.Change{Id: "after", Base: last, Author: "after", Settings: content})
	require.NotNil(t, reply)
	assert.Equal(t, last+1, reply.GetNumber())
	r.waitUntilInForce(last + 1)
	require.Empty(t, r.violations)
}

// Guards against a control leader that is frozen while another takes over, and after its thaw answers from its old
// state. The requests are sent while it is frozen or just thawed, so that it finds them in its sockets.
func TestFrozenControlLeader(t *testing.T) {
	d := deploy(t, deployOptions{controls: 3, proxies: 2, members: 3})
	r := startConfigurationRace(d, 2)

	var checked, fresh, refused int

	for range 3 {
		r.waitForChanges(5)

		leader := d.control(d.confirmedStatus().GetLeader())
		connection, err := grpc.NewClient("passthrough:///"+leader.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)

		direct := controlpb.NewControlClient(connection)
		_, err = direct.Status(context.Background(), &controlpb.StatusRequest{})
		require.NoError(t, err)

		r.injectFault("freeze "+leader.name, func() { leader.signal(syscall.SIGSTOP) })
		r.waitForChanges(5)

		minNumber := r.latestNumber.Load()
		answers := make(chan error, 20)

		for range cap(answers) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()

				reply, err := direct.Status(ctx, &controlpb.StatusRequest{})
				if err == nil && reply.GetConfiguration() < minNumber {
					answers <- errStaleAnswer

					return
				}

				answers <- err
			}()
		}

		r.injectFault("thaw "+leader.name, func() { leader.signal(syscall.SIGCONT) })

		for range cap(answers) {
			err := <-answers
			checked++

			switch {
			case errors.Is(err, errStaleAnswer):
				t.Errorf("%s answered from a state older than number %d", leader.name, minNumber)
			case err == nil:
				fresh++
			default:
				refused++
			}
		}

		require.NoError(t, connection.Close())
	}

	r.waitForChanges(5)
	r.stopAndCheck()
	t.Logf("%d requests to thawed leaders: %d fresh answers, %d refused", checked, fresh, refused)
	require.Positive(t, checked)
}

var errStaleAnswer = errors.New("answer from an old state")

func (d *deployment) control(name string) *process {
	for _, control := range d.controls {
		if control.name == name {
			return control
		}
	}

	d.t.Fatalf("no control process %q", name)

	return nil
}
