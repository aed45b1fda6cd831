package controller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"almondgrade/core/failover"
	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/io/backend"
	"almondgrade/io/peer/peerpb"
)

const (
	// probeTimeout bounds one attempt of this process to reach a backend server.
	probeTimeout = time.Second
	// probeCallTimeout bounds a call to an observer, so that an unreachable proxy does not delay the decision. It leaves an
	// observer time to report that its own attempt has timed out.
	probeCallTimeout = 1500 * time.Millisecond
	// maxProxyObservers is the number of proxies that are asked about a server in addition to this process.
	maxProxyObservers = 2
)

// peers holds the connections to proxies.
type peers struct {
	dial        func(netip.AddrPort) (*grpc.ClientConn, error)
	mutex       sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
}

func (p *peers) clientFor(address netip.AddrPort) (peerpb.PeerClient, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	connection, found := p.connections[address]
	if !found {
		var err error

		if connection, err = p.dial(address); err != nil {
			return nil, eris.Wrapf(err, "proxy at %s", address)
		}

		p.connections[address] = connection
	}

	return peerpb.NewPeerClient(connection), nil
}

// closeUnused closes the connections to addresses that belong to no proxy any more.
func (p *peers) closeUnused(proxies map[string]registry.Proxy) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	used := make(map[netip.AddrPort]bool, len(proxies))
	for _, proxy := range proxies {
		used[proxy.Peer] = true
	}

	for address, connection := range p.connections {
		if !used[address] {
			_ = connection.Close()

			delete(p.connections, address)
		}
	}
}

func (p *peers) close() {
	p.closeUnused(nil)
}

// probe asks a proxy to open a new connection to a server. The second result is false if the proxy does not answer, so
// that it does not count as an observer.
func (p *peers) probe(ctx context.Context, proxy registry.Proxy, server registry.Server) (failover.Report, bool) {
	client, err := p.clientFor(proxy.Peer)
	if err != nil {
		return failover.Report{}, false
	}

	ctx, cancel := context.WithTimeout(ctx, probeCallTimeout)
	defer cancel()

	reply, err := client.Probe(ctx, &peerpb.ProbeRequest{Server: server.Name, Address: server.Address.String()})
	if err != nil {
		return failover.Report{}, false
	}

	return failover.Report{
		Observer: proxy.Name, Reachable: reply.GetReachable(), InRecovery: reply.GetRecovery(),
		Term:             position.Term(reply.GetTerm()),
		SinceLastReceive: time.Duration(reply.GetReceivedMillisAgo()) * time.Millisecond, Receiving: reply.GetReceiving(),
	}, true
}

// probeServer opens a new connection from this process to a server and reports what it finds.
func (c *Controller) probeServer(ctx context.Context, server registry.Server) failover.Report {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	report := failover.Report{Observer: c.options.Name}

	admin, err := c.openAdmin(ctx, server)
	if err != nil {
		report.Reachable = backend.IsTooManyConnections(err)

		return report
	}
	defer admin.Close()

	seen, err := admin.Observe(ctx)
	if err != nil {
		return report
	}

	report.Reachable = true
	report.InRecovery = seen.InRecovery
	report.Term = seen.Attachment.Term
	report.Receiving = seen.Receiving
	report.SinceLastReceive = seen.LastReceivedAgo

	return report
}

func (c *Controller) openAdmin(ctx context.Context, server registry.Server) (*backend.Admin, error) {
	return backend.OpenAdmin(ctx, server.Address, c.login(), "agcontrol/"+c.options.Name) //nolint:wrapcheck // OpenAdmin wraps its errors.
}

// judgePrimary decides whether the primary of a group is dead, by the reports of observers on different VMs about the
// primary and of this process about the replicas.
func (l *leadership) judgePrimary(ctx context.Context, group registry.Group) failover.Verdict {
	view := l.controller.view()

	var (
		work     sync.WaitGroup
		mutex    sync.Mutex
		replicas []failover.Report
	)

	for _, name := range group.Members {
		if server, found := view.Servers[name]; found && name != group.Primary {
			work.Go(func() {
				report := l.controller.probeServer(ctx, server)

				mutex.Lock()
				defer mutex.Unlock()

				replicas = append(replicas, report)
			})
		}
	}

	seen := l.collectReports(ctx, view, group, view.Servers[group.Primary])

	work.Wait()

	return failover.JudgePrimary(group.Term, seen, replicas)
}

// collectReports probes a server from this process and from observers on other VMs.
func (l *leadership) collectReports(
	ctx context.Context, view *registry.View, group registry.Group, server registry.Server,
) []failover.Report {
	var (
		work  sync.WaitGroup
		mutex sync.Mutex
		seen  []failover.Report
	)

	add := func(report failover.Report) {
		mutex.Lock()
		defer mutex.Unlock()

		seen = append(seen, report)
	}

	for _, proxy := range l.chooseObservers(view, group) {
		work.Go(func() {
			if report, answered := l.controller.peers.probe(ctx, proxy, server); answered {
				add(report)
			}
		})
	}

	work.Go(func() { add(l.controller.probeServer(ctx, server)) })
	work.Wait()

	return seen
}

// chooseObservers returns live proxies, first one in each data centre. The coordinator comes last, because its report
// raised the suspicion.
func (l *leadership) chooseObservers(view *registry.View, group registry.Group) []registry.Proxy {
	var (
		chosen  []registry.Proxy
		centres = make(map[string]bool)
	)

	add := func(accept func(registry.Proxy) bool) {
		for _, proxy := range view.Proxies {
			taken := false
			for _, other := range chosen {
				taken = taken || other.Name == proxy.Name
			}

			if len(chosen) < maxProxyObservers && !taken && l.mayHoldLease(proxy) && accept(proxy) {
				chosen = append(chosen, proxy)
				centres[proxy.Centre] = true
			}
		}
	}

	add(func(p registry.Proxy) bool { return p.Name != group.Coordinator && !centres[p.Centre] })
	add(func(p registry.Proxy) bool { return p.Name != group.Coordinator })
	add(func(registry.Proxy) bool { return true })

	return chosen
}
