package proxy

import (
	"context"
	"crypto/tls"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/settings"
	"almondgrade/io/backend"
)

const (
	// connectTimeout bounds opening one backend connection.
	connectTimeout = 3 * time.Second
	// idleLimit is the time after which an unused backend connection is closed, so that its permit can serve
	// another proxy. Opening one again costs about 10 ms.
	idleLimit = 2 * time.Second
	// reapInterval is the interval of the search for connections to close.
	reapInterval = 500 * time.Millisecond
)

// pools holds one pool for each server and database. It is safe for concurrent use.
type pools struct {
	coordination Coordination
	application  string
	tls          *tls.Config
	number       atomic.Uint64

	mu    sync.RWMutex
	pools map[poolKey]*serverPool
}

type poolKey struct {
	server   string
	database string
}

// serverPool is a pool with the number of statements that run over it.
type serverPool struct {
	*backend.Pool
	server string
	// identity tells a server that returned under the same name from the one that the pool connects to.
	identity string
	inquirer *backend.ActivityChecker
	load     atomic.Int64
}

func newPools(options Options) *pools {
	if options.Application == "" {
		options.Application = "ag/" + options.Name + "/"
	}

	return &pools{
		coordination: options.Coordination, application: options.Application, tls: options.BackendTLS,
		pools: make(map[poolKey]*serverPool),
	}
}

// get returns the pool for a server, and makes it if there is none.
func (p *pools) get(server registry.Server, database string) *serverPool {
	key := poolKey{server: server.Name, database: database}
	identity := identityOf(server)

	p.mu.RLock()
	pool := p.pools[key]
	p.mu.RUnlock()

	if pool != nil && pool.identity == identity {
		return pool
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if pool = p.pools[key]; pool != nil {
		if pool.identity == identity {
			return pool
		}

		pool.Close()
	}

	acquire := func(ctx context.Context, urgent bool) (backend.Permit, error) {
		return p.coordination.Connection(ctx, server.Name, urgent)
	}
	options := backend.Options{
		Address:        server.Address,
		Login:          func() (backend.Login, error) { return p.login(database) },
		Application:    func() string { return p.application + strconv.FormatUint(p.number.Add(1), 10) },
		ConnectTimeout: connectTimeout,
		TLS:            p.tls,
	}
	pool = &serverPool{server: server.Name, identity: identity, inquirer: backend.NewActivityChecker(options)}
	options.OnAbandoned = pool.inquirer.Terminate
	pool.Pool = backend.NewPool(options, acquire)
	p.pools[key] = pool

	return pool
}

// load returns the number of statements that run on a server.
func (p *pools) load(server, database string) int64 {
	p.mu.RLock()
	defer p.mu.RUnlock()

	if pool := p.pools[poolKey{server: server, database: database}]; pool != nil {
		return pool.load.Load()
	}

	return 0
}

// reap closes connections that were unused for long, that belong to an old term, or whose server left.
func (p *pools) reap(now time.Time, view *registry.View) {
	p.mu.Lock()

	present := make([]*serverPool, 0, len(p.pools))

	for key, pool := range p.pools {
		server, known := view.Servers[key.server]
		if !known || identityOf(server) != pool.identity {
			pool.Close()
			delete(p.pools, key)

			continue
		}

		present = append(present, pool)
	}
	p.mu.Unlock()

	for _, pool := range present {
		server := view.Servers[pool.server]
		term := primaryTerm(view, server)

		pool.CloseIdleIf(now, func(conn *backend.Conn, idle time.Duration) bool {
			return server.Leaving || idle > idleLimit || conn.Term != term
		})
	}
}

// recall closes up to a number of idle connections to a server, because others wait for the permits.
func (p *pools) recall(server string, count int) {
	p.mu.RLock()

	var present []*serverPool

	for key, pool := range p.pools {
		if key.server == server {
			present = append(present, pool)
		}
	}
	p.mu.RUnlock()

	for _, pool := range present {
		count -= pool.Shrink(count)
	}
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for key, pool := range p.pools {
		pool.Close()
		delete(p.pools, key)
	}
}

func (p *pools) login(database string) (backend.Login, error) {
	var account settings.Login
	if view := p.coordination.View(); view != nil {
		account = view.Running.Backend
	}

	login := backend.Login{User: account.User, Database: database}

	if account.Secret != "" {
		// The file is read for each connection, so that a new password needs no restart.
		secret, err := os.ReadFile(account.Secret)
		if err != nil {
			return login, err
		}

		login.Password = strings.TrimRight(string(secret), "\r\n")
	}

	return login, nil
}

func identityOf(server registry.Server) string {
	return server.Address.String() + "/" + server.Identity + "/" + strconv.FormatUint(server.Incarnation, 10)
}

// primaryTerm returns the term in which a server is its group's primary, or zero for a replica.
func primaryTerm(view *registry.View, server registry.Server) position.Term {
	if group, found := view.Groups[server.Group]; found && group.Primary == server.Name {
		return group.Term
	}

	return 0
}
