package coordination

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/timer"
	"almondgrade/internal/coordinator"
	"almondgrade/io/backend"
	"almondgrade/io/peer"
)

// Source provides the views of the replicated state.
type Source interface {
	// View returns the latest view, or nil before the first one has arrived.
	View() *registry.View
	// Confirmed reports whether the proxy may take new work.
	Confirmed() bool
	// Changed returns a channel that is closed, or receives a value, when the view changes after the call.
	Changed() <-chan struct{}
}

// Options configure a Coordination. Name, Instance, Source and Timer are required.
type Options struct {
	// Name and Instance identify this process in the view; Centre is its data centre.
	Name     string
	Instance uint64
	Centre   string
	Source   Source
	// Login is used for the administrative connections to backend servers.
	Login   backend.Login
	Timer   timer.Service
	Logger  *slog.Logger
	Metrics metrics.Registry
	// Peer configures the connections to other proxies, Dial opens them; both are optional.
	Peer peer.Options
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Open opens an administrative connection. The default is backend.OpenAdmin with Login.
	Open coordinator.Opener
	// Suspect reports to control that a server of a group that this proxy coordinates seems dead, or that requests can't
	// use a primary.
	Suspect func(group string, term position.Term, server, reason string)
	// Cancel handles a cancel request for one of this proxy's sessions.
	Cancel func(process uint32, secret []byte)
	// CloseIdle asks the pool to close idle connections to a server, because other requests wait for their permits. It
	// must not block.
	CloseIdle func(server string, count int)
}

const (
	// barrierTimeout bounds one attempt of a barrier, at the coordinator or directly, before the next one.
	barrierTimeout = 500 * time.Millisecond
	// confirmTimeout bounds one attempt of a confirmation, at the coordinator or directly, before the next one.
	confirmTimeout = time.Second
	// reportInterval is the time between two reports of the held permits.
	reportInterval = time.Second
	// linkActiveTime is the time after its last use for which a link without permits continues to report.
	linkActiveTime = 10 * time.Second
	// failedServerTime is the time for which a failed server is avoided, and after which a failing coordinator is called
	// again.
	failedServerTime = time.Second
	// directDelay is the time for which a coordinator has to fail all calls before the members are queried directly.
	directDelay = 2 * time.Second
	// maxObservationAge is the age above which observations are refreshed when they are read.
	maxObservationAge = 250 * time.Millisecond
	// probeTimeout bounds a probe of a backend server on behalf of control.
	probeTimeout = time.Second
	// minSuspectInterval is the shortest time between two reports to control that requests can't use the same primary.
	minSuspectInterval = 2 * time.Second
	// answerMarginDivisor divides the time until a caller's deadline to give the part reserved for sending the answer.
	answerMarginDivisor = 10
	// minBackoff and maxBackoff bound the time between attempts.
	minBackoff       = 5 * time.Millisecond
	maxBackoff       = 200 * time.Millisecond
	defaultSlotCache = 50 * time.Millisecond
	// maxConcurrentCalls bounds the shared calls of one kind to a coordinator that are in progress at once.
	maxConcurrentCalls = 4
)

// sessionBits is the number of lower bits of a cancel key's process id that number the session; the upper bits hold the
// lower bits of the proxy's number, which proxyNumberMask selects.
const (
	sessionBits     = 16
	proxyNumberMask = 1<<16 - 1
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}

	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}

	if o.Dial != nil {
		o.Peer.Dial = o.Dial
	}

	if o.Open == nil {
		login := o.Login
		o.Open = func(ctx context.Context, server registry.Server, application string) (coordinator.Admin, error) {
			return backend.OpenAdmin(ctx, server.Address, login, application)
		}
	}

	return o
}
