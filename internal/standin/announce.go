package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"almondgrade/core/position"
)

// Announcement is what a backend server tells the system about itself.
type Announcement struct {
	Name        string `json:"name"`
	Group       string `json:"group"`
	Address     string `json:"address"`
	Identity    string `json:"identity"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Centre      string `json:"centre"`
	Leaving     bool   `json:"leaving"`
	Recovery    bool   `json:"recovery"`
}

// Reply is the answer to an announcement.
type Reply struct {
	Code           uint32      `json:"code"`
	Reason         string      `json:"reason"`
	Term           uint64      `json:"term"`
	Primary        string      `json:"primary"`
	PrimaryAddress string      `json:"primary_address"`
	History        []TermBegin `json:"history"`
}

// TermBegin is the position at which a term began.
type TermBegin struct {
	Term uint64       `json:"term"`
	LSN  position.LSN `json:"lsn"`
}

const (
	announcePath = "/v1/announce"
	// announcePeer is the name under which partitions apply to announcements.
	announcePeer    = "announce"
	announceTimeout = 2 * time.Second
	maxReplyBytes   = 1 << 20
)

// announcer announces a member to the system.
type announcer struct {
	member  *Member
	client  *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	changed chan struct{}
	running sync.WaitGroup
}

func startAnnouncer(m *Member) *announcer {
	a := &announcer{member: m, client: &http.Client{Timeout: announceTimeout}, changed: make(chan struct{}, 1)}
	a.ctx, a.stop = context.WithCancel(context.Background())

	if len(m.options.Announce) > 0 {
		a.running.Go(a.run)
	}

	return a
}

func (a *announcer) close() {
	a.stop()
	a.running.Wait()
	a.client.CloseIdleConnections()
}

// now makes the next announcement at once.
func (a *announcer) now() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *announcer) run() {
	ticker := time.NewTicker(a.member.options.AnnouncePeriod)
	defer ticker.Stop()

	for {
		a.round()

		select {
		case <-ticker.C:
		case <-a.changed:
		case <-a.ctx.Done():
			return
		}
	}
}

// round announces the member to every address and acts on the reply with the highest term.
func (a *announcer) round() {
	m := a.member

	m.mu.Lock()
	srv := m.server
	m.mu.Unlock()

	if out, _ := m.faults.blocked(announcePeer, Out); srv == nil || out {
		return
	}

	body, err := json.Marshal(Announcement{
		Name: m.options.Name, Group: m.options.Group, Address: srv.address.String(), Centre: m.options.Centre,
		Identity: srv.store.state.Identity, Incarnation: srv.store.state.Incarnation, Sequence: m.sequence.Add(1),
		Slots: m.slots.size(), Connections: int(m.connections.Load()), Leaving: m.leaving.Load(),
		Recovery: !srv.isPrimary(),
	})
	if err != nil {
		return
	}

	replies := make([]Reply, len(m.options.Announce))

	var posts sync.WaitGroup

	for i, address := range m.options.Announce {
		posts.Go(func() { replies[i] = a.post(address, body) })
	}

	posts.Wait()

	if in, _ := m.faults.blocked(announcePeer, In); in {
		return
	}

	var newest Reply

	for _, reply := range replies {
		if reply.Term > newest.Term {
			newest = reply
		}
	}

	a.act(srv, newest)
}

func (a *announcer) post(address string, body []byte) Reply {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}

	request, err := http.NewRequestWithContext(a.ctx, http.MethodPost, strings.TrimSuffix(address, "/")+announcePath,
		bytes.NewReader(body))
	if err != nil {
		return Reply{}
	}

	request.Header.Set("Content-Type", "application/json")

	response, err := a.client.Do(request)
	if err != nil {
		return Reply{}
	}
	defer func() { _ = response.Body.Close() }()

	var reply Reply
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return Reply{}
	}

	if reply.Code != 0 {
		a.member.options.Logger.Warn("announcement refused", "member", a.member.options.Name, "code", reply.Code,
			"reason", reply.Reason)

		return Reply{}
	}

	return reply
}

// act rewinds a primary that was replaced.
func (a *announcer) act(srv *server, reply Reply) {
	term := parseConninfo(srv.setting("primary_conninfo")).term()
	if !srv.isPrimary() || reply.Term <= term || reply.Primary == "" || reply.Primary == a.member.options.Name {
		return
	}

	for _, begin := range reply.History {
		if begin.Term != term+1 {
			continue
		}

		if err := a.member.rewind(srv, begin.LSN); err != nil {
			a.member.options.Logger.Error("rewind failed", "member", a.member.options.Name, "error", err)
		}

		return
	}
}
