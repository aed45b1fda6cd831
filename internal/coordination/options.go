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

// Options are the parts that a Coordination works with. Required are Name, Instance, Source and Timer.
type Options struct {
	// Name and Instance are this process in the view, Centre its data centre.
	Name     string
	Instance uint64
	Centre   string
	Source   Source
	// Login is for the administrative connections to backend servers.
	Login   backend.Login
	Timer   timer.Service
	Logger  *slog.Logger
	Metrics metrics.Registry
	// Peer configures the connections to other proxies, Dial opens them; both may be left out.
	Peer peer.Options
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Open opens an administrative connection. Nil stands for backend.OpenAdmin with Login.
	Open coordinator.Opener
	// Suspect tells control that a server of a group that this proxy coordinates seems dead, or that requests can't
	// use a primary.
	Suspect func(group string, term position.Term, server, reason string)
	// Cancel handles a cancel request for one of this proxy's sessions.
	Cancel func(process uint32, secret []byte)
	// Recall asks the pool to close idle connections to a server, because others wait for the permits. It must
	// not block.
	Recall func(server string, count int)
}

const (
	// attemptLimit bounds one barrier at a coordinator before another way is tried.
	attemptLimit = 500 * time.Millisecond
	// confirmLimit bounds one confirmation at a coordinator before another way is tried.
	confirmLimit = time.Second
	// holdInterval is the time between two reports of the held permits.
	holdInterval = time.Second
	// activeTime is the time for which an unused link without permits goes on reporting.
	activeTime = 10 * time.Second
	// failedTime is the time for which a failed server is avoided.
	failedTime = time.Second
	// failingTime is the time of failures only after which the members are asked directly.
	failingTime = 2 * time.Second
	// refreshTime is the age of observations above which new ones are asked for.
	refreshTime = 250 * time.Millisecond
	// probeLimit bounds an attempt to reach a backend server on behalf of control.
	probeLimit = time.Second
	// suspectInterval is the least time between two reports of the same primary to control by requests.
	suspectInterval = 2 * time.Second
	// answerMargin is the part of a caller's deadline that is kept for the way back of the answer, as a divisor.
	answerMargin = 10
	// leastBackoff and mostBackoff bound the time between attempts.
	leastBackoff     = 5 * time.Millisecond
	mostBackoff      = 200 * time.Millisecond
	defaultSlotCache = 50 * time.Millisecond
	// roundWidth is the number of shared calls at once to a coordinator.
	roundWidth = 4
)

// processBits is the number of lower bits of a cancel key's process id that number the session; the upper bits hold
// the lower bits of the proxy's number.
const (
	processBits = 16
	numberMask  = 1<<16 - 1
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
