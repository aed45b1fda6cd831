package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cannotRun ends the test because it could not be set up.
func cannotRun(format string, args ...any) {
	panic(setupError(fmt.Sprintf(format, args...)))
}

type setupError string

// recorder writes record.txt.
type recorder struct {
	mutex sync.Mutex
	file  *bufio.Writer
	began time.Time
	// reads has the last run of each read, by the id of the request.
	reads map[string]readRun
}

// readRun is a read that a member ran: the number of the last commit that it saw.
type readRun struct {
	member string
	sees   int
}

// read records the run of a read.
func (r *recorder) read(id, member string, sees int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.reads == nil {
		r.reads = make(map[string]readRun)
	}

	r.reads[id] = readRun{member, sees}
}

func (r *recorder) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// process is one program of the project.
type process struct {
	name, role string
	ip         string
	settings   string
	out        *os.File
	command    *exec.Cmd
	ended      chan struct{}
}

// cluster is a small deployment: machines with a control process and a proxy each, on loopback.
type cluster struct {
	rec      *recorder
	folder   string
	program  string
	ports    [8]int
	ips      []string
	zones    []string
	controls []*process
	proxies  []*process
	platform *http.Server
	services []*service
	stopping chan struct{}
	version  int
	routes   []map[string]any
}

const (
	portFront = iota
	portReady
	portControl
	portPeer
	portProxyPeer
	portMetricsProxy
	portMetricsControl
	portPlatform
)

func newCluster(rec *recorder, machines int) *cluster {
	folder, err := os.MkdirTemp("", "almondgrade-review-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}

	program, err := filepath.Abs("target/almondgrade")
	if err != nil {
		cannotRun("%v", err)
	}

	if _, err := os.Stat(program); err != nil {
		cannotRun("the program is not built: %v", err)
	}

	c := &cluster{rec: rec, folder: folder, program: program, stopping: make(chan struct{})}

	for i := range machines {
		c.ips = append(c.ips, fmt.Sprintf("127.0.%d.%d", 20+i, 1+os.Getpid()%250))
		c.zones = append(c.zones, fmt.Sprintf("zone-%c", 'a'+i%3))
	}

	c.findPorts()

	return c
}

// findPorts finds ports that are free on all machines.
func (c *cluster) findPorts() {
	next := 21000 + os.Getpid()%4000

	for i := range c.ports {
		for ; ; next++ {
			free := true

			for _, ip := range c.ips {
				listener, err := net.Listen("tcp", ip+":"+strconv.Itoa(next))
				if err != nil {
					free = false

					break
				}

				_ = listener.Close()
			}

			if free {
				c.ports[i] = next
				next++

				break
			}
		}
	}
}

func (c *cluster) address(machine, port int) string {
	return c.ips[machine] + ":" + strconv.Itoa(c.ports[port])
}

// writeSettings writes the settings file of a process, like that of a machine of the pages.
func (c *cluster) writeSettings(p *process, machine int, bootstrap bool) {
	var seeds []string
	for i := range min(3, len(c.ips)) {
		seeds = append(seeds, c.address(i, portControl))
	}

	lines := []string{
		"nodeName=" + p.name, "role=" + p.role, "machineClass=frontend", "serves=frontend,control", "ip=" + p.ip,
		"zone=" + c.zones[machine], "region=region", "listen.front=" + c.address(machine, portFront),
		"listen.ready=" + c.address(machine, portReady), "listen.control=" + c.address(machine, portControl),
		fmt.Sprintf("internalPorts=%d,%d", c.ports[portPeer], c.ports[portProxyPeer]), "seeds=" + strings.Join(seeds, ","),
		"bootstrap=" + strconv.FormatBool(bootstrap), "lossCounts=true", "limits.cpuShare=0.72", "limits.cores=1",
		"limits.memoryMb=284", "limits.maxFds=4200", "limits.linkMbps=1000.0", "limits.diskMb=64",
		"discovery=registry", "ingress=vip", "heartbeatMs=1200", "contracts=base,drain,config,cost,recover,sql",
		"faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0", "bounds.seedLagS=3",
		"bounds.addrReuseS=2", "bounds.stabilityWindowMs=4000", "bounds.ackMs=5000", "bounds.catchUpS=4",
		"bounds.drainMs=7000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=3000",
		"bounds.rollbackSlackMs=250", "bounds.skewMaxMs=12000", "bounds.recoveryS=12", "bounds.fencingEnforced=true",
		"bounds.thawMs=300", "config_mode=highest", "cloudApi.address=" + c.address(0, portPlatform),
		"cloudApi.ratePerS=50.0", "cloudApi.duties=failover", "cloudApi.dutyPerS=50.0",
	}

	for i, zone := range c.zones {
		if i < 3 {
			lines = append(lines, "zones."+zone+"=region")
		}
	}

	// Each of the first three machines has a small disk.
	if p.role == "control" && machine < 3 {
		lines = append(lines, "dataDir="+filepath.Join(c.folder, "data-"+p.name))
	}

	if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
}

func (c *cluster) newProcess(role string, machine int) *process {
	p := &process{name: fmt.Sprintf("%s-%d", role, machine+1), role: role, ip: c.ips[machine]}
	p.settings = filepath.Join(c.folder, p.name+".conf")
	c.writeSettings(p, machine, true)

	out, err := os.Create(filepath.Join(c.folder, p.name+".log"))
	if err != nil {
		cannotRun("log: %v", err)
	}

	p.out = out

	return p
}

// start starts a process with the command of the deploy file.
func (c *cluster) start(p *process) {
	metrics := c.ports[portMetricsProxy]
	if p.role == "control" {
		metrics = c.ports[portMetricsControl]
	}

	p.command = exec.Command(c.program, "node", p.role, "--metrics="+strconv.Itoa(metrics))
	p.command.Env = []string{"ALMONDGRADE_NODE_FILE=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = p.out, p.out

	if err := p.command.Start(); err != nil {
		cannotRun("start %s: %v", p.name, err)
	}

	p.ended = make(chan struct{})

	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()

		close(ended)
	}(p.command, p.ended)

	c.rec.line("started process=%s pid=%d", p.name, p.command.Process.Pid)
	notePid(p.command.Process.Pid)
}

// notePid adds a process to the list by which run.sh ends what is left if this program is ended itself.
func notePid(pid int) {
	list := os.Getenv("REVIEW_PIDS")
	if list == "" {
		return
	}

	file, err := os.OpenFile(list, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("list of processes: %v", err)
	}

	fmt.Fprintln(file, pid)
	_ = file.Close()
}

func (p *process) pid() int { return p.command.Process.Pid }

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// stop ends a process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (c *cluster) stop(p *process) {
	c.rec.line("sigterm process=%s", p.name)
	p.signal(syscall.SIGTERM)

	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}

	c.rec.line("ended process=%s", p.name)
}

// startAll starts the deployment: a control process and a proxy on each machine, the platform and the operator.
func (c *cluster) startAll(routes []map[string]any, services ...*service) {
	c.routes, c.services = routes, services

	listener, err := net.Listen("tcp", c.address(0, portPlatform))
	if err != nil {
		cannotRun("platform: %v", err)
	}

	c.platform = &http.Server{Handler: http.HandlerFunc(c.promote)}

	go func() { _ = c.platform.Serve(listener) }()

	var control []string

	for i := range c.ips {
		c.controls = append(c.controls, c.newProcess("control", i))
		c.proxies = append(c.proxies, c.newProcess("proxy", i))
		control = append(control, c.address(i, portControl))
	}

	beatTargets.Lock()
	beatTargets.control = control
	beatTargets.Unlock()

	for i := range c.ips {
		c.start(c.controls[i])
		c.start(c.proxies[i])
	}

	c.configure()

	for i := range c.ips {
		c.writeSettings(c.controls[i], i, false)
		c.writeSettings(c.proxies[i], i, false)
	}

	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()

		for {
			for _, s := range services {
				s.beatAll()
			}

			select {
			case <-ticker.C:
			case <-c.stopping:
				return
			}
		}
	}()

	c.awaitReady()
}

// configure sends a configuration until it is acknowledged.
func (c *cluster) configure() {
	c.version++

	var services []map[string]any
	for _, s := range c.services {
		services = append(services, map[string]any{
			"name": s.name, "healthPath": "/health", "maxConns": s.maxConns, "protocol": "h1", "tls": false, "syncReplicas": s.syncReplicas,
		})
	}

	body, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": c.routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	})

	client := http.Client{Timeout: time.Second}

	for attempt := range 100 {
		response, err := client.Post("http://"+c.address(attempt%len(c.ips), portControl)+"/v1/Config.Replace", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()

			if response.StatusCode == http.StatusOK {
				c.rec.line("configuration version=%d acknowledged", c.version)

				return
			}
		}

		time.Sleep(100 * time.Millisecond)
	}

	cannotRun("no control process acknowledged the configuration")
}

func (c *cluster) ready(machine int) bool {
	client := http.Client{Timeout: time.Second}

	response, err := client.Get("http://" + c.address(machine, portReady) + "/v1/ready")
	if err != nil {
		return false
	}

	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// awaitReady waits until each proxy is ready and serves a write.
func (c *cluster) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)

	for machine := range c.ips {
		for {
			if time.Now().After(deadline) {
				cannotRun("proxy %d does not serve", machine+1)
			}

			if c.ready(machine) {
				if session, err := dialSession(c.address(machine, portFront), c.routes[0]["host"].(string)); err == nil {
					answer, err := session.query(newID(), "WRITE warmup x")
					session.close()

					if err == nil && answer.ok() {
						break
					}
				}
			}

			time.Sleep(100 * time.Millisecond)
		}
	}

	c.rec.line("all proxies serve")
}

// promote serves the orders to the platform. It checks fences when an order is carried out.
func (c *cluster) promote(writer http.ResponseWriter, request *http.Request) {
	var body struct{ Service, ID string }

	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || request.URL.Path != "/promote" {
		writer.WriteHeader(http.StatusBadRequest)

		return
	}

	token, _ := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)
	c.rec.line("order service=%s member=%s token=%d holder=%s", body.Service, body.ID, token, request.Header.Get("X-Lease-Holder"))

	var target *service

	for _, s := range c.services {
		if s.name == body.Service {
			target = s
		}
	}

	if target == nil {
		writer.WriteHeader(http.StatusConflict)

		return
	}

	if !c.carryOut(target, body.ID, token) {
		writer.WriteHeader(http.StatusConflict)

		return
	}

	writer.WriteHeader(http.StatusOK)
}

func (c *cluster) carryOut(s *service, id string, token uint64) bool {
	s.mutex.Lock()
	if token < s.highest {
		s.mutex.Unlock()
		c.rec.line("order token=%d is refused: %d was seen", token, s.highest)

		return false
	}

	s.highest = token
	s.mutex.Unlock()

	time.AfterFunc(s.promoteDelay, func() { s.promote(id) })

	return true
}

// close ends all processes that were started, and removes the folder.
func (c *cluster) close() {
	close(c.stopping)

	for _, p := range append(append([]*process(nil), c.proxies...), c.controls...) {
		if p.command != nil && p.command.Process != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.ended
		}
	}

	if c.platform != nil {
		_ = c.platform.Close()
	}

	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(c.folder))
	}

	_ = os.RemoveAll(c.folder)
}
