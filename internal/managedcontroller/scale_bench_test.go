package managedcontroller

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"almondgrade/core/lease"
	"almondgrade/core/topology"
	"almondgrade/core/viewlog"
	"almondgrade/internal/metrics"
	"almondgrade/io/managedcontrol"
)

// deploymentSize is a size at which the leader's work is measured. Each group has three servers.
type deploymentSize struct{ proxies, groups int }

var deploymentSizes = []deploymentSize{{30, 10}, {100, 30}, {300, 90}}

// leaderBench is a leader without network, log or supervisors, and the calls of its proxies.
type leaderBench struct {
	b        testing.TB
	size     deploymentSize
	leader   *leadership
	requests []*managedcontrol.SyncRequest
	now      time.Time
	bytes    int
}

func newLeaderBench(b testing.TB, size deploymentSize) *leaderBench {
	b.Helper()

	state := topology.NewState()
	controller := &Controller{ctx: b.Context(), options: Options{
		BootTime: time.Now,
		Log:      &fakeLog{state: state, changed: make(chan struct{})}, State: state, Logger: slog.New(slog.DiscardHandler),
		Metrics: metrics.New(), AnnounceInterval: time.Second,
	}}
	bench := &leaderBench{b: b, size: size, leader: newLeadership(controller, 7), now: time.Now()}
	bench.leader.recordConfirmation(bench.now.Add(time.Hour))

	configuration := &topology.Configuration{Number: 1}

	for group := range size.groups {
		name := fmt.Sprintf("database-group-%d", group)
		configuration.Groups = append(configuration.Groups, topology.GroupSettings{Name: name, MaxConnections: 58})
		bench.leader.supervised.Add(name)
	}

	_, err := controller.propose(b.Context(), topology.Command{Configure: configuration})
	require.NoError(b, err)

	for i := range size.proxies {
		centre := i % 3
		bench.requests = append(bench.requests, &managedcontrol.SyncRequest{
			Proxy: fmt.Sprintf("vm-%d-%d", centre, i), Instance: 1, ViewPosition: &viewlog.Position{}, Configuration: math.MaxUint64, Centre: fmt.Sprint("centre-", centre),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(centre), byte(i >> 8), byte(i)}), 7441),
		})
	}

	return bench
}

// announce lets a server announce itself.
func (l *leaderBench) announce(server, slots int) {
	info := topology.Server{
		ID: fmt.Sprint("server-", server), Group: fmt.Sprintf("database-group-%d", server/3), Centre: fmt.Sprint("centre-", server%3),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(server >> 8), byte(server)}), 5432), Slots: slots,
		ClaimsPrimary: server%3 == 0, StartedAtMillis: 1, Sequence: uint64(time.Now().UnixNano()),
	}
	require.NoError(l.b, l.leader.announce(l.b.Context(), info))

	// The benchmark's time runs ahead; the server must not become silent.
	l.leader.mutex.Lock()
	l.leader.announcements[info.ID] = announcement{info, l.now.Add(time.Hour)}
	l.leader.mutex.Unlock()
}

// answerAll answers the calls of the first proxies.
func (l *leaderBench) answerAll(proxies int) {
	for _, request := range l.requests[:proxies] {
		l.leader.mutex.Lock()
		l.leader.leases.Grant(l.now, leaseHolder(request), request.AppliedVersion.Number)
		l.leader.recordPeer(l.now, request)
		l.leader.mutex.Unlock()

		reply, _, err := l.leader.buildReply(request, false)
		require.NoError(l.b, err)

		if reply == nil {
			continue
		}

		encoded, err := cbor.Marshal(reply)
		require.NoError(l.b, err)

		l.bytes += len(encoded)
		if reply.ViewDelta != nil {
			*request.ViewPosition = reply.ViewDelta.To
			request.AppliedVersion = managedcontrol.Version{Term: 7, Number: reply.ViewDelta.To.Number}
		}

		if reply.View != nil {
			request.AppliedVersion = reply.View.Version
		}
	}
}

// start lets all proxies and servers appear within ten ticks.
func (l *leaderBench) start() {
	servers, ticks := 3*l.size.groups, 10

	for tick := range ticks {
		for server := tick * servers / ticks; server < (tick+1)*servers/ticks; server++ {
			l.announce(server, 3)
		}

		l.leader.refreshView(l.now)
		l.answerAll((tick + 1) * l.size.proxies / ticks)

		l.now = l.now.Add(tickInterval)
	}

	for range 30 { // The last changes may be held back for up to a second, and holders expire after a second.
		l.leader.refreshView(l.now)
		l.answerAll(l.size.proxies)

		l.now = l.now.Add(tickInterval)
	}
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, bench *leaderBench)) {
	b.Helper()

	for _, size := range deploymentSizes {
		b.Run(fmt.Sprintf("proxies=%d", size.proxies), func(b *testing.B) {
			bench := newLeaderBench(b, size)
			b.ReportAllocs()
			run(b, bench)
			bench.leader.running.Wait()
		})
	}
}

func (l *leaderBench) report(b *testing.B) {
	b.Helper()
	b.ReportMetric(float64(l.bytes)/float64(b.N)/float64(l.size.proxies), "sent_B/proxy")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(l.size.proxies), "us/proxy")
}

// BenchmarkTick measures a check of the view in which nothing has changed.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bench *leaderBench) {
		bench.start()

		for b.Loop() {
			bench.leader.refreshView(bench.now)
		}
	})
}

// BenchmarkChange measures one change of a server until all proxies are answered.
func BenchmarkChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bench *leaderBench) {
		bench.start()
		bench.bytes = 0
		slots := 3

		for b.Loop() {
			slots++
			bench.announce(1, slots)
			bench.now = bench.now.Add(time.Second / 2)
			bench.leader.refreshView(bench.now)
			bench.answerAll(bench.size.proxies)
		}

		bench.report(b)
	})
}

// BenchmarkJoin measures a proxy that joins or leaves, until all proxies have the holders that follow from it.
func BenchmarkJoin(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bench *leaderBench) {
		bench.start()
		bench.bytes = 0
		guest := *bench.requests[0]
		calls := 0

		for b.Loop() {
			guest.Proxy = fmt.Sprint("guest-", calls/2)
			calls++
			bench.now = bench.now.Add(time.Second / 2)
			bench.leader.recordPeer(bench.now, &guest)
			bench.leader.refreshView(bench.now)
			bench.leader.refreshView(bench.now.Add(batchDelay(bench.size.proxies + 1)))
			bench.answerAll(bench.size.proxies)

			guest.Leaving = !guest.Leaving
		}

		bench.report(b)
	})
}

// BenchmarkStart measures the start of a deployment, in which all proxies and servers appear within a second.
func BenchmarkStart(b *testing.B) {
	for _, size := range deploymentSizes {
		b.Run(fmt.Sprintf("proxies=%d", size.proxies), func(b *testing.B) {
			b.ReportAllocs()

			bytes := 0
			bench := (*leaderBench)(nil)

			for b.Loop() {
				bench = newLeaderBench(b, size)
				bench.start()
				bench.leader.running.Wait()
				bytes += bench.bytes
			}

			bench.bytes = bytes
			bench.report(b)
		})
	}
}

func leaseHolder(request *managedcontrol.SyncRequest) lease.Holder {
	return lease.Holder{Name: request.Proxy, Instance: request.Instance}
}
