//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// beat makes a member's next heartbeat come at once.
func (m *member) beat() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// heartbeats sends the heartbeats of a member until it ends.
func (g *group) heartbeats(of *member) {
	client := &http.Client{Timeout: time.Second}
	next := 0

	for {
		g.mutex.Lock()
		of.sequence++
		state, role := "ready", "replica"

		if of.draining {
			state = "draining"
		}

		if g.primary == of {
			role = "primary"
		}

		body, _ := json.Marshal(map[string]any{
			"service": g.name, "address": of.address, "zone": of.zone, "version": "v1", "slots": 5, "state": state, "warmupLeftMs": 0,
			"dbRole": role, "sequence": of.sequence, "born": of.born,
		})
		g.mutex.Unlock()

		for range g.control {
			if ok := post(client, "http://"+g.control[next]+"/v1/Instances.Heartbeat/"+of.id, body) == http.StatusOK; ok {
				if state == "draining" {
					g.record.line("draining of %s is acknowledged", of.id)
				}

				break
			}

			next = (next + 1) % len(g.control)
		}

		select {
		case <-of.gone:
			return
		case <-of.wake:
		case <-time.After(heartbeatEvery):
		}
	}
}

// leave says that a member has gone, and ends it.
func (g *group) leave(leaving *member) {
	client := &http.Client{Timeout: time.Second}

	for _, to := range g.control {
		if post(client, "http://"+to+"/v1/Instances.Deregister/"+leaving.id, nil) == http.StatusOK {
			g.record.line("Deregister of %s is acknowledged", leaving.id)

			break
		}
	}

	g.end(leaving, "planned")
}

// drain makes a member say that it is about to leave.
func (g *group) drain(leaving *member) {
	g.mutex.Lock()
	leaving.draining = true
	g.mutex.Unlock()
	leaving.beat()
	g.record.line("member %s is draining", leaving.id)
}

func post(client *http.Client, url string, body []byte) int {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}

	defer func() { _ = response.Body.Close() }()

	_, _ = io.Copy(io.Discard, response.Body)

	return response.StatusCode
}

// servePromote serves the calls to the platform.
func servePromote(address string, of *group) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(writer http.ResponseWriter, request *http.Request) {
		var order struct{ Service, ID string }

		token, tokenErr := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)
		if json.NewDecoder(request.Body).Decode(&order) != nil || tokenErr != nil || order.Service != of.name {
			writer.WriteHeader(http.StatusBadRequest)

			return
		}

		status := of.promote(order.ID, token)
		of.record.line("promote %s by %s with token %d: %d", order.ID, request.Header.Get("X-Lease-Holder"), token, status)
		writer.WriteHeader(status)
	})

	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Second}).Serve(listener) }()

	return nil
}

// process is one process of the system.
type process struct {
	name     string
	run      []string
	settings string
	log      string
	dataDir  string
	running  *exec.Cmd
}

// machines are the machines of the system.
type machines struct {
	folder    string
	ips       []string
	processes []*process
	// spare is the control process of a machine that may be added.
	spare *process
	// removed are the processes of machines that are gone for good.
	removed []*process
	record  *record
}

const (
	frontPort   = "8784"
	readyPort   = "8785"
	controlPort = "8782"
)

// graceTime is bounds.graceS.
const graceTime = 6 * time.Second

// newMachines writes the settings of a control process and a proxy on each address, and of a control process on the address of a
// spare machine.
func newMachines(folder string, ips []string, spareIP, platform string, to *record) (*machines, error) {
	created := &machines{folder: folder, ips: ips, record: to}

	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, ip+":"+controlPort)
	}

	for i, ip := range append(ips[:len(ips):len(ips)], spareIP) {
		for _, role := range []string{"control", "proxy"} {
			written := &process{
				name: fmt.Sprintf("%s-%d", role, i+1), run: []string{"node", "control", "--metrics=9465"},
				dataDir: filepath.Join(folder, fmt.Sprintf("data-%d", i+1)),
			}
			listen := "serves=control\nlisten.control=" + ip + ":" + controlPort + "\ndataDir=" + written.dataDir + "\n"

			if role == "proxy" {
				written.run = []string{"node", "proxy", "--metrics=9464"}
				listen = "serves=frontend\nlisten.front=" + ip + ":" + frontPort + "\nlisten.ready=" + ip + ":" + readyPort + "\n"
			}

			written.settings, written.log = filepath.Join(folder, written.name+".conf"), filepath.Join(folder, written.name+".log")
			text := fmt.Sprintf(settingsText, i+1, role, listen, ip, strings.Join(seeds, ","), platform)

			if err := os.WriteFile(written.settings, []byte(text), 0o600); err != nil {
				return nil, err
			}

			switch {
			case ip != spareIP:
				created.processes = append(created.processes, written)
			case role == "control":
				created.spare = written
			}
		}
	}

	return created, endBootstrap([]*process{created.spare})
}

// settingsText is the settings file of a process, as the platform's pages show it.
const settingsText = `nodeName=frontend-zone%[1]d-1
role=%[2]s
machineClass=frontend
%[3]sip=%[4]s
zone=zone%[1]d
region=region
internalPorts=7440,7455
seeds=%[5]s
bootstrap=true
lossCounts=true
limits.cpuShare=0.72
limits.cores=1
limits.memoryMb=284
limits.maxFds=4200
limits.linkMbps=1000.0
limits.diskMb=64
discovery=registry
ingress=vip
heartbeatMs=1200
contracts=base,drain,config,cost,recover,sql
faultTolerance.machines=1
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.stabilityWindowMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=7000
bounds.graceS=6
bounds.configApplyMs=3000
bounds.recoveryS=12
bounds.fencingEnforced=true
config_mode=highest
cloudApi.address=%[6]s
cloudApi.ratePerS=50.0
cloudApi.duties=failover
cloudApi.dutyPerS=50.0
`

// start starts the processes that don't run.
func (m *machines) start() error {
	for _, each := range m.processes {
		if each.running == nil {
			if err := m.startOne(each); err != nil {
				return err
			}
		}
	}

	return nil
}

func (m *machines) startOne(each *process) error {
	output, err := os.OpenFile(each.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	each.running = exec.Command("target/almondgrade", each.run...)
	each.running.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ALMONDGRADE_NODE_FILE=" + each.settings}
	each.running.Stdout, each.running.Stderr = output, output
	each.running.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := each.running.Start(); err != nil {
		return err
	}

	m.record.line("process %s starts, pid %d", each.name, each.running.Process.Pid)

	return nil
}

// add starts the control process of the spare machine.
func (m *machines) add() error {
	m.processes = append(m.processes, m.spare)

	return m.startOne(m.spare)
}

// remove stops the processes of a machine for good.
func (m *machines) remove(names ...string) {
	for _, name := range names {
		which := m.named(name)
		_ = which.running.Process.Signal(syscall.SIGTERM)
		m.record.line("process %s gets SIGTERM", name)
	}

	for _, name := range names {
		which := m.named(name)
		timer := time.AfterFunc(graceTime, func() { _ = which.running.Process.Kill() })
		_ = which.running.Wait()

		timer.Stop()

		which.running = nil
		m.processes = slices.DeleteFunc(m.processes, func(each *process) bool { return each == which })
		m.removed = append(m.removed, which)
		m.record.line("process %s has ended", name)
	}
}

// loseDisk makes a process start with an empty data folder.
func (m *machines) loseDisk(which *process) error {
	text, err := os.ReadFile(which.settings)
	if err != nil {
		return err
	}

	changed := strings.Replace(string(text), "dataDir="+which.dataDir, "dataDir="+which.dataDir+"-empty", 1)
	m.record.line("the disk of %s is lost", which.name)

	return os.WriteFile(which.settings, []byte(changed), 0o600)
}

// killOne kills a process.
func (m *machines) killOne(which *process) {
	_ = which.running.Process.Kill()
	_ = which.running.Wait()
	which.running = nil

	m.record.line("process %s was killed", which.name)
}

// named returns the process with a name.
func (m *machines) named(name string) *process {
	for _, each := range m.processes {
		if each.name == name {
			return each
		}
	}

	return nil
}

// kill kills all processes at the same moment.
func (m *machines) kill() {
	for _, each := range m.processes {
		if each.running != nil {
			_ = each.running.Process.Kill()
		}
	}

	for _, each := range m.processes {
		if each.running != nil {
			_ = each.running.Wait()
			each.running = nil
		}
	}

	m.record.line("all processes of the system were killed")
}

// endBootstrap changes the settings to those of a process that has started before.
func (m *machines) endBootstrap() error {
	return endBootstrap(m.processes)
}

func endBootstrap(of []*process) error {
	for _, each := range of {
		text, err := os.ReadFile(each.settings)
		if err != nil {
			return err
		}

		changed := strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)
		if err := os.WriteFile(each.settings, []byte(changed), 0o600); err != nil {
			return err
		}
	}

	return nil
}

// decisions appends the log lines about takeovers to the record.
func (m *machines) decisions() {
	m.record.line("from the logs of the control processes:")

	for _, each := range append(m.removed, m.processes...) {
		content, _ := os.ReadFile(each.log)

		for line := range strings.Lines(string(content)) {
			for _, wanted := range []string{"primary adopted", "takeover", "candidate recorded", "promotion ordered", "replicas were paused", "no server can be", "server removed", "still waiting to form", "changing log members", "leadership of control", "data folder is new"} {
				if strings.Contains(line, wanted) {
					m.record.line("%s: %s", each.name, strings.TrimSpace(line))

					break
				}
			}
		}
	}
}

// fetch asks a control process for the configuration, and returns the status and the version.
func fetch(address string) (status, version int) {
	client := &http.Client{Timeout: time.Second}

	response, err := client.Get("http://" + address + "/v1/Config.Fetch")
	if err != nil {
		return 0, 0
	}

	defer func() { _ = response.Body.Close() }()

	var body struct{ Version int }
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return response.StatusCode, 0
	}

	return response.StatusCode, body.Version
}

// configureTime bounds the time for which the operator sends a configuration until it is accepted.
const configureTime = 30 * time.Second

// configure sends a configuration until it is accepted.
func configure(control []string, body string, to *record) bool {
	client := &http.Client{Timeout: time.Second}
	answers := make(map[int]int)

	for began, attempt := time.Now(), 0; time.Since(began) < configureTime; attempt++ {
		status := post(client, "http://"+control[attempt%len(control)]+"/v1/Config.Replace", []byte(body))
		answers[status]++

		if status == http.StatusOK {
			to.line("configuration is acknowledged: %s", body)

			return true
		}

		time.Sleep(100 * time.Millisecond)
	}

	to.line("configuration is not acknowledged; answers by status, 0 for none: %v", answers)

	return false
}
