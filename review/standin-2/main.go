//go:build review

// Command standin-2 plays a case of the second review: it starts the system's processes on loopback addresses, with stand-ins for
// the clients, the database servers, the operator and the platform, and judges one rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scene is a small deployment: three machines and one database of three members.
type scene struct {
	trouble  bool
	record   *record
	machines *machines
	group    *group
	clients  *clients
	hosts    []string
	// syncReplicas is the setting of the service.
	syncReplicas int
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file to write the record to")

	flag.Parse()

	os.Exit(play(*name, *path))
}

func play(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Println(err)

		return notRun
	}

	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)

		return notRun
	}

	defer func() { _ = os.RemoveAll(folder) }()

	played := &scene{trouble: os.Getenv("TROUBLE") != "0", record: &record{file: file, began: time.Now()}}

	cases := map[string]struct {
		sync  int
		start func(*scene) error
		run   func(*scene) int
	}{
		"lost": {1, startAll, lost}, "recover": {0, startAll, recovery},
		"first": {0, startAndKill, firstStart}, "replace": {0, startAll, replace}, "stale": {0, startAll, stale},
	}

	chosen, known := cases[name]
	if !known {
		fmt.Println("unknown case", name)

		return notRun
	}

	if err := played.begin(folder, chosen.sync, chosen.start); err != nil {
		fmt.Println(err)
		played.record.line("the case could not run: %v", err)

		if played.machines != nil {
			played.machines.kill()
		}

		return notRun
	}

	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)

	go func() {
		<-interrupts
		played.machines.kill()
		os.Exit(notRun)
	}()

	verdict := chosen.run(played)

	played.clients.stop()
	played.machines.kill()
	played.machines.decisions()
	played.record.line("exit %d", verdict)

	return verdict
}

// startAll starts all processes of the system.
func startAll(s *scene) error { return s.machines.start() }

// begin starts the deployment and its clients.
func (s *scene) begin(folder string, syncReplicas int, start func(*scene) error) error {
	// A network of its own within 127.0.0.0/8, so that cases may run beside each other.
	network := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
	ips := []string{network + "1", network + "2", network + "3"}
	platform := network + "160:8783"
	s.hosts = []string{network + "31:8149", network + "32:8149", network + "33:8149"}

	var control, proxies []string

	for _, ip := range ips {
		control = append(control, ip+":"+controlPort)
		proxies = append(proxies, ip+":"+frontPort)
	}

	s.group = newGroup("regdb", syncReplicas, control, s.record)
	if err := servePromote(platform, s.group); err != nil {
		return err
	}

	created, err := newMachines(folder, ips, network+"4", platform, s.record)
	if err != nil {
		return err
	}

	s.machines = created
	if err := start(s); err != nil {
		return err
	}

	// The IDs of members are arbitrary.
	for i, id := range []string{"i-5a", "i-6b", "i-7c"} {
		if _, err := s.group.start(id, s.hosts[i], fmt.Sprintf("zone%d", i+1), nil, i == 0); err != nil {
			return err
		}
	}

	s.clients = &clients{proxies: proxies, database: "lepu270", record: s.record}
	s.syncReplicas = syncReplicas

	return nil
}

// serve sends the first configuration, starts the clients and waits until their operations are served.
func (s *scene) serve() bool {
	if !configure(s.group.control, configurationBody(7, s.syncReplicas), s.record) {
		return false
	}

	s.clients.run(12, 200*time.Millisecond)

	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		if _, served := s.clients.served(time.Now().Add(-time.Second), time.Now()); served > 10 {
			s.record.line("traffic is served")

			return true
		}
	}

	return false
}

// configurationBody returns a configuration with one route.
func configurationBody(version, syncReplicas int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"lepu270","pathPrefix":"/","routeType":"primary","timeoutMs":1000,`+
		`"targetLatencyMs":200,"priority":1,"service":"regdb","maxAttempts":2}],"services":[{"name":"regdb","healthPath":"/health",`+
		`"maxConns":34,"protocol":"h1","tls":false,"syncReplicas":%d}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}`, version, syncReplicas)
}

func (s *scene) member(id string) *member {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	for _, each := range s.group.members {
		if each.id == id {
			return each
		}
	}

	return nil
}

// restart starts a member again at its address, with its log, under a new ID. It leads if no other was promoted meanwhile.
func (s *scene) restart(former *member, id string) {
	s.group.mutex.Lock()
	lead := s.group.primary == former
	s.group.mutex.Unlock()

	if _, err := s.group.start(id, former.address, former.zone, former.log, lead); err != nil {
		s.record.line("member %s could not start: %v", id, err)
	}
}
