package registry

import (
	"slices"

	"almondgrade/core/result"
)

// announceServer records an announcement unless it is older than the recorded one. A delayed announcement may arrive
// after a newer one; incarnation and sequence order them.
func (d *data) announceServer(server Server) Answer {
	if server.Name == "" || server.Group == "" || !server.Address.IsValid() || server.Identity == "" {
		return refuse(result.Protocol, "announcement of server %q lacks name, group, address or identity", server.Name)
	}

	present, known := d.Servers[server.Name]
	if known {
		if answer := d.checkConflict(*present, server); answer.Code != result.OK {
			return answer
		}

		server.Leaving = server.Leaving || present.Leaving && server.Incarnation == present.Incarnation && server.Group == present.Group
	}

	d.setServer(server)

	if _, exists := d.Groups[server.Group]; !exists {
		d.Groups[server.Group] = &group{Name: server.Group, Phase: PhaseStable}
		d.dirtyGroups.Add(server.Group)
	}

	return Answer{}
}

// checkConflict refuses an announcement that is older than the recorded one or comes from another server of that name.
func (d *data) checkConflict(present, next Server) Answer {
	if d.claimsNoName(present, next) {
		return Answer{}
	}

	if present.Group != next.Group {
		return refuse(result.NameClaimed, "server %s belongs to group %s, not %s", next.Name, present.Group, next.Group)
	}

	older := next.Incarnation < present.Incarnation ||
		next.Incarnation == present.Incarnation && next.Sequence < present.Sequence
	if older {
		return refuse(result.OutdatedEpoch, "announcement %d.%d of server %s is older than %d.%d",
			next.Incarnation, next.Sequence, next.Name, present.Incarnation, present.Sequence)
	}

	// A server that lost its data returns with a new identity and a later incarnation. Another server under the same
	// name that runs at the same time has the same or an earlier incarnation; if it has a later one, the leader refuses
	// it before the command, because the recorded server still answers.
	if present.Identity != next.Identity && next.Incarnation == present.Incarnation {
		return refuse(result.NameClaimed, "server name %s is held by identity %s, not %s",
			next.Name, present.Identity, next.Identity)
	}

	return Answer{}
}

// claimsNoName reports whether a server was recorded for a group that the configuration does not name, so that it must not keep one of a
// group that it names from its name.
func (d *data) claimsNoName(present, next Server) bool {
	recorded := d.Groups[present.Group]

	return present.Group != next.Group && d.isConfigured(next.Group) && !d.isConfigured(present.Group) &&
		(recorded == nil || recorded.Primary != present.Name && !slices.Contains(recorded.Members, present.Name))
}

func (d *data) isConfigured(group string) bool {
	for _, pool := range d.running.Pools {
		if slices.Contains(pool.Groups, group) {
			return true
		}
	}

	return false
}

func (d *data) forgetServer(f ForgetServer) Answer {
	server, known := d.Servers[f.Server]
	if !known || server.Incarnation != f.Incarnation {
		return refuse(result.NotFound, "server %s with incarnation %d is not known", f.Server, f.Incarnation)
	}

	if g := d.Groups[server.Group]; g != nil && (slices.Contains(g.Members, f.Server) || g.Primary == f.Server) {
		return refuse(result.ChangeInvalid, "server %s is still a member of group %s", f.Server, g.Name)
	}

	delete(d.Servers, f.Server)
	d.dirtyServers.Add(f.Server)

	return Answer{}
}

// joinProxy registers a proxy. An instance that joins again keeps its number.
func (d *data) joinProxy(proxy Proxy) Answer {
	if proxy.Name == "" || !proxy.Peer.IsValid() {
		return refuse(result.Protocol, "proxy %q lacks a name or a peer address", proxy.Name)
	}

	if present, known := d.Proxies[proxy.Name]; known && present.Instance == proxy.Instance {
		proxy.Number = present.Number
		proxy.Draining = proxy.Draining || present.Draining
		d.setProxy(proxy)

		return Answer{Number: uint64(proxy.Number)}
	}

	proxy.Number = d.NextProxyNumber
	d.NextProxyNumber++
	d.setProxy(proxy)

	return Answer{Number: uint64(proxy.Number)}
}

func (d *data) removeProxy(r RemoveProxy) Answer {
	present, known := d.Proxies[r.Proxy]
	if !known || present.Instance != r.Instance {
		return refuse(result.NotFound, "instance %d of proxy %s is not known", r.Instance, r.Proxy)
	}

	delete(d.Proxies, r.Proxy)
	d.dirtyProxies.Add(r.Proxy)

	return Answer{}
}

func (d *data) drain(r Drain) Answer {
	if server, known := d.Servers[r.Server]; known {
		changed := *server
		changed.Leaving = !r.Undo
		d.setServer(changed)

		return Answer{}
	}

	if proxy, known := d.Proxies[r.Proxy]; known {
		changed := *proxy
		changed.Draining = !r.Undo
		d.setProxy(changed)

		return Answer{}
	}

	return refuse(result.NotFound, "neither server %q nor proxy %q is known", r.Server, r.Proxy)
}

func (d *data) setServer(server Server) {
	d.Servers[server.Name] = &server
	d.dirtyServers.Add(server.Name)
}

func (d *data) setProxy(proxy Proxy) {
	d.Proxies[proxy.Name] = &proxy
	d.dirtyProxies.Add(proxy.Name)
}
