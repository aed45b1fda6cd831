package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replicationDelay is the time that a commit takes to a replica, promoteDelay that of a promotion.
const (
	replicationDelay = 5 * time.Millisecond
	promoteDelay     = time.Second
)

// syncedGroup is a group whose commits are acknowledged once one replica has received them, with the platform that promotes
// its servers.
type syncedGroup struct {
	record     *recorder
	deployment *deployment

	mutex   sync.Mutex
	changed *sync.Cond
	term    int
	// log holds the writes of the primary's log, by request.
	log     []string
	servers []*syncedServer
	// dark is true while the primary neither sends nor receives.
	dark bool
	// acknowledged are the writes whose commit a client was told of.
	acknowledged map[string]bool
	highestToken int
	// firstPause is closed once a replica was paused.
	firstPause chan struct{}
	// lost are the acknowledged writes that a promoted server lacked.
	lost int
}

// syncedServer is a server of a syncedGroup.
type syncedServer struct {
	group    *syncedGroup
	id       string
	address  string
	zone     string
	primary  bool
	leaving  bool
	paused   int
	received int
	sequence int
	born     int64
}

func newSyncedGroup(d *deployment) (*syncedGroup, error) {
	created := &syncedGroup{record: d.record, deployment: d, term: 1, acknowledged: make(map[string]bool), firstPause: make(chan struct{})}
	created.changed = sync.NewCond(&created.mutex)

	listener, err := net.Listen("tcp", d.address(0, portCloud))
	if err != nil {
		return nil, err
	}

	platform := &http.Server{Handler: http.HandlerFunc(created.promote), ReadHeaderTimeout: time.Second}

	go func() { _ = platform.Serve(listener) }()

	for vm := range d.ips {
		if err := created.addServer(vm, vm == 0); err != nil {
			return nil, err
		}
	}

	return created, nil
}

// addServer starts a server that holds the log of the primary.
func (g *syncedGroup) addServer(vm int, primary bool) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(g.deployment.ips[vm], "0"))
	if err != nil {
		return err
	}

	g.mutex.Lock()
	added := &syncedServer{
		group: g, id: fmt.Sprintf("i-%d", len(g.servers)), address: listener.Addr().String(), zone: fmt.Sprintf("zone%d", vm+1),
		primary: primary, received: len(g.log), born: time.Now().UnixMilli(),
	}
	g.servers = append(g.servers, added)
	g.record.add("server %s starts, primary=%t", added.id, primary)
	g.mutex.Unlock()

	go added.announce(vm)

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go added.serve(conn)
		}
	}()

	return nil
}

// awaitLight waits while the server is dark. The mutex is held.
func (s *syncedServer) awaitLight() {
	for s.primary && s.group.dark {
		s.group.changed.Wait()
	}
}

// setDark makes the primary dark, or ends that.
func (g *syncedGroup) setDark(dark bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.dark = dark
	g.record.add("the primary is dark: %t", dark)
	g.changed.Broadcast()

	if !dark {
		time.AfterFunc(replicationDelay, g.replicate)
	}
}

// leave lets a server announce that it leaves.
func (g *syncedGroup) leave(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	for _, each := range g.servers {
		if each.id == id {
			each.leaving = true

			g.record.add("server %s leaves", id)
		}
	}
}

// replicate lets the replicas receive what the primary's log holds.
func (g *syncedGroup) replicate() {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	if g.dark {
		return
	}

	for _, each := range g.servers {
		if each.primary || each.paused == 0 {
			each.received = len(g.log)
		}
	}

	g.changed.Broadcast()
}

// isHeld reports whether a replica has received a number of entries. The mutex is held.
func (g *syncedGroup) isHeld(entries int) bool {
	for _, each := range g.servers {
		if !each.primary && each.received >= entries {
			return true
		}
	}

	return false
}

// promote carries out an order of control after promoteDelay.
func (g *syncedGroup) promote(writer http.ResponseWriter, request *http.Request) {
	var order struct{ Service, ID string }

	token, err := strconv.Atoi(request.Header.Get("X-Fencing-Token"))
	if err != nil || json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)

		return
	}

	g.mutex.Lock()
	defer g.mutex.Unlock()

	var chosen *syncedServer

	for _, each := range g.servers {
		if each.id == order.ID {
			chosen = each
		}
	}

	g.record.add("order to promote %s with token %d", order.ID, token)

	if chosen == nil || token < g.highestToken {
		writer.WriteHeader(http.StatusConflict)

		return
	}

	g.highestToken = token

	if !chosen.primary {
		time.AfterFunc(promoteDelay, func() { g.lead(chosen, token) })
	}
}

// lead makes a server the primary of the next term with what it has received.
func (g *syncedGroup) lead(next *syncedServer, token int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	if next.primary || token < g.highestToken {
		return
	}

	dropped := g.log[next.received:]
	for _, write := range dropped {
		if g.acknowledged[write] {
			g.lost++
			g.record.add("%s is promoted without %s, whose commit was acknowledged", next.id, write)
		}
	}

	g.term++
	g.log = append([]string(nil), g.log[:next.received]...)

	for _, each := range g.servers {
		each.primary, each.paused, each.received = each == next, 0, min(each.received, len(g.log))
	}

	g.record.add("%s leads term %d with %d entries; %d were rolled back", next.id, g.term, len(g.log), len(dropped))
	g.changed.Broadcast()
}

func (s *syncedServer) announce(vm int) {
	client := &http.Client{Timeout: time.Second}

	for {
		s.group.mutex.Lock()
		s.awaitLight()

		s.sequence++

		role := roleReplica
		if s.primary {
			role = rolePrimary
		}

		state := "ready"
		if s.leaving {
			state = "draining"
		}

		body, err := json.Marshal(map[string]any{
			"service": groupName, "address": s.address, "zone": s.zone, "version": "v1", "slots": 20, "state": state, "warmupLeftMs": 0,
			"dbRole": role, "sequence": s.sequence, "born": s.born,
		})
		s.group.mutex.Unlock()

		if err != nil {
			return
		}

		response, err := client.Post("http://"+s.group.deployment.address(vm, portControl)+"/v1/Instances.Heartbeat/"+s.id,
			"application/json", strings.NewReader(string(body)))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body) // Only the status counts.
			_ = response.Body.Close()
		}

		if err != nil || response.StatusCode != http.StatusOK {
			vm = (vm + 1) % len(s.group.deployment.ips)

			time.Sleep(200 * time.Millisecond)

			continue
		}

		time.Sleep(1200 * time.Millisecond)
	}
}

// syncedSession is a connection to a syncedServer.
type syncedSession struct {
	server *syncedServer
	writer *bufio.Writer
	state  string
	// began is the term in which a transaction that may write began, or zero.
	began  int
	writes []string
}

func (s *syncedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	reader := bufio.NewReader(conn)
	current := &syncedSession{server: s, writer: bufio.NewWriter(conn), state: "I"}
	login, err := reader.ReadString('\n')

	s.group.mutex.Lock()
	s.awaitLight()

	if fields := strings.Fields(login); err != nil || len(fields) != 4 || fields[1] != groupName || fields[3] != s.id {
		s.group.mutex.Unlock()

		return
	}

	current.send("READY I " + current.position())
	s.group.mutex.Unlock()

	for {
		line, err := reader.ReadString('\n')

		parts := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if err != nil || len(parts) < 3 {
			return
		}

		s.group.mutex.Lock()
		s.awaitLight()

		code, signature := current.runQuery(parts[1], parts[2])

		s.awaitLight()
		current.answer(code, signature)
		s.group.mutex.Unlock()
	}
}

func (s *syncedSession) send(line string) {
	_, _ = s.writer.WriteString(line + "\r\n") // A lost connection shows at the next read.
	_ = s.writer.Flush()
}

func (s *syncedSession) position() string {
	return fmt.Sprintf("%d.%d", s.server.group.term, s.server.received)
}

func (s *syncedSession) answer(code, signature string) {
	if code != "" {
		s.send("ERROR " + code + " " + s.server.id)
	} else {
		s.send("COMPLETE " + signature)
	}

	s.send("READY " + s.state + " " + s.position())
}

// runQuery runs one statement and returns the code of its failure or its signature. The mutex is held.
func (s *syncedSession) runQuery(id, text string) (code, signature string) {
	const unsigned = "-"

	group := s.server.group

	if rest, after := strings.CutPrefix(text, "AFTERLSN "); after {
		var position string

		position, text, _ = strings.Cut(rest, " ")
		if number, err := strconv.Atoi(position[strings.Index(position, ".")+1:]); err != nil || number > s.server.received {
			return "LAGGING", ""
		}
	}

	word, argument, _ := strings.Cut(text, " ")

	switch word {
	case "BEGIN":
		if argument == "" && !s.server.primary {
			return codeReadOnly, ""
		}

		s.state, s.writes, s.began = "T", nil, group.term

		return "", unsigned
	case "ROLLBACK":
		s.state, s.writes = "I", nil

		return "", unsigned
	case "STATUS", "PAUSE", "STEPDOWN":
		return s.runStatus(word, argument), unsigned
	case "READ":
		s.send("DATAROW value")

		return "", s.sign()
	case "WRITE":
		if !s.server.primary {
			return codeReadOnly, ""
		}

		s.writes = append(s.writes, id)

		return "", s.sign()
	case wordCommit:
		return s.commit()
	default:
		return "", unsigned
	}
}

func (s *syncedSession) sign() string {
	return fmt.Sprintf("%s.%d", s.server.id, time.Now().UnixNano())
}

// runStatus answers the commands of control. The mutex is held.
func (s *syncedSession) runStatus(word, argument string) string {
	group := s.server.group

	if term, err := strconv.Atoi(argument); err == nil && term > group.term {
		group.record.add("%s gets %s %d", s.server.id, word, term)

		switch {
		case word == "PAUSE" && !s.server.primary:
			s.server.paused = term

			select {
			case <-group.firstPause:
			default:
				close(group.firstPause)
			}
		case word == "STEPDOWN" && s.server.primary:
			s.server.primary = false
		}
	}

	role := roleReplica
	if s.server.primary {
		role = rolePrimary
	}

	s.send(fmt.Sprintf("DATAROW %s %d %s %d 0 0 1", role, group.term, s.position(), s.server.paused))

	return ""
}

// commit commits a transaction and waits until a replica has received it. The mutex is held.
func (s *syncedSession) commit() (code, signature string) {
	group := s.server.group
	s.state = "I"

	if len(s.writes) == 0 {
		return "", s.sign()
	}

	if !s.server.primary || s.began != group.term {
		return codeReadOnly, ""
	}

	group.log = append(group.log, s.writes...)
	s.server.received = len(group.log)
	entries := len(group.log)

	time.AfterFunc(replicationDelay, group.replicate)

	for s.server.primary && s.began == group.term && !group.isHeld(entries) {
		group.changed.Wait()
	}

	if !s.server.primary || s.began != group.term {
		return codeReadOnly, ""
	}

	for _, write := range s.writes {
		group.record.add("%s commits %s, which a replica holds", s.server.id, write)
	}

	s.writes = nil

	return "", s.sign()
}

// recordAcknowledged records that a client was told of a commit. It counts as lost if a promoted server lacks it already.
func (g *syncedGroup) recordAcknowledged(write string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.acknowledged[write] = true
	g.record.add("client is told that %s is committed", write)

	for _, held := range g.log {
		if held == write {
			return
		}
	}

	g.lost++
	g.record.add("the log of the primary lacks %s", write)
}
