package systemtest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

const (
	// conditionTimeout bounds the wait for a condition, such as a started system that serves requests. It is far above
	// what is needed, so that no test fails only because the machine is busy.
	conditionTimeout = 60 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	poolName     = "registry"
)

// buildPrograms builds both programs once for all tests and returns their folder.
//
//nolint:gochecknoglobals // Building takes seconds.
var buildPrograms = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "almondgrade-system")
	if err != nil {
		return "", err
	}

	build := exec.Command("go", "build", "-o", folder+"/", "almondgrade/cmd/almondgrade", "almondgrade/cmd/almonddev")
	output, err := build.CombinedOutput()

	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}

	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()

	if folder, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(folder)
	}

	os.Exit(code)
}

// deployment is a running system whose programs are separate processes.
type deployment struct {
	t             *testing.T
	folder        string
	programFolder string
	controls      []*process
	proxies       []*process
	members       []*process
}

// process is one started program.
type process struct {
	t       *testing.T
	name    string
	program string
	args    []string
	// address accepts the callers of a proxy, the proxies' connections to a member, and a control process's own protocol.
	address string
	// httpAddress serves the status and fault injection of a member, or the health checks and announcements of a proxy;
	// operatorAddress serves the operators' interface of a control process or proxy.
	httpAddress     string
	operatorAddress string
	dataFolder      string
	output          *lockedBuffer
	command         *exec.Cmd
	exited          chan struct{}
}

// deployOptions describe the processes and settings of a deployment.
type deployOptions struct {
	controls, proxies, members int
	groups                     []string
	runningSettings            map[string]any
	memberArgs                 []string
}

// deploy starts a system and waits until it serves writes and reads through every proxy.
func deploy(t *testing.T, options deployOptions) *deployment {
	t.Helper()

	folder, err := buildPrograms()
	require.NoError(t, err)

	d := &deployment{t: t, folder: t.TempDir(), programFolder: folder}
	if len(options.groups) == 0 {
		options.groups = []string{"students"}
	}

	d.writeBaseSettings(options)

	for i := range options.controls {
		d.startControl(i)
	}

	for i := range options.proxies {
		d.startProxy(i)
	}

	for _, group := range options.groups {
		for i := range options.members {
			d.startMember(group, i, options.memberArgs)
		}
	}

	t.Cleanup(d.tearDown)

	for _, proxy := range d.proxies {
		for _, group := range options.groups {
			d.waitUntilServing(proxy, group, options.members)
		}
	}

	return d
}

func (d *deployment) writeBaseSettings(options deployOptions) {
	var members []map[string]any

	for i := range options.controls {
		control := &process{
			t: d.t, name: fmt.Sprintf("control%d", i+1), address: freeAddress(d.t), operatorAddress: freeAddress(d.t),
			dataFolder: filepath.Join(d.folder, fmt.Sprintf("control%d", i+1)),
		}
		d.controls = append(d.controls, control)
		members = append(members, map[string]any{
			"name": control.name, "address": control.address, "operator": control.operatorAddress,
		})
	}

	running := map[string]any{
		"backend": map[string]any{"user": "almondgrade"},
		"pools": map[string]any{
			"registry": map[string]any{
				"groups": options.groups, "database": "main",
				"traffic": []any{
					map[string]any{"name": "urgent", "applications": []string{"urgent*"}, "urgent": true},
					map[string]any{"name": "browse", "applications": []string{"browse*"}, "max_age": "10s", "session": "connection"},
					map[string]any{"name": "session", "applications": []string{"session*"}, "session": "connection"},
				},
			},
		},
		"users": map[string]any{"clerk": map[string]any{}},
	}
	for key, value := range options.runningSettings {
		running[key] = value
	}

	d.writeJSON("base.json", map[string]any{
		"format": 1, "site": "test", "control": members, "log": map[string]any{"format": "text", "level": "debug"},
		"running": running,
	})
}

func (d *deployment) writeJSON(name string, value any) string {
	text, err := json.MarshalIndent(value, "", "  ")
	require.NoError(d.t, err)

	path := filepath.Join(d.folder, name)
	require.NoError(d.t, os.WriteFile(path, text, 0o600))

	return path
}

func centreName(i int) string {
	return []string{"plateau", "almadies", "pikine"}[i%3]
}

func (d *deployment) startControl(i int) {
	control := d.controls[i]
	overlay := d.writeJSON(control.name+".json", map[string]any{"vm": map[string]any{
		"name": control.name, "centre": centreName(i), "control": control.address, "operator": control.operatorAddress,
		"data": control.dataFolder,
	}})
	control.program = filepath.Join(d.programFolder, "almondgrade")
	control.args = []string{"control", filepath.Join(d.folder, "base.json"), overlay}
	control.start()
}

func (d *deployment) startProxy(i int) *process {
	proxy := &process{
		t: d.t, name: fmt.Sprintf("proxy%d", i+1), address: freeAddress(d.t), operatorAddress: freeAddress(d.t),
		httpAddress: freeAddress(d.t),
	}
	overlay := d.writeJSON(proxy.name+".json", map[string]any{"vm": map[string]any{
		"name": proxy.name, "centre": centreName(i), "caller": proxy.address, "peer": freeAddress(d.t),
		"platform": proxy.httpAddress, "operator": proxy.operatorAddress,
	}})
	proxy.program = filepath.Join(d.programFolder, "almondgrade")
	proxy.args = []string{"proxy", filepath.Join(d.folder, "base.json"), overlay}
	proxy.start()
	d.proxies = append(d.proxies, proxy)

	return proxy
}

func (d *deployment) startMember(group string, i int, args []string) *process {
	member := &process{
		t: d.t, name: fmt.Sprintf("%s%c", group, 'a'+i), address: freeAddress(d.t), httpAddress: freeAddress(d.t),
	}
	member.program = filepath.Join(d.programFolder, "almonddev")
	member.args = append([]string{
		"member", "--name", member.name, "--group", group, "--listen", member.address, "--centre", centreName(i),
		"--fault", member.httpAddress,
	}, args...)

	for _, proxy := range d.proxies {
		member.args = append(member.args, "--announce", proxy.httpAddress)
	}

	if i == 0 {
		member.args = append(member.args, "--primary")
	}

	member.start()
	d.members = append(d.members, member)

	return member
}

// waitUntilServing waits until a proxy serves a write, and until the group has all members and no membership change is
// in progress.
func (d *deployment) waitUntilServing(proxy *process, group string, members int) {
	d.t.Helper()
	eventually(d.t, fmt.Sprintf("%s serves group %s", proxy.name, group), conditionTimeout, func() error {
		conn, err := d.tryConnect(proxy, "", group)
		if err != nil {
			return err
		}
		defer conn.Close(context.Background())

		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()

		_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS ready (proxy text)")

		return err
	})
	eventually(d.t, fmt.Sprintf("%d members of group %s", members, group), conditionTimeout, func() error {
		status, err := d.status()
		if err != nil {
			return err
		}

		for _, g := range status.Groups {
			if g.Name == group && len(g.Members) == members && len(g.Previous) == 0 {
				return nil
			}
		}

		return fmt.Errorf("status: %+v", status.Groups)
	})
}

// groupStatus is the part of a group's status that the tests use.
type groupStatus struct {
	Name        string
	Term        uint64 `json:",string"`
	Primary     string
	Phase       string
	Coordinator string
	Members     []string
	Previous    []string
}

type systemStatus struct {
	Configuration uint64 `json:",string"`
	Groups        []groupStatus
	Proxies       []struct {
		Proxy         struct{ Name string }
		Configuration uint64 `json:",string"`
		Live          bool
	}
}

// status returns the system's status as the operators' command prints it.
func (d *deployment) status() (systemStatus, error) {
	var status systemStatus

	output, err := d.runOperatorCommand("status", "--json")
	if err != nil {
		return status, err
	}

	return status, json.Unmarshal(output, &status)
}

// runOperatorCommand runs an operator subcommand against the control processes in turn, until one succeeds.
func (d *deployment) runOperatorCommand(args ...string) ([]byte, error) {
	var last error

	for _, control := range d.controls {
		output, err := d.runOperatorCommandAt(control, args...)
		if err == nil {
			return output, nil
		}

		last = err
	}

	return nil, last
}

// runOperatorCommandAt runs an operator subcommand against one process.
func (d *deployment) runOperatorCommandAt(process *process, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()

	args = append(args, "--address", process.operatorAddress)
	command := exec.CommandContext(ctx, filepath.Join(d.programFolder, "almondgrade"), args...)

	var stderr bytes.Buffer

	command.Stderr = &stderr
	output, err := command.Output()

	if err != nil {
		return output, fmt.Errorf("%w: %s", err, stderr.String())
	}

	return output, nil
}

func (d *deployment) groupStatus(name string) groupStatus {
	d.t.Helper()

	var found groupStatus

	eventually(d.t, "status of group "+name, conditionTimeout, func() error {
		status, err := d.status()
		if err != nil {
			return err
		}

		for _, g := range status.Groups {
			if g.Name == name {
				found = g

				return nil
			}
		}

		return fmt.Errorf("no group %s in the status", name)
	})

	return found
}

func (d *deployment) member(name string) *process {
	for _, member := range d.members {
		if member.name == name {
			return member
		}
	}

	d.t.Fatalf("no member %s", name)

	return nil
}

// connect opens a caller's connection through a proxy.
func (d *deployment) connect(proxy *process, application string) *pgx.Conn {
	d.t.Helper()

	var conn *pgx.Conn

	eventually(d.t, "connection to "+proxy.name, conditionTimeout, func() error {
		var err error
		conn, err = d.tryConnect(proxy, application, "")

		return err
	})
	d.t.Cleanup(func() { _ = conn.Close(context.Background()) })

	return conn
}

func (d *deployment) tryConnect(proxy *process, application, group string) (*pgx.Conn, error) {
	name := poolName
	if group != "" {
		name += "." + group
	}

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	return pgx.Connect(ctx, fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable&application_name=%s",
		proxy.address, name, application))
}

func (d *deployment) tearDown() {
	for _, group := range [][]*process{d.proxies, d.members, d.controls} {
		for _, p := range group {
			p.kill()
		}
	}

	if !d.t.Failed() {
		return
	}

	for _, group := range [][]*process{d.controls, d.proxies, d.members} {
		for _, p := range group {
			if p.output != nil {
				d.t.Logf("---- log of %s\n%s", p.name, lastLines(p.output.String(), 60))
			}
		}
	}
}

func lastLines(text string, lines int) string {
	all := strings.Split(strings.TrimRight(text, "\n"), "\n")

	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *process) start() {
	p.t.Helper()

	if p.output == nil {
		p.output = &lockedBuffer{}
	}

	p.command = exec.Command(p.program, p.args...)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	// The kernel sends Pdeathsig when the thread that started the process ends.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()

	require.NoError(p.t, p.command.Start())

	command, ended := p.command, make(chan struct{})
	p.exited = ended

	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

func (p *process) kill() {
	if p.command == nil {
		return
	}

	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) restart() {
	p.kill()
	p.start()
}

// injectFault posts a fault to a member's fault injection interface.
func (p *process) injectFault(fault map[string]any) {
	p.t.Helper()

	body, err := json.Marshal(fault)
	require.NoError(p.t, err)

	reply, err := http.Post("http://"+p.httpAddress+"/fault", "application/json", bytes.NewReader(body)) //nolint:noctx // A test.
	require.NoError(p.t, err)
	require.NoError(p.t, reply.Body.Close())
	require.Equal(p.t, http.StatusNoContent, reply.StatusCode)
}

// eventually polls a condition until it returns nil; after the limit it fails the test with the last error.
func eventually(t *testing.T, what string, limit time.Duration, condition func() error) {
	t.Helper()

	var err error

	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = condition(); err == nil {
			return
		}
	}

	t.Fatalf("%s: not reached within %s: %v", what, limit, err)
}

// nextAddress is the number of loopback addresses that this test process has handed out.
//
//nolint:gochecknoglobals // Addresses are unique over all tests.
var nextAddress atomic.Uint32

// freeAddress returns a loopback address that no other listener uses. A free port of 127.0.0.1 could be taken by an
// outgoing connection before the process listens; outgoing connections don't use other addresses of the loopback range.
func freeAddress(t *testing.T) string {
	t.Helper()

	const (
		firstBlock, blocks = 20, 100
		perBlock           = 250
		port               = 7000
	)

	number := int(nextAddress.Add(1))
	require.Less(t, number, perBlock*perBlock)

	address := net.IPv4(127, byte(firstBlock+os.Getpid()%blocks), byte(1+number/perBlock), byte(1+number%perBlock))

	return net.JoinHostPort(address.String(), strconv.Itoa(port))
}

// lockedBuffer collects the output of a process and is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.buffer.String()
}
