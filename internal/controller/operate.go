package controller

import (
	"context"

	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/io/control"
	"almondgrade/io/control/controlpb"
)

// Apply implements the Control service.
func (c *Controller) Apply(ctx context.Context, request *controlpb.Change) (*controlpb.ChangeReply, error) {
	if _, err := c.currentLeadership(); err != nil {
		return nil, statusOf(err)
	}

	if err := c.confirmLeadership(ctx); err != nil {
		return nil, statusOf(err)
	}

	running, faults := settings.CheckRunning(request.GetSettings())
	if len(faults) > 0 {
		return c.refuseChange(result.ChangeInvalid, faults.Error()), nil
	}

	view := c.view()
	difference := settings.Difference(view.Running, running)

	if request.GetDry() {
		return &controlpb.ChangeReply{Number: view.ConfigurationNumber, Author: view.Author, Difference: difference}, nil
	}

	answer, err := c.propose(ctx, registry.Command{Configure: &registry.Configure{
		ID: request.GetId(), BaseNumber: request.GetBase(), Author: request.GetAuthor(), Settings: request.GetSettings(),
	}})
	if err != nil {
		return nil, statusOf(err)
	}

	reply := &controlpb.ChangeReply{
		Code: uint32(answer.Code), Reason: result.ValidText(answer.Reason), Number: answer.Number, Author: answer.Author,
		Difference: difference, Repeated: answer.Repeated,
	}

	if answer.Code != result.OK {
		c.incrementCounter(answer.Code.Describe().Name)
		// The operator needs the difference from the configuration that was accepted instead.
		reply.Difference = settings.Difference(c.view().Running, running)
	}

	c.options.Logger.Info("configuration change handled", "id", request.GetId(), "base", request.GetBase(),
		"author", request.GetAuthor(), "code", reply.GetCode(), "number", reply.GetNumber(),
		"repeated", reply.GetRepeated())

	return reply, nil
}

func (c *Controller) refuseChange(code result.Code, reason string) *controlpb.ChangeReply {
	c.incrementCounter(code.Describe().Name)

	return &controlpb.ChangeReply{Code: uint32(code), Reason: result.ValidText(reason)}
}

// Status implements the Control service. A quorum confirms that this process leads before it answers: a process that is
// partitioned from the others refuses instead of describing an old state.
func (c *Controller) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusReply, error) {
	lead, err := c.currentLeadership()
	if err != nil {
		return nil, statusOf(err)
	}

	if err := c.confirmLeadership(ctx); err != nil {
		return nil, statusOf(err)
	}

	view := c.view()
	reply := &controlpb.StatusReply{
		Version: view.Version, Configuration: view.ConfigurationNumber, Author: view.Author, Settings: view.Settings,
		Leader: c.options.Name,
	}

	for _, group := range view.Groups {
		reply.Groups = append(reply.Groups, control.GroupMessage(group))
	}

	for _, server := range view.Servers {
		reply.Servers = append(reply.Servers, control.ServerMessage(server))
	}

	for _, proxy := range view.Proxies {
		last := lead.lastRenewal(proxy)
		reply.Proxies = append(reply.Proxies, &controlpb.ProxyStatus{
			Proxy: control.ProxyMessage(proxy), Configuration: last.configuration, Version: last.version,
			RenewedMillisAgo: uint64(c.options.Timer.Now().Sub(last.renewedAt).Milliseconds()), Live: lead.mayHoldLease(proxy),
		})
	}

	if c.options.LogMembers != nil {
		reply.Members = c.options.LogMembers()
	}

	return reply, nil
}

// Drain implements the Control service.
func (c *Controller) Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error) {
	if _, err := c.currentLeadership(); err != nil {
		return nil, statusOf(err)
	}

	answer, err := c.propose(ctx, registry.Command{Drain: &registry.Drain{
		Server: request.GetServer(), Proxy: request.GetProxy(), Undo: request.GetUndo(),
	}})
	if err != nil {
		return nil, statusOf(err)
	}

	c.options.Logger.Info("drain", "server", request.GetServer(), "proxy", request.GetProxy(),
		"undo", request.GetUndo(), "code", answer.Code)

	return &controlpb.DrainReply{Code: uint32(answer.Code), Reason: result.ValidText(answer.Reason)}, nil
}
