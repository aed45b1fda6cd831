package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Words of the protocols.
const (
	rolePrimary  = "primary"
	roleReplica  = "replica"
	codeReadOnly = "READONLY"
	wordCommit   = "COMMIT"
)

// database is a group of backend servers that share a log. Its servers stand on one process and one address each.
type database struct {
	record     *recorder
	deployment *deployment
	name       string

	mutex   sync.Mutex
	term    int
	number  int
	items   map[string]string
	servers []*server
	// applied counts how often each write took effect, by request.
	applied map[string]int
	// foreign is true for a group of another deployment, whose heartbeats lack fields.
	foreign bool
}

// server is a backend server.
type server struct {
	database *database
	id       string
	address  string
	zone     string
	primary  bool
	sequence int
	born     int64
}

// newDatabase starts a group with one server in each zone, the first one as primary.
func newDatabase(d *deployment, name string) (*database, error) {
	created := &database{record: d.record, deployment: d, name: name, term: 1, items: make(map[string]string), applied: make(map[string]int)}

	for vm, ip := range d.ips {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}

		added := &server{
			database: created, id: fmt.Sprintf("i-%s%d", name, vm), address: listener.Addr().String(),
			zone: fmt.Sprintf("zone%d", vm+1), primary: vm == 0, born: time.Now().UnixMilli(),
		}
		created.servers = append(created.servers, added)

		go added.accept(listener)
		go added.announce(vm)
	}

	return created, nil
}

// newForeignServer starts a replica of another deployment's group with the same name. It has a log of its own, and sends its
// heartbeats here, without some of the fields.
func newForeignServer(d *deployment, name string) error {
	const term, number = 9, 100_000

	listener, err := net.Listen("tcp", net.JoinHostPort(d.ips[0], "0"))
	if err != nil {
		return err
	}

	other := &database{
		record: d.record, deployment: d, name: name, term: term, number: number, items: make(map[string]string),
		applied: make(map[string]int), foreign: true,
	}
	replica := &server{database: other, id: "i-other", address: listener.Addr().String()}

	d.record.add("another writer announces %s at %s, without zone, version, warmupLeftMs and born", replica.id, replica.address)

	go replica.accept(listener)
	go replica.announce(0)

	return nil
}

// announce sends heartbeats, each to another control process if the last one was not acknowledged.
func (s *server) announce(vm int) {
	client := &http.Client{Timeout: time.Second}

	for {
		s.database.mutex.Lock()
		s.sequence++

		role := roleReplica
		if s.primary {
			role = rolePrimary
		}

		heartbeat := map[string]any{
			"service": s.database.name, "address": s.address, "slots": 5, "state": "ready", "dbRole": role, "sequence": s.sequence,
		}
		if !s.database.foreign {
			heartbeat["zone"], heartbeat["version"], heartbeat["warmupLeftMs"], heartbeat["born"] = s.zone, "v1", 0, s.born
		}

		body, err := json.Marshal(heartbeat)
		s.database.mutex.Unlock()

		if err != nil {
			return
		}

		response, err := client.Post("http://"+s.database.deployment.address(vm, portControl)+"/v1/Instances.Heartbeat/"+s.id,
			"application/json", strings.NewReader(string(body)))
		if err == nil {
			_ = response.Body.Close()
		}

		if err != nil || response.StatusCode != http.StatusOK {
			vm = (vm + 1) % len(s.database.deployment.ips)

			time.Sleep(200 * time.Millisecond)

			continue
		}

		time.Sleep(1200 * time.Millisecond)
	}
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}

		go s.serve(conn)
	}
}

// session is a connection of a proxy or of control.
type session struct {
	server   *server
	writer   *bufio.Writer
	state    string
	readOnly bool
	writes   [][3]string
	prepared map[string]string
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	reader := bufio.NewReader(conn)
	current := &session{server: s, writer: bufio.NewWriter(conn), state: "I", prepared: make(map[string]string)}

	login, err := reader.ReadString('\n')
	if fields := strings.Fields(login); err != nil || len(fields) != 4 || fields[1] != s.database.name || fields[3] != s.id {
		current.send("ERROR WRONGNODE " + s.id)

		return
	}

	current.ready()

	for {
		line, err := reader.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "QUERY ") {
			return
		}

		parts := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(parts) < 3 {
			return
		}

		current.runQuery(parts[1], parts[2])
	}
}

func (s *session) send(line string) {
	_, _ = s.writer.WriteString(line + "\r\n") // A lost connection shows at the next read.
	_ = s.writer.Flush()
}

func (s *session) position() string {
	return fmt.Sprintf("%d.%d", s.server.database.term, s.server.database.number)
}

func (s *session) ready() {
	s.server.database.mutex.Lock()
	defer s.server.database.mutex.Unlock()

	s.send("READY " + s.state + " " + s.position())
}

// runQuery answers one statement.
func (s *session) runQuery(id, text string) {
	shared := s.server.database

	shared.mutex.Lock()
	defer shared.mutex.Unlock()

	if rest, after := strings.CutPrefix(text, "AFTERLSN "); after {
		_, text, _ = strings.Cut(rest, " ") // All servers hold the whole log.
	}

	word, arguments, _ := strings.Cut(text, " ")
	code := ""

	switch word {
	case "BEGIN":
		s.readOnly, s.writes = arguments == "READ", nil
		if !s.readOnly && !s.server.primary {
			code = codeReadOnly
		} else {
			s.state = "T"
		}

		s.answer(code, "")
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		s.answer("", "")
	case "SET", "DEALLOCATE", "RESET":
		s.answer("", "")
	case "PREPARE":
		name, shape, _ := strings.Cut(arguments, " ")
		s.prepared[name] = shape
		s.answer("", "")
	case "STATUS", "PAUSE", "STEPDOWN":
		role := roleReplica
		if s.server.primary {
			role = rolePrimary
		}

		s.send(fmt.Sprintf("DATAROW %s %d %s 0 0 0 1", role, shared.term, s.position()))
		s.answer("", "")
	default:
		s.runStatement(id, word, arguments)
	}
}

// runStatement runs a read, a write or a commit. The mutex is held.
func (s *session) runStatement(id, word, arguments string) {
	shared := s.server.database

	if word == "EXECUTE" {
		name, rest, _ := strings.Cut(arguments, " ")
		shape, known := s.prepared[name]

		if !known {
			s.answer("NOSUCHSTMT", "")

			return
		}

		word, _, _ = strings.Cut(shape, " ")
		arguments = rest
	}

	item, data, _ := strings.Cut(arguments, " ")

	switch {
	case word == "READ":
		s.send("DATAROW " + shared.items[item])
	case !s.server.primary && (word == "WRITE" || len(s.writes) > 0):
		s.answer(codeReadOnly, "")

		return
	case word == "WRITE":
		s.writes = append(s.writes, [3]string{id, item, data})

		if s.state == "I" {
			s.commit()
		}
	case word == wordCommit:
		s.state = "I"
		s.commit()
	default:
		s.answer("MALFORMED", "")

		return
	}

	shared.record.add("%s runs %s %s", s.server.id, id, word)
	s.answer("", fmt.Sprintf("%s.%d", s.server.id, time.Now().UnixNano()))
}

// commit makes the writes of a transaction visible. The mutex is held.
func (s *session) commit() {
	shared := s.server.database
	for _, write := range s.writes {
		shared.items[write[1]] = write[2]
		shared.applied[write[0]]++
	}

	if len(s.writes) > 0 {
		shared.number++
	}

	s.writes = nil
}

// answer ends an answer. The mutex is held.
func (s *session) answer(code, signature string) {
	switch {
	case code != "":
		s.send("ERROR " + code + " " + s.server.id)
	case signature == "":
		s.send("COMPLETE -")
	default:
		s.send("COMPLETE " + signature)
	}

	s.send("READY " + s.state + " " + s.position())
}

// announceElsewhere sends one heartbeat of another writer for each server of the group. It is complete, and names a service that
// no configuration names.
func (d *database) announceElsewhere() error {
	const unnamed = "archive"

	client := &http.Client{Timeout: time.Second}

	for vm, named := range d.servers {
		body, err := json.Marshal(map[string]any{
			"service": unnamed, "address": net.JoinHostPort(d.deployment.ips[vm], "9"), "zone": named.zone, "version": "v1", "slots": 5,
			"state": "ready", "warmupLeftMs": 0, "dbRole": roleReplica, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}

		response, err := client.Post("http://"+d.deployment.address(vm, portControl)+"/v1/Instances.Heartbeat/"+named.id,
			"application/json", strings.NewReader(string(body)))
		if err != nil {
			return err
		}

		d.record.add("another writer announces %s for service %s: %s", named.id, unnamed, response.Status)

		if err := response.Body.Close(); err != nil {
			return err
		}
	}

	return nil
}
