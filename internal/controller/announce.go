package controller

import (
	"context"

	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/io/control"
	"almondgrade/io/control/controlpb"
)

// Announce implements the Control service. An announcement that says nothing new is answered without a log entry.
func (c *Controller) Announce(ctx context.Context, request *controlpb.Announcement) (*controlpb.AnnounceReply, error) {
	lead, err := c.currentLeadership()
	if err != nil {
		return nil, statusOf(err)
	}

	server, err := control.ServerFromMessage(request.GetServer())
	if err != nil {
		return c.announceReply(server, result.New(result.Protocol, "%w", err)), nil
	}

	if lead.isOlder(server) {
		return c.announceReply(server, result.New(result.OutdatedEpoch,
			"a newer announcement of server %s has arrived", server.Name)), nil
	}

	if err := lead.checkNameClaim(ctx, server); err != nil {
		c.options.Logger.Warn("announcement refused", "server", server.Name, "error", err)

		return c.announceReply(server, err), nil
	}

	if known, found := c.view().Servers[server.Name]; found && known.UnchangedBy(server) {
		lead.recordAnnouncement(server)

		return c.announceReply(server, nil), nil
	}

	answer, err := c.propose(ctx, registry.Command{Announce: &registry.Announce{Server: server}})
	if err != nil {
		return nil, statusOf(err)
	}

	// One that is refused must not make those of the server itself count as older.
	if answer.Code == result.OK {
		lead.recordAnnouncement(server)
	}

	c.options.Logger.Info("server announced", "server", server.Name, "group", server.Group,
		"address", server.Address, "incarnation", server.Incarnation, "leaving", server.Leaving, "answer", answer.Code)

	return c.announceReply(server, answer.Err()), nil
}

// announceReply returns the reply to an announcement, which tells the platform the role that the server should have.
func (c *Controller) announceReply(server registry.Server, err error) *controlpb.AnnounceReply {
	if err != nil {
		code := result.CodeOf(err)
		c.incrementCounter(code.Describe().Name)

		return &controlpb.AnnounceReply{Code: uint32(code), Reason: result.ValidText(err.Error())}
	}

	return control.NewAnnounceReply(c.view(), server)
}

// isOlder reports whether a newer announcement of a server has arrived.
func (l *leadership) isOlder(server registry.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return orderOf(server).before(l.announcements[announcer{server.Name, server.Group}])
}

// recordAnnouncement records an announcement that was accepted, unless a newer one of its server has been recorded meanwhile.
func (l *leadership) recordAnnouncement(server registry.Server) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if next := orderOf(server); !next.before(l.announcements[announcer{server.Name, server.Group}]) {
		l.announcements[announcer{server.Name, server.Group}] = next
	}
}

func orderOf(server registry.Server) announcementOrder {
	return announcementOrder{incarnation: server.Incarnation, sequence: server.Sequence}
}

// checkNameClaim returns an error if a server announces the name of another one that still answers at its own address. A
// server that has lost its data or moved no longer answers at its old address.
func (l *leadership) checkNameClaim(ctx context.Context, server registry.Server) error {
	known, found := l.controller.view().Servers[server.Name]
	// The state decides whether a server of another group keeps the name.
	if !found || known.Group != server.Group || known.Identity == server.Identity || known.Address == server.Address {
		return nil
	}

	if !l.controller.probeServer(ctx, known).Reachable {
		return nil
	}

	return result.New(result.NameClaimed, "server name %s is held by identity %s at %s, which still answers",
		server.Name, known.Identity, known.Address)
}

// Suspect implements the Control service.
func (c *Controller) Suspect(_ context.Context, request *controlpb.Suspicion) (*controlpb.SuspectReply, error) {
	lead, err := c.currentLeadership()
	if err != nil {
		return nil, statusOf(err)
	}

	group, found := c.view().Groups[request.GetGroup()]
	if !found || uint64(group.Term) != request.GetTerm() {
		return &controlpb.SuspectReply{}, nil
	}

	c.incrementCounter("suspicion")
	c.options.Logger.Info("server suspected", "group", group.Name, "term", group.Term,
		"server", request.GetServer(), "observer", request.GetObserver(), "reason", request.GetReason())

	if worker := lead.worker(group.Name); worker != nil {
		worker.suspect(request.GetServer())
	}

	return &controlpb.SuspectReply{}, nil
}
