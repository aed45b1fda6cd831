package controller

import (
	"context"
	"hash/fnv"

	"almondgrade/core/registry"
)

// assignCoordinators assigns a coordinator to every group whose coordinator is gone or shutting down. Otherwise a group
// keeps its coordinator, because a change loses the permits and observations that the old one has recorded.
func (l *leadership) assignCoordinators(ctx context.Context) {
	view, servers := l.controller.servers.latest(l.controller.view)
	centres := serverCentres(servers)

	for _, group := range view.Groups {
		if current, found := view.Proxies[group.Coordinator]; found && !current.Draining {
			continue
		}

		chosen := l.chooseCoordinator(view, group, centres[group.Name])
		if chosen == "" || chosen == group.Coordinator {
			continue
		}

		l.controller.recordCommand(ctx, "coordinator assigned", registry.Command{SetCoordinator: &registry.SetCoordinator{
			Group: group.Name, Proxy: chosen, Epoch: group.Epoch,
		}}, "group", group.Name, "proxy", chosen)
	}
}

// chooseCoordinator returns the live proxy with the highest rendezvous hash, among those in the primary's data centre if
// there are any, then among those in a data centre of the group, then among all.
func (l *leadership) chooseCoordinator(view *registry.View, group registry.Group, centres map[string]bool) string {
	best, bestRank, bestHash := "", -1, uint64(0)
	primary := view.Servers[group.Primary].Centre

	for _, proxy := range view.Proxies {
		if proxy.Draining || !l.mayHoldLease(proxy) {
			continue
		}

		rank := 0
		if centres[proxy.Centre] {
			rank = 1
		}

		if proxy.Centre != "" && proxy.Centre == primary {
			rank = 2
		}

		hash := rendezvous(group.Name, proxy.Name)
		if rank > bestRank || rank == bestRank && hash > bestHash {
			best, bestRank, bestHash = proxy.Name, rank, hash
		}
	}

	return best
}

func serverCentres(servers map[string][]registry.Server) map[string]map[string]bool {
	centres := make(map[string]map[string]bool, len(servers))

	for group, list := range servers {
		centres[group] = make(map[string]bool, len(list))

		for _, server := range list {
			centres[group][server.Centre] = true
		}
	}

	return centres
}

func rendezvous(group, proxy string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(group))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(proxy))

	// The last bytes hardly change the high bits of FNV; the multiplication spreads their effect.
	const spread = 0x9E3779B97F4A7C15

	mixed := hash.Sum64() * spread

	return mixed ^ mixed>>32
}
