package registry

import (
	"slices"

	"almondgrade/core/position"
	"almondgrade/core/result"
)

// group is the replicated form of Group.
type group struct {
	Name        string            `cbor:"1,keyasint"`
	Term        position.Term     `cbor:"2,keyasint"`
	Primary     string            `cbor:"3,keyasint"`
	Begins      []position.Begin  `cbor:"4,keyasint"`
	Phase       Phase             `cbor:"5,keyasint"`
	Candidate   string            `cbor:"6,keyasint"`
	Target      string            `cbor:"7,keyasint"`
	Attempt     uint64            `cbor:"8,keyasint"`
	Coordinator string            `cbor:"9,keyasint"`
	Epoch       uint64            `cbor:"10,keyasint"`
	Members     []string          `cbor:"11,keyasint"`
	Previous    []string          `cbor:"12,keyasint"`
	Identities  map[string]string `cbor:"13,keyasint"`
	// Changed is the log index of the last change of members.
	Changed uint64 `cbor:"14,keyasint"`
}

func (g *group) view() Group {
	return Group{
		Name: g.Name, Term: g.Term, Primary: g.Primary, History: position.NewHistory(g.Begins...),
		Phase: g.Phase, Candidate: g.Candidate, Target: g.Target, Attempt: g.Attempt,
		Coordinator: g.Coordinator, Epoch: g.Epoch,
		Members: slices.Clone(g.Members), Previous: slices.Clone(g.Previous), Changed: g.Changed,
		Identities: g.Identities,
	}
}

func (d *data) runGroup(index uint64, command Command) Answer {
	switch {
	case command.Coordinate != nil:
		return d.inGroup(command.Coordinate.Group, func(g *group) Answer { return g.coordinate(*command.Coordinate) })
	case command.Bootstrap != nil:
		return d.inGroup(command.Bootstrap.Group, func(g *group) Answer { return d.bootstrap(g, *command.Bootstrap) })
	case command.Members != nil:
		return d.inGroup(command.Members.Group, func(g *group) Answer { return g.changeMembers(index, *command.Members) })
	case command.Settle != nil:
		return d.inGroup(command.Settle.Group, func(g *group) Answer { return g.settle(*command.Settle) })
	case command.Fence != nil:
		return d.inGroup(command.Fence.Group, func(g *group) Answer { return g.fence(index, *command.Fence) })
	case command.Abandon != nil:
		return d.inGroup(command.Abandon.Group, func(g *group) Answer { return g.abandon(*command.Abandon) })
	case command.Promote != nil:
		return d.inGroup(command.Promote.Group, func(g *group) Answer { return g.promote(*command.Promote) })
	case command.Finish != nil:
		return d.inGroup(command.Finish.Group, func(g *group) Answer { return g.finish(index, *command.Finish) })
	default:
		return refuse(result.Protocol, "log entry %d holds no known command", index)
	}
}

// inGroup runs a change on a copy of a group, so that views which share its slices and maps never change.
func (d *data) inGroup(name string, run func(*group) Answer) Answer {
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

func (g *group) coordinate(c Coordinate) Answer {
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
	g.Begins = []position.Begin{{Term: 1, LSN: 0}}
	g.Members = []string{b.Primary}
	g.Identities = map[string]string{b.Primary: server.Identity}

	return Answer{}
}

// changeMembers adds or removes one member. The next change must wait until this one is settled, because two
// member lists that differ by more than one server may have quorums that don't intersect.
func (g *group) changeMembers(index uint64, c ChangeMembers) Answer {
	if c.Term != g.Term || g.Phase != PhaseStable {
		return refuse(result.OutdatedEpoch, "group %s is in term %d, phase %s", g.Name, g.Term, g.Phase)
	}

	if len(g.Previous) > 0 {
		return refuse(result.StillRunning, "the last change of members of group %s is not settled", g.Name)
	}

	next := without(g.Members, c.Remove)
	if c.Add != "" && !slices.Contains(next, c.Add) {
		next = append(next, c.Add)
	}

	if !slices.Contains(next, g.Primary) {
		return refuse(result.ChangeInvalid, "the primary %s can't leave the members of group %s", g.Primary, g.Name)
	}

	identities := make(map[string]string, len(next))

	for _, name := range next {
		identities[name] = g.Identities[name]
	}

	if c.Add != "" {
		identities[c.Add] = c.Identity
	}

	g.Identities = identities
	g.Previous = g.Members
	g.Members = next
	g.Changed = index

	return Answer{}
}

func (g *group) settle(s Settle) Answer {
	if g.Changed != s.Version {
		return refuse(result.OutdatedEpoch, "group %s changed its members at %d, not %d", g.Name, g.Changed, s.Version)
	}

	g.Previous = nil

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

func (g *group) abandon(a Abandon) Answer {
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
	g.Begins = append(slices.Clone(g.Begins), position.Begin{Term: g.Term + 1, LSN: p.Begin})

	return Answer{}
}

func (g *group) finish(index uint64, f Finish) Answer {
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
