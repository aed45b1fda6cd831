package control

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/io/control/controlpb"
)

// GroupMessage converts a group to its message.
func GroupMessage(group registry.Group) *controlpb.Group {
	message := &controlpb.Group{
		Name: group.Name, Term: uint64(group.Term), Primary: group.Primary, Phase: string(group.Phase),
		Candidate: group.Candidate, Target: group.Target, Attempt: group.Attempt, Changed: group.MembersChangedIndex,
		Coordinator: group.Coordinator, Epoch: group.Epoch, Members: group.Members, Previous: group.PreviousMembers,
	}
	message.History = HistoryMessage(group.History)

	return message
}

// HistoryMessage converts a history to its messages.
func HistoryMessage(history position.History) []*controlpb.TermBegin {
	var begins []*controlpb.TermBegin

	for _, begin := range history.Begins() {
		begins = append(begins, &controlpb.TermBegin{Term: uint64(begin.Term), Lsn: uint64(begin.LSN)})
	}

	return begins
}

// GroupFromMessage converts a message to a group.
func GroupFromMessage(message *controlpb.Group) registry.Group {
	begins := make([]position.TermBegin, 0, len(message.GetHistory()))
	for _, begin := range message.GetHistory() {
		begins = append(begins, position.TermBegin{Term: position.Term(begin.GetTerm()), LSN: position.LSN(begin.GetLsn())})
	}

	return registry.Group{
		Name: message.GetName(), Term: position.Term(message.GetTerm()), Primary: message.GetPrimary(),
		History: position.NewHistory(begins...), Phase: registry.Phase(message.GetPhase()),
		Candidate: message.GetCandidate(), Target: message.GetTarget(), Attempt: message.GetAttempt(),
		Coordinator: message.GetCoordinator(), Epoch: message.GetEpoch(), Members: message.GetMembers(),
		PreviousMembers: message.GetPrevious(), MembersChangedIndex: message.GetChanged(),
	}
}

// ServerMessage converts a backend server to its message.
func ServerMessage(server registry.Server) *controlpb.Server {
	return &controlpb.Server{
		Name: server.Name, Group: server.Group, Address: server.Address.String(), Identity: server.Identity,
		Incarnation: server.Incarnation, Sequence: server.Sequence, Slots: uint32(server.Slots),
		Connections: uint32(server.Connections), Centre: server.Centre, Leaving: server.Leaving,
		Recovery: server.Recovery,
	}
}

// ServerFromMessage converts a message to a backend server.
func ServerFromMessage(message *controlpb.Server) (registry.Server, error) {
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil {
		return registry.Server{}, eris.Wrapf(err, "address of server %q", message.GetName())
	}

	return registry.Server{
		Name: message.GetName(), Group: message.GetGroup(), Address: address, Identity: message.GetIdentity(),
		Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(), Slots: int(message.GetSlots()),
		Connections: int(message.GetConnections()), Centre: message.GetCentre(), Leaving: message.GetLeaving(),
		Recovery: message.GetRecovery(),
	}, nil
}

// ProxyMessage converts a proxy to its message.
func ProxyMessage(proxy registry.Proxy) *controlpb.Proxy {
	return &controlpb.Proxy{
		Name: proxy.Name, Instance: proxy.Instance, Number: proxy.Number, Peer: proxy.Peer.String(),
		Centre: proxy.Centre, Draining: proxy.Draining,
	}
}

// ProxyFromMessage converts a message to a proxy.
func ProxyFromMessage(message *controlpb.Proxy) (registry.Proxy, error) {
	peer, err := netip.ParseAddrPort(message.GetPeer())
	if err != nil {
		return registry.Proxy{}, eris.Wrapf(err, "peer address of proxy %q", message.GetName())
	}

	return registry.Proxy{
		Name: message.GetName(), Instance: message.GetInstance(), Number: message.GetNumber(), Peer: peer,
		Centre: message.GetCentre(), Draining: message.GetDraining(),
	}, nil
}

// NewAnnounceReply returns the answer to a server's announcement: the term, primary and history of its group in a view.
func NewAnnounceReply(view *registry.View, server registry.Server) *controlpb.AnnounceReply {
	group, found := view.Groups[server.Group]
	if !found {
		return &controlpb.AnnounceReply{}
	}

	reply := &controlpb.AnnounceReply{
		Term: uint64(group.Term), Primary: group.Primary, History: HistoryMessage(group.History),
	}
	if primary, found := view.Servers[group.Primary]; found {
		reply.PrimaryAddress = primary.Address.String()
	}

	return reply
}
