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

// Announcement is the state that a backend server reports to the system.
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

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	Code           uint32      `json:"code"`
	Reason         string      `json:"reason"`
	Term           uint64      `json:"term"`
	Primary        string      `json:"primary"`
	PrimaryAddress string      `json:"primary_address"`
	History        []TermStart `json:"history"`
}

// TermStart is the position at which a term began.
type TermStart struct {
	Term uint64       `json:"term"`
	LSN  position.LSN `json:"lsn"`
}

const (
	announcePath = "/v1/announce"
	// announcePeer is the peer name that partitions match for announcements.
	announcePeer    = "announce"
	announceTimeout = 2 * time.Second
	maxReplyBytes   = 1 << 20
)

// announcer announces a member to the system at a fixed period and on changes.
type announcer struct {
	member  *Member
	client  *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	wake    chan struct{}
	running sync.WaitGroup
}

func startAnnouncer(m *Member) *announcer {
	a := &announcer{member: m, client: &http.Client{Timeout: announceTimeout}, wake: make(chan struct{}, 1)}
	a.ctx, a.stop = context.WithCancel(context.Background())

	if len(m.options.AnnounceAddresses) > 0 {
		a.running.Go(a.run)
	}

	return a
}

func (a *announcer) close() {
	a.stop()
	a.running.Wait()
	a.client.CloseIdleConnections()
}

// trigger sends an announcement without waiting for the next period.
func (a *announcer) trigger() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *announcer) run() {
	ticker := time.NewTicker(a.member.options.AnnouncePeriod)
	defer ticker.Stop()

	for {
		a.announceOnce()

		select {
		case <-ticker.C:
		case <-a.wake:
		case <-a.ctx.Done():
			return
		}
	}
}

// announceOnce announces the member to every address and acts on the reply with the highest term.
func (a *announcer) announceOnce() {
	m := a.member

	m.mu.Lock()
	srv := m.server
	m.mu.Unlock()

	if outBlocked, _ := m.faults.blocked(announcePeer, Out); srv == nil || outBlocked {
		return
	}

	body, err := json.Marshal(Announcement{
		Name: m.options.Name, Group: m.options.Group, Address: srv.address.String(), Centre: m.options.Centre,
		Identity: srv.store.state.Identity, Incarnation: srv.store.state.Incarnation, Sequence: m.sequence.Add(1),
		Slots: m.slots.size(), Connections: int(m.maxConnections.Load()), Leaving: m.leaving.Load(),
		Recovery: !srv.isPrimary(),
	})
	if err != nil {
		return
	}

	replies := make([]AnnounceReply, len(m.options.AnnounceAddresses))

	var posts sync.WaitGroup

	for i, address := range m.options.AnnounceAddresses {
		posts.Go(func() { replies[i] = a.post(address, body) })
	}

	posts.Wait()

	if inBlocked, _ := m.faults.blocked(announcePeer, In); inBlocked {
		return
	}

	var newest AnnounceReply

	for _, reply := range replies {
		if reply.Term > newest.Term {
			newest = reply
		}
	}

	a.rewindIfReplaced(srv, newest)
}

func (a *announcer) post(address string, body []byte) AnnounceReply {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}

	request, err := http.NewRequestWithContext(a.ctx, http.MethodPost, strings.TrimSuffix(address, "/")+announcePath,
		bytes.NewReader(body))
	if err != nil {
		return AnnounceReply{}
	}

	request.Header.Set("Content-Type", "application/json")

	response, err := a.client.Do(request)
	if err != nil {
		return AnnounceReply{}
	}
	defer func() { _ = response.Body.Close() }()

	var reply AnnounceReply
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return AnnounceReply{}
	}

	if reply.Code != 0 {
		a.member.options.Logger.Warn("announcement refused", "member", a.member.options.Name, "code", reply.Code,
			"reason", reply.Reason)

		return AnnounceReply{}
	}

	return reply
}

// rewindIfReplaced rewinds the member to the start of the next term if it is a primary that was replaced.
func (a *announcer) rewindIfReplaced(srv *server, reply AnnounceReply) {
	term := parseConninfo(srv.setting("primary_conninfo")).term()
	if !srv.isPrimary() || reply.Term <= term || reply.Primary == "" || reply.Primary == a.member.options.Name {
		return
	}

	for _, begin := range reply.History {
		if begin.Term != term+1 {
			continue
		}

		if err := a.member.rewind(srv, begin.LSN); err != nil {
			a.member.options.Logger.Error("rewind of the replaced primary failed", "member", a.member.options.Name, "error", err)
		}

		return
	}
}
