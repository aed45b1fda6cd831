package coordination

import (
	"context"
	"time"

	"almondgrade/core/registry"
	"almondgrade/internal/coordinator"
)

// directIdleTimeout is the idle time after which direct connections are closed once the coordinator answers again.
const directIdleTimeout = 5 * time.Second

// directCoordinator queries the members of a group without the group's coordinator.
type directCoordinator struct {
	*coordinator.Coordinator
	usedAt time.Time
}

// permittedAdmin is an administrative connection that holds a permit.
type permittedAdmin struct {
	coordinator.Admin
	release func()
}

// Close implements coordinator.Admin.
func (p permittedAdmin) Close() {
	p.Admin.Close()
	p.release()
}

// directTarget returns this proxy's passive coordinator of the group, and starts it on the first use.
func (l *link) directTarget() target {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.direct == nil {
		options := l.owner.options
		l.direct = &directCoordinator{Coordinator: coordinator.New(coordinator.Options{
			Proxy:     options.Name,
			Instance:  options.Instance,
			Group:     l.group,
			View:      options.Source.View,
			Confirmed: options.Source.Confirmed,
			Open:      l.openPermitted,
			Timer:     options.Timer,
			Logger:    options.Logger,
			Metrics:   options.Metrics,
			Passive:   true,
		})}
	}

	l.direct.usedAt = l.owner.options.Timer.Now()

	return local{l.direct.Coordinator}
}

func (l *link) openPermitted(
	ctx context.Context, server registry.Server, application string,
) (coordinator.Admin, error) {
	held, err := l.owner.AcquireConnection(ctx, server.Name, true)
	if err != nil {
		return nil, err
	}

	conn, err := l.owner.options.Open(ctx, server, application)
	if err != nil {
		held.Release()

		return nil, err
	}

	return permittedAdmin{Admin: conn, release: held.Release}, nil
}
