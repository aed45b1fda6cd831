package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// deployment is a few VMs with a control process and a proxy each. Each VM has a loopback address of its own.
type deployment struct {
	record *recorder
	folder string
	ips    []string
	ports  map[string]int
	// memoryMB is the limit on the memory of each process.
	memoryMB int

	mutex     sync.Mutex
	processes []*process
	closed    bool
}

// The names of ports, which are the same on all VMs.
const (
	portFront   = "front"
	portReady   = "ready"
	portControl = "control"
	portPeers   = "peers"
	portProxies = "proxies"
	portCloud   = "cloud"
	portMetrics = "metrics"
)

const (
	roleControl = "control"
	roleProxy   = "proxy"
)

// newDeployment returns a deployment whose processes are not started yet.
func newDeployment(record *recorder, vms, memoryMB int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}

	created := &deployment{record: record, folder: folder, memoryMB: memoryMB, ports: make(map[string]int)}
	interrupted := make(chan os.Signal, 1)

	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)

	go func() {
		<-interrupted
		created.close()
		os.Exit(exitFailed)
	}()

	for vm := range vms {
		created.ips = append(created.ips, fmt.Sprintf("127.0.%d.%d", 100+os.Getpid()%100, vm+1))
	}

	for _, name := range []string{portFront, portReady, portControl, portPeers, portProxies, portCloud, portMetrics, portMetrics + roleProxy} {
		if created.ports[name], err = freePort(created.ips, created.ports); err != nil {
			return nil, err
		}
	}

	return created, nil
}

// freePort returns a port that is free on all addresses and not chosen yet.
func freePort(ips []string, chosen map[string]int) (int, error) {
	for range 100 {
		port, err := tryPort(ips)
		taken := false

		for _, other := range chosen {
			taken = taken || other == port
		}

		if err == nil && !taken {
			return port, nil
		}
	}

	return 0, errors.New("no free port was found")
}

func tryPort(ips []string) (port int, err error) {
	for _, ip := range ips {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return 0, err
		}

		defer func() { _ = listener.Close() }()

		if address, isTCP := listener.Addr().(*net.TCPAddr); isTCP {
			port = address.Port
		}
	}

	return port, nil
}

// address returns the address of a port of a VM.
func (d *deployment) address(vm int, port string) string {
	return net.JoinHostPort(d.ips[vm], strconv.Itoa(d.ports[port]))
}

// writeSettings writes the settings file of a process.
func (d *deployment) writeSettings(vm int, role string, bootstrap bool) (string, error) {
	var seeds []string
	for other := range d.ips {
		seeds = append(seeds, d.address(other, portControl))
	}

	lines := []string{
		fmt.Sprintf("nodeName=frontend-zone%d-1", vm+1), "role=" + role, "machineClass=frontend", "ip=" + d.ips[vm],
		fmt.Sprintf("zone=zone%d", vm+1), "region=one", fmt.Sprintf("internalPorts=%d,%d", d.ports[portPeers], d.ports[portProxies]),
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", bootstrap), "lossCounts=true",
		"limits.cpuShare=0.72", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", d.memoryMB), "limits.maxFds=4200",
		"dataDir=" + filepath.Join(d.folder, fmt.Sprintf("%s-%d", role, vm)), "heartbeatMs=1200", "faultTolerance.machines=1",
		"bounds.graceS=6", "bounds.drainMs=7000", "bounds.configApplyMs=3000", "bounds.stabilityWindowMs=4000",
		"bounds.fencingEnforced=true", "config_mode=highest", "cloudApi.address=" + d.address(0, portCloud),
		"cloudApi.ratePerS=50.0", "cloudApi.duties=failover", "cloudApi.dutyPerS=50.0",
	}

	if role == roleControl {
		lines = append(lines, "serves=control", "listen.control="+d.address(vm, portControl))
	} else {
		lines = append(lines, "serves=frontend", "listen.front="+d.address(vm, portFront), "listen.ready="+d.address(vm, portReady))
	}

	path := filepath.Join(d.folder, fmt.Sprintf("%s-%d.conf", role, vm))

	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// process is a program of almondgrade on a VM, which the platform keeps running.
type process struct {
	deployment *deployment
	vm         int
	role       string
	ended      sync.WaitGroup

	mutex   sync.Mutex
	command *exec.Cmd
	stopped bool
	// overLimit counts the ends because of the memory limit.
	overLimit int
}

// start starts a process and keeps it running until close: one that ends is started again, no longer for the first time.
func (d *deployment) start(vm int, role string) (*process, error) {
	started := &process{deployment: d, vm: vm, role: role}

	if err := started.launch(true); err != nil {
		return nil, err
	}

	d.mutex.Lock()
	d.processes = append(d.processes, started)
	d.mutex.Unlock()

	started.ended.Add(1)

	go started.keepRunning()

	return started, nil
}

func (p *process) launch(bootstrap bool) error {
	settings, err := p.deployment.writeSettings(p.vm, p.role, bootstrap)
	if err != nil {
		return err
	}

	metrics := p.deployment.ports[portMetrics]
	if p.role == roleProxy {
		metrics = p.deployment.ports[portMetrics+roleProxy]
	}

	log, err := os.OpenFile(filepath.Join(p.deployment.folder, fmt.Sprintf("%s-%d.log", p.role, p.vm)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	defer func() { _ = log.Close() }()

	command := exec.Command("target/almondgrade", "node", p.role, fmt.Sprintf("--metrics=%d", metrics)) //nolint:gosec // The words of the deploy file.
	command.Env = []string{"ALMONDGRADE_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.stopped {
		return nil
	}

	p.command = command
	p.deployment.record.add("start %s on VM %d, bootstrap=%t", p.role, p.vm+1, bootstrap)

	return command.Start()
}

// keepRunning starts the process again when it has ended.
func (p *process) keepRunning() {
	defer p.ended.Done()

	for {
		p.mutex.Lock()
		command, stopped := p.command, p.stopped
		p.mutex.Unlock()

		err := command.Wait()

		if stopped || p.isStopped() {
			return
		}

		p.deployment.record.add("%s on VM %d has ended: %v", p.role, p.vm+1, err)
		time.Sleep(restartDelay)

		if p.isStopped() {
			return
		}

		if err := p.launch(false); err != nil {
			p.deployment.record.add("%s on VM %d can't be started: %v", p.role, p.vm+1, err)

			return
		}
	}
}

func (p *process) isStopped() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.stopped
}

// signal sends a signal to the process.
func (p *process) signal(sent syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	_ = p.command.Process.Signal(sent) // It fails if the process has just ended.
}

// memory returns the anonymous resident memory of the process in bytes. Pages of files are not counted.
func (p *process) memory() int {
	p.mutex.Lock()
	pid := p.command.Process.Pid
	p.mutex.Unlock()

	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	_, after, _ := bytes.Cut(status, []byte("RssAnon:"))
	fields := bytes.Fields(after)

	if len(fields) == 0 {
		return 0
	}

	kilobytes, err := strconv.Atoi(string(fields[0]))
	if err != nil {
		return 0
	}

	return kilobytes << 10
}

// enforceMemoryLimit kills the process when it uses more memory than its limit, as the platform does.
func (p *process) enforceMemoryLimit() {
	used := p.memory()
	if used <= p.deployment.memoryMB<<20 {
		return
	}

	p.mutex.Lock()
	p.overLimit++
	count := p.overLimit
	p.mutex.Unlock()

	p.deployment.record.add("%s on VM %d uses %d MiB of %d and is killed; this has happened %d times", p.role, p.vm+1,
		used>>20, p.deployment.memoryMB, count)
	p.signal(syscall.SIGKILL)

	for p.memory() > 0 {
		time.Sleep(10 * time.Millisecond) // Until it has been replaced or has ended.

		if p.memory() <= p.deployment.memoryMB<<20 {
			return
		}
	}
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.closed {
		return
	}

	d.closed = true

	for _, each := range d.processes {
		each.mutex.Lock()
		each.stopped = true
		_ = each.command.Process.Kill() // It may have ended.
		each.mutex.Unlock()
	}

	for _, each := range d.processes {
		each.ended.Wait()
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder) // What is left lies in the folder for temporary files.
	} else {
		d.record.add("kept %s", d.folder)
	}
}
