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
	// probeTimeout bounds one observer's attempt to reach a backend server.
	probeTimeout = time.Second
	// probeAnswer bounds the whole call to an observer, so that a proxy which is cut off delays nothing. It leaves an
	// observer time to report that its own attempt has timed out.
	probeAnswer = 1500 * time.Millisecond
	// observers is the number of proxies that are asked besides control itself.
	observers = 2
)

// peers holds the connections to proxies.
type peers struct {
	dial        func(netip.AddrPort) (*grpc.ClientConn, error)
	mutex       sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
}

func (p *peers) client(address netip.AddrPort) (peerpb.PeerClient, error) {
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

// keep closes the connections to addresses that no proxy has any more.
func (p *peers) keep(proxies map[string]registry.Proxy) {
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
	p.keep(nil)
}

// probe asks one proxy to open a new connection to a server. A proxy that does not answer is no observer, and the
// second result is false.
func (p *peers) probe(ctx context.Context, proxy registry.Proxy, server registry.Server) (failover.Report, bool) {
	client, err := p.client(proxy.Peer)
	if err != nil {
		return failover.Report{}, false
	}

	ctx, cancel := context.WithTimeout(ctx, probeAnswer)
	defer cancel()

	reply, err := client.Probe(ctx, &peerpb.ProbeRequest{Server: server.Name, Address: server.Address.String()})
	if err != nil {
		return failover.Report{}, false
	}

	return failover.Report{
		Observer: proxy.Name, Reachable: reply.GetReachable(), Recovery: reply.GetRecovery(),
		Term:        position.Term(reply.GetTerm()),
		ReceivedAgo: time.Duration(reply.GetReceivedMillisAgo()) * time.Millisecond, Receiving: reply.GetReceiving(),
	}, true
}

// probe opens a connection from this process to a server.
func (c *Controller) probe(ctx context.Context, server registry.Server) failover.Report {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	report := failover.Report{Observer: c.options.Name}

	admin, err := c.admin(ctx, server)
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
	report.Recovery = seen.InRecovery
	report.Term = seen.Attachment.Term
	report.Receiving = seen.Receiving
	report.ReceivedAgo = seen.LastReceivedAgo

	return report
}

func (c *Controller) admin(ctx context.Context, server registry.Server) (*backend.Admin, error) {
	return backend.OpenAdmin(ctx, server.Address, c.login(), "agcontrol/"+c.options.Name) //nolint:wrapcheck // Done.
}

// judge asks observers on different VMs for the primary, and this process for the replicas.
func (l *leadership) judge(ctx context.Context, group registry.Group) failover.Verdict {
	view := l.controller.view()

	var (
		work     sync.WaitGroup
		mutex    sync.Mutex
		replicas []failover.Report
	)

	for _, name := range group.Members {
		if server, found := view.Servers[name]; found && name != group.Primary {
			work.Go(func() {
				report := l.controller.probe(ctx, server)

				mutex.Lock()
				defer mutex.Unlock()

				replicas = append(replicas, report)
			})
		}
	}

	seen := l.reports(ctx, view, group, view.Servers[group.Primary])

	work.Wait()

	return failover.Judge(group.Term, seen, replicas)
}

// reports asks this process and observers on other VMs for a server.
func (l *leadership) reports(
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

	for _, proxy := range l.observers(view, group) {
		work.Go(func() {
			if report, answered := l.controller.peers.probe(ctx, proxy, server); answered {
				add(report)
			}
		})
	}

	work.Go(func() { add(l.controller.probe(ctx, server)) })
	work.Wait()

	return seen
}

// observers picks live proxies, first one in each data centre, and the coordinator last: it has spoken already.
func (l *leadership) observers(view *registry.View, group registry.Group) []registry.Proxy {
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

			if len(chosen) < observers && !taken && l.live(proxy) && accept(proxy) {
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
