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
	lead, err := c.leader()
	if err != nil {
		return nil, statusOf(err)
	}

	server, err := control.ServerFromMessage(request.GetServer())
	if err != nil {
		return c.announced(server, result.New(result.Protocol, "%w", err)), nil
	}

	if !lead.newer(server) {
		return c.announced(server, result.New(result.OutdatedEpoch,
			"a newer announcement of server %s has arrived", server.Name)), nil
	}

	if err := lead.claim(ctx, server); err != nil {
		c.options.Logger.Warn("announcement refused", "server", server.Name, "error", err)

		return c.announced(server, err), nil
	}

	if known, found := c.view().Servers[server.Name]; found && known.Same(server) {
		return c.announced(server, nil), nil
	}

	answer, err := c.propose(ctx, registry.Command{Announce: &registry.Announce{Server: server}})
	if err != nil {
		return nil, statusOf(err)
	}

	c.options.Logger.Info("server announced", "server", server.Name, "group", server.Group,
		"address", server.Address, "incarnation", server.Incarnation, "leaving", server.Leaving, "answer", answer.Code)

	return c.announced(server, answer.Err()), nil
}

// announced builds the reply, which tells the platform what the server should be.
func (c *Controller) announced(server registry.Server, err error) *controlpb.AnnounceReply {
	if err != nil {
		code := result.CodeOf(err)
		c.count(code.Describe().Name)

		return &controlpb.AnnounceReply{Code: uint32(code), Reason: err.Error()}
	}

	return control.NewAnnounceReply(c.view(), server)
}

// newer remembers the latest announcement of each server and reports whether this one is not older.
func (l *leadership) newer(server registry.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	next := stamp{incarnation: server.Incarnation, sequence: server.Sequence}
	if next.before(l.sequences[server.Name]) {
		return false
	}

	l.sequences[server.Name] = next

	return true
}

// claim refuses a server that takes the name of another one which still answers at its own address. A server that
// has lost its data or moved does not answer there any more.
func (l *leadership) claim(ctx context.Context, server registry.Server) error {
	known, found := l.controller.view().Servers[server.Name]
	if !found || known.Identity == server.Identity || known.Address == server.Address {
		return nil
	}

	if !l.controller.probe(ctx, known).Reachable {
		return nil
	}

	return result.New(result.NameClaimed, "server name %s is held by identity %s at %s, which still answers",
		server.Name, known.Identity, known.Address)
}

// Suspect implements the Control service.
func (c *Controller) Suspect(_ context.Context, request *controlpb.Suspicion) (*controlpb.SuspectReply, error) {
	lead, err := c.leader()
	if err != nil {
		return nil, statusOf(err)
	}

	group, found := c.view().Groups[request.GetGroup()]
	if !found || uint64(group.Term) != request.GetTerm() {
		return &controlpb.SuspectReply{}, nil
	}

	c.count("suspicion")
	c.options.Logger.Info("server suspected", "group", group.Name, "term", group.Term,
		"server", request.GetServer(), "observer", request.GetObserver(), "reason", request.GetReason())

	if worker := lead.worker(group.Name); worker != nil {
		worker.suspect(request.GetServer())
	}

	return &controlpb.SuspectReply{}, nil
}
