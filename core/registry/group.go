package registry

import (
	"slices"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// group is Group in the form that is replicated and stored.
type group struct {
	Name             string               `cbor:"1,keyasint"`
	Term             position.Term        `cbor:"2,keyasint"`
	Primary          string               `cbor:"3,keyasint"`
	Begins           []position.TermBegin `cbor:"4,keyasint"`
	Phase            Phase                `cbor:"5,keyasint"`
	Candidate        string               `cbor:"6,keyasint"`
	Target           string               `cbor:"7,keyasint"`
	Attempt          uint64               `cbor:"8,keyasint"`
	Coordinator      string               `cbor:"9,keyasint"`
	Epoch            uint64               `cbor:"10,keyasint"`
	Members          []string             `cbor:"11,keyasint"`
	PreviousMembers  []string             `cbor:"12,keyasint"`
	MemberIdentities map[string]string    `cbor:"13,keyasint"`
	// MembersChangedIndex is the log index of the last change of members.
	MembersChangedIndex uint64 `cbor:"14,keyasint"`
}

func (g *group) view() Group {
	return Group{
		Name: g.Name, Term: g.Term, Primary: g.Primary, History: position.NewHistory(g.Begins...),
		Phase: g.Phase, Candidate: g.Candidate, Target: g.Target, Attempt: g.Attempt,
		Coordinator: g.Coordinator, Epoch: g.Epoch,
		Members: slices.Clone(g.Members), PreviousMembers: slices.Clone(g.PreviousMembers), MembersChangedIndex: g.MembersChangedIndex,
		MemberIdentities: g.MemberIdentities,
	}
}

func (d *data) applyToGroup(index uint64, command Command) Answer {
	switch {
	case command.SetCoordinator != nil:
		return d.updateGroup(command.SetCoordinator.Group, func(g *group) Answer { return g.setCoordinator(*command.SetCoordinator) })
	case command.Bootstrap != nil:
		return d.updateGroup(command.Bootstrap.Group, func(g *group) Answer { return d.bootstrap(g, *command.Bootstrap) })
	case command.ChangeMembers != nil:
		return d.updateGroup(command.ChangeMembers.Group, func(g *group) Answer { return g.changeMembers(index, *command.ChangeMembers) })
	case command.FinishMemberChange != nil:
		return d.updateGroup(command.FinishMemberChange.Group, func(g *group) Answer { return g.finishMemberChange(*command.FinishMemberChange) })
	case command.Fence != nil:
		return d.updateGroup(command.Fence.Group, func(g *group) Answer { return g.fence(index, *command.Fence) })
	case command.AbandonFailover != nil:
		return d.updateGroup(command.AbandonFailover.Group, func(g *group) Answer { return g.abandonFailover(*command.AbandonFailover) })
	case command.Promote != nil:
		return d.updateGroup(command.Promote.Group, func(g *group) Answer { return g.promote(*command.Promote) })
	case command.FinishPromotion != nil:
		return d.updateGroup(command.FinishPromotion.Group, func(g *group) Answer { return g.finishPromotion(index, *command.FinishPromotion) })
	default:
		return refuse(result.Protocol, "log entry %d holds no known command", index)
	}
}

// updateGroup changes a copy of a group, because views share its slices and maps.
func (d *data) updateGroup(name string, run func(*group) Answer) Answer {
	present, known := d.Groups[name]
	if !known {
		return refuse(result.NotFound, "group %q is not known", name)
	}

	next := *present

	answer := run(&next)
	if answer.Code == result.OK {
		d.Groups[name] = &next
		d.dirtyGroups.Add(name)
	}

	return answer
}

func (g *group) setCoordinator(c SetCoordinator) Answer {
	if c.Epoch != g.Epoch {
		return refuse(result.OutdatedEpoch, "group %s is in epoch %d, not %d", g.Name, g.Epoch, c.Epoch)
	}

	g.Coordinator = c.Proxy
	g.Epoch++

	return Answer{Number: g.Epoch}
}

func (d *data) bootstrap(g *group, b Bootstrap) Answer {
	server, known := d.Servers[b.Primary]
	if !known || server.Group != g.Name {
		return refuse(result.NotFound, "server %q of group %s is not known", b.Primary, g.Name)
	}

	if g.Term != 0 {
		return refuse(result.ChangeInvalid, "group %s already has primary %s in term %d", g.Name, g.Primary, g.Term)
	}

	g.Term = 1
	g.Primary = b.Primary
	g.Begins = []position.TermBegin{{Term: 1, LSN: 0}}
	g.Members = []string{b.Primary}
	g.MemberIdentities = map[string]string{b.Primary: server.Identity}

	return Answer{}
}

// changeMembers adds or removes one member. The next change must wait until this one is finished, because the quorums of
// two member lists that differ by more than one server need not intersect.
func (g *group) changeMembers(index uint64, c ChangeMembers) Answer {
	if c.Term != g.Term || g.Phase != PhaseStable {
		return refuse(result.OutdatedEpoch, "group %s is in term %d, phase %s", g.Name, g.Term, g.Phase)
	}

	if len(g.PreviousMembers) > 0 {
		return refuse(result.StillRunning, "the previous member change of group %s is not finished", g.Name)
	}

	next := withoutName(g.Members, c.Remove)
	if c.Add != "" && !slices.Contains(next, c.Add) {
		next = append(next, c.Add)
	}

	if !slices.Contains(next, g.Primary) {
		return refuse(result.ChangeInvalid, "the primary %s can't be removed from the members of group %s", g.Primary, g.Name)
	}

	// The identity of a removed member stays until the next change: it counts among the previous members only with its data.
	identities := make(map[string]string, len(next)+1)

	for _, name := range slices.Concat(g.Members, next) {
		identities[name] = g.MemberIdentities[name]
	}

	if c.Add != "" {
		identities[c.Add] = c.Identity
	}

	g.MemberIdentities = identities
	g.PreviousMembers = g.Members
	g.Members = next
	g.MembersChangedIndex = index

	return Answer{}
}

func (g *group) finishMemberChange(f FinishMemberChange) Answer {
	if g.MembersChangedIndex != f.MembersChangedIndex {
		return refuse(result.OutdatedEpoch, "the members of group %s were last changed at log index %d, not %d", g.Name, g.MembersChangedIndex, f.MembersChangedIndex)
	}

	g.PreviousMembers = nil

	return Answer{}
}

func (g *group) fence(index uint64, f Fence) Answer {
	if f.Term != g.Term || g.Phase != PhaseStable || g.Term == 0 {
		return refuse(result.OutdatedEpoch, "group %s is in term %d, phase %s", g.Name, g.Term, g.Phase)
	}

	g.Phase = PhaseFencing
	g.Attempt = index
	g.Target = f.Target

	return Answer{}
}

func (g *group) abandonFailover(a AbandonFailover) Answer {
	if a.Term != g.Term || g.Phase != PhaseFencing || a.Attempt != g.Attempt {
		return refuse(result.OutdatedEpoch, "group %s is in term %d, phase %s", g.Name, g.Term, g.Phase)
	}

	g.Phase = PhaseStable
	g.Target = ""

	return Answer{}
}

func (g *group) promote(p Promote) Answer {
	if p.Term != g.Term || g.Phase != PhaseFencing || p.Attempt != g.Attempt {
		return refuse(result.OutdatedEpoch, "group %s is in term %d, phase %s", g.Name, g.Term, g.Phase)
	}

	if !slices.Contains(g.Members, p.Candidate) {
		return refuse(result.ChangeInvalid, "server %s is not a member of group %s", p.Candidate, g.Name)
	}

	g.Phase = PhasePromoting
	g.Candidate = p.Candidate
	g.Begins = append(slices.Clone(g.Begins), position.TermBegin{Term: g.Term + 1, LSN: p.BeginLSN})

	return Answer{}
}

func (g *group) finishPromotion(index uint64, f FinishPromotion) Answer {
	if f.Term != g.Term || g.Phase != PhasePromoting {
		return refuse(result.OutdatedEpoch, "group %s is in term %d, phase %s", g.Name, g.Term, g.Phase)
	}

	g.Term++
	g.Primary = g.Candidate
	g.Candidate, g.Target = "", ""
	g.Phase = PhaseStable

	if f.Failed {
		g.Phase = PhaseFencing
		g.Attempt = index
	}

	return Answer{}
}
