package coordination

import (
	"context"
	"time"

	"almondgrade/core/registry"
	"almondgrade/internal/coordinator"
)

// directIdle is the time after which unused direct connections are closed once the coordinator answers again.
const directIdle = 5 * time.Second

// direct asks the members of a group without the coordinator.
type direct struct {
	*coordinator.Coordinator
	used time.Time
}

// permitted is an administrative connection that holds a permit.
type permitted struct {
	coordinator.Admin
	release func()
}

// Close implements coordinator.Admin.
func (p permitted) Close() {
	p.Admin.Close()
	p.release()
}

// directly returns the passive coordinator of this proxy.
func (l *link) directly() target {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.direct == nil {
		options := l.owner.options
		l.direct = &direct{Coordinator: coordinator.New(coordinator.Options{
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

	l.direct.used = l.owner.options.Timer.Now()

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

	return permitted{Admin: conn, release: held.Release}, nil
}
