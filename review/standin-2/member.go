//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a stand-in database server.
const (
	workTime       = 8 * time.Millisecond
	replicateEvery = 2 * time.Millisecond
	applyLag       = 60 * time.Millisecond
	promoteTime    = 300 * time.Millisecond
	heartbeatEvery = 1200 * time.Millisecond
)

// entry is one commit of a log. Its number is its place in the log, counted from one.
type entry struct {
	term      int
	id        string
	text      string
	signature string
}

// received says how much of the log a member had at a time.
type received struct {
	at     time.Time
	number int
}

// member is one database server. The mutex of its group protects it.
type member struct {
	id       string
	address  string
	zone     string
	log      []entry
	term     int
	held     int
	deaf     bool
	alive    bool
	draining bool
	history  []received
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence uint64
	wake     chan struct{}
	gone     chan struct{}
}

// group is a service with a primary and its replicas.
type group struct {
	mutex    sync.Mutex
	changed  *sync.Cond
	name     string
	sync     int
	term     int
	members  []*member
	primary  *member
	token    uint64
	record   *record
	control  []string
	promoted []promotion
	serial   int
	// logs are what the logs held that reads ran on, by the ID of the request.
	logs map[string][]entry
}

// promotion is what a promoted member's log held.
type promotion struct {
	id  string
	at  time.Time
	log []entry
}

func newGroup(name string, syncReplicas int, control []string, to *record) *group {
	created := &group{name: name, sync: syncReplicas, term: 1, control: control, record: to, logs: make(map[string][]entry)}
	created.changed = sync.NewCond(&created.mutex)

	go created.replicate()

	return created
}

// start starts a member with a log. It leads if lead is set.
func (g *group) start(id, address, zone string, log []entry, lead bool) (*member, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	started := &member{
		id: id, address: address, zone: zone, log: append([]entry(nil), log...), alive: true, listener: listener,
		conns: make(map[net.Conn]bool), born: time.Now().UnixMilli(), wake: make(chan struct{}, 1), gone: make(chan struct{}),
	}

	g.mutex.Lock()
	started.term = g.term
	g.members = append(g.members, started)

	if lead {
		g.primary = started
	} else if g.primary != nil {
		// What the primary doesn't hold was rolled back by a promotion.
		common := 0
		for common < min(len(started.log), len(g.primary.log)) && started.log[common] == g.primary.log[common] {
			common++
		}

		started.log = started.log[:common]
	}
	g.mutex.Unlock()

	g.record.line("member %s starts at %s with %d commits, leads: %t", id, address, len(log), lead)

	go g.accept(started)
	go g.heartbeats(started)

	return started, nil
}

// end ends a member at once: its connections break and its address refuses others.
func (g *group) end(ended *member, reason string) {
	g.mutex.Lock()
	ended.alive = false
	_ = ended.listener.Close()

	for conn := range ended.conns {
		_ = conn.Close()
	}

	close(ended.gone)

	for i, each := range g.members {
		if each == ended {
			g.members = append(g.members[:i:i], g.members[i+1:]...)

			break
		}
	}

	g.changed.Broadcast()
	g.mutex.Unlock()
	g.record.line("member %s ends (%s) with %d commits", ended.id, reason, len(ended.log))
}

// replicate passes the log of the primary on to the replicas that receive.
func (g *group) replicate() {
	for range time.Tick(replicateEvery) {
		g.mutex.Lock()
		now := time.Now()

		if g.primary != nil && g.primary.alive {
			for _, each := range g.members {
				if each != g.primary && !each.deaf && each.held <= g.term && len(each.log) < len(g.primary.log) {
					each.log = append(each.log, g.primary.log[len(each.log):]...)
					each.term = g.term
				}

				each.history = append(each.history, received{now, len(each.log)})
				for len(each.history) > 1 && now.Sub(each.history[1].at) >= applyLag {
					each.history = each.history[1:]
				}
			}
		}

		g.changed.Broadcast()
		g.mutex.Unlock()
	}
}

// applied returns the number of the last commit that a member has applied. The mutex is held.
func (g *group) applied(of *member) int {
	if of == g.primary || len(of.history) == 0 {
		return len(of.log)
	}

	return min(of.history[0].number, len(of.log))
}

func (g *group) accept(to *member) {
	for {
		conn, err := to.listener.Accept()
		if err != nil {
			return
		}

		g.mutex.Lock()
		if to.alive {
			to.conns[conn] = true
		} else {
			_ = conn.Close()
		}
		g.mutex.Unlock()

		go func() {
			g.serve(to, conn)

			_ = conn.Close()

			g.mutex.Lock()
			delete(to.conns, conn)
			g.mutex.Unlock()
		}()
	}
}

// serverSession is a session at a member.
type serverSession struct {
	group    *group
	member   *member
	writer   *bufio.Writer
	open     bool
	failed   bool
	readOnly bool
	term     int
	writes   []entry
	prepared map[string]string
}

func (g *group) serve(at *member, conn net.Conn) {
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)

	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}

	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != g.name || len(fields) > 3 && fields[3] != at.id {
		fmt.Fprintf(writer, "ERROR WRONGNODE %s\r\n", at.id)
		_ = writer.Flush()

		return
	}

	session := &serverSession{group: g, member: at, writer: writer, prepared: make(map[string]string)}
	session.ready()

	for writer.Flush() == nil {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}

		word, rest, _ := strings.Cut(strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), " ")
		if word != "QUERY" {
			return
		}

		id, text, _ := strings.Cut(rest, " ")
		if !session.query(id, text) {
			return
		}
	}
}

func (s *serverSession) ready() {
	state := "I"
	if s.failed {
		state = "E"
	} else if s.open {
		state = "T"
	}

	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	fmt.Fprintf(s.writer, "READY %s %d.%d\r\n", state, s.member.term, s.group.applied(s.member))
}

func (s *serverSession) complete(signature string, rows ...string) bool {
	for _, row := range rows {
		fmt.Fprintf(s.writer, "DATAROW %s\r\n", row)
	}

	fmt.Fprintf(s.writer, "COMPLETE %s\r\n", signature)
	s.ready()

	return true
}

func (s *serverSession) refuse(code string) bool {
	s.failed = s.open
	fmt.Fprintf(s.writer, "ERROR %s %s\r\n", code, s.member.id)
	s.ready()

	return true
}

// leads reports whether the member is the primary.
func (s *serverSession) leads() bool {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	return s.group.primary == s.member && s.member.alive
}

// lacks reports whether the member's log lacks a position.
func (s *serverSession) lacks(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	wantedTerm, _ := strconv.Atoi(term)
	wantedNumber, _ := strconv.Atoi(number)

	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	return s.member.term < wantedTerm || s.member.term == wantedTerm && s.group.applied(s.member) < wantedNumber
}

// query answers a query. It returns false if the connection is to be closed.
func (s *serverSession) query(id, text string) bool {
	if after, found := strings.CutPrefix(text, "AFTERLSN "); found {
		position, rest, _ := strings.Cut(after, " ")
		if s.lacks(position) {
			return s.refuse("LAGGING")
		}

		text = rest
	}

	fields := strings.Fields(text)
	if len(fields) == 0 {
		return s.refuse("MALFORMED")
	}

	if s.failed && fields[0] != "ROLLBACK" && fields[0] != "COMMIT" {
		fmt.Fprint(s.writer, "ERROR MALFORMED failed\r\n")
		s.ready()

		return true
	}

	switch fields[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.admin(fields)
	case "SET", "RESET", "DEALLOCATE":
		return s.complete("-")
	case "PREPARE":
		if len(fields) > 2 {
			s.prepared[fields[1]] = fields[2]
		}

		return s.complete("-")
	case "BEGIN":
		return s.begin(len(fields) > 1)
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil

		return s.complete("-")
	case "COMMIT":
		return s.commitTransaction(id)
	case "EXECUTE":
		kind, known := s.prepared[fields[1]]
		if !known {
			return s.refuse("NOSUCHSTMT")
		}

		return s.run(id, text, kind == "WRITE")
	case "READ", "WRITE":
		return s.run(id, text, fields[0] == "WRITE")
	}

	return s.refuse("MALFORMED")
}

func (s *serverSession) begin(readOnly bool) bool {
	if !readOnly && !s.leads() {
		return s.refuse("READONLY")
	}

	s.open, s.readOnly, s.term = true, readOnly, s.member.term

	return s.complete("-")
}

func (s *serverSession) run(id, text string, writes bool) bool {
	time.Sleep(workTime)

	if (writes || s.open && !s.readOnly) && !s.leads() {
		return s.refuse("READONLY")
	}

	s.group.mutex.Lock()
	visible := s.member.log[:s.group.applied(s.member)]
	if !writes {
		s.group.logs[id] = visible
	}
	s.group.mutex.Unlock()

	if !writes {
		s.group.record.line("run at %s on %d commits: %s %s", s.member.id, len(visible), id, text)

		return s.complete(s.group.sign(id), "row")
	}

	added := entry{id: id, text: text, signature: s.group.sign(id)}
	if s.open {
		s.writes = append(s.writes, added)

		return s.complete(added.signature)
	}

	return s.commit([]entry{added}, added.signature)
}

func (s *serverSession) commitTransaction(id string) bool {
	writes := s.writes
	failed := s.failed
	s.open, s.failed, s.writes = false, false, nil

	switch {
	case failed:
		return s.refuse("MALFORMED")
	case len(writes) == 0:
		return s.complete(s.group.sign(id))
	default:
		return s.commit(writes, s.group.sign(id))
	}
}

// commit appends to the log and answers once enough replicas have received that. It does not answer if the member ends or
// loses the lead before.
func (s *serverSession) commit(added []entry, signature string) bool {
	g := s.group

	g.mutex.Lock()
	if g.primary != s.member || !s.member.alive {
		g.mutex.Unlock()

		return s.refuse("READONLY")
	}

	term := g.term

	for _, each := range added {
		each.term = term
		s.member.log = append(s.member.log, each)
	}

	number := len(s.member.log)

	for s.member.alive && g.primary == s.member && g.holders(number) < g.sync {
		g.changed.Wait()
	}

	acknowledged := s.member.alive && g.primary == s.member
	names := g.holderNames(number)
	g.mutex.Unlock()

	if !acknowledged {
		return false
	}

	g.record.line("commit %d.%d at %s, received by %s: %s %s", term, number, s.member.id, names, added[0].id, added[0].text)

	return s.complete(signature)
}

// holders returns the number of replicas that have received a commit. The mutex is held.
func (g *group) holders(number int) (count int) {
	for _, each := range g.members {
		if each != g.primary && each.alive && len(each.log) >= number {
			count++
		}
	}

	return count
}

func (g *group) holderNames(number int) string {
	var names []string

	for _, each := range g.members {
		if each != g.primary && each.alive && len(each.log) >= number {
			names = append(names, each.id)
		}
	}

	return strings.Join(names, ",")
}

func (g *group) sign(id string) string {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	g.serial++

	return fmt.Sprintf("s%d.%s", g.serial, id)
}

// admin answers STATUS and the commands that answer with the same row.
func (s *serverSession) admin(fields []string) bool {
	g := s.group

	g.mutex.Lock()

	term := 0
	if len(fields) > 1 {
		term, _ = strconv.Atoi(fields[1])
	}

	switch fields[0] {
	case "PAUSE":
		if term > s.member.term && g.primary != s.member {
			s.member.held = term
		}
	case "RESUME":
		s.member.held = 0
	case "STEPDOWN":
		if g.primary == s.member && s.member.term < term {
			g.primary = nil
			g.changed.Broadcast()
		}
	}

	role := "replica"
	if g.primary == s.member {
		role = "primary"
	}

	row := fmt.Sprintf("%s %d %d.%d %d 0 0 %d", role, s.member.term, s.member.term, len(s.member.log), s.member.held, len(s.member.conns))
	g.mutex.Unlock()

	if fields[0] != "STATUS" {
		g.record.line("%s at %s: %s", strings.Join(fields, " "), s.member.id, row)
	}

	return s.complete("-", row)
}

// promote makes a member lead the next term after promoteTime.
func (g *group) promote(id string, token uint64) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	if token < g.token {
		return 409
	}

	g.token = token

	var chosen *member

	for _, each := range g.members {
		if each.id == id {
			chosen = each
		}
	}

	switch chosen {
	case nil:
		return 409
	case g.primary:
		return 200
	}

	time.AfterFunc(promoteTime, func() { g.lead(chosen, token) })

	return 200
}

func (g *group) lead(chosen *member, token uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	if !chosen.alive || token < g.token || chosen == g.primary {
		return
	}

	g.term++
	g.primary = chosen

	for _, each := range g.members {
		each.term, each.held = g.term, 0
		each.log = append([]entry(nil), each.log[:min(len(each.log), len(chosen.log))]...)
		each.history = nil
		each.beat()
	}

	g.promoted = append(g.promoted, promotion{chosen.id, time.Now(), append([]entry(nil), chosen.log...)})
	g.changed.Broadcast()
	g.record.line("member %s leads term %d with %d commits", chosen.id, g.term, len(chosen.log))
}

// setDeaf makes a replica receive nothing, or ends that.
func (g *group) setDeaf(which *member, deaf bool) {
	g.mutex.Lock()
	which.deaf = deaf
	g.mutex.Unlock()
	g.record.line("member %s receives nothing: %t", which.id, deaf)
}
