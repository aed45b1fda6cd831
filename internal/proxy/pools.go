package proxy

import (
	"context"
	"crypto/tls"
	"strconv"
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
	// maxConnIdle is the idle time after which a backend connection is closed, so that another proxy can use its
	// permit. Opening a connection costs about 10 ms.
	maxConnIdle = 2 * time.Second
	// reapInterval is the interval at which the pools are searched for connections to close.
	reapInterval = 500 * time.Millisecond
)

// pools holds one connection pool for each server and database. It is safe for concurrent use.
type pools struct {
	coordination Coordination
	application  string
	tls          *tls.Config
	connNumber   atomic.Uint64

	mu    sync.RWMutex
	pools map[poolKey]*serverPool
}

type poolKey struct {
	server   string
	database string
}

// serverPool is a connection pool that counts the statements running on its connections.
type serverPool struct {
	*backend.Pool
	server string
	// identity distinguishes the pool's server from a later one of the same name.
	identity          string
	inquirer          *backend.ActivityChecker
	runningStatements atomic.Int64
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

// get returns the pool for a server and database, and creates it if there is none for the server's identity.
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
		return p.coordination.AcquireConnection(ctx, server.Name, urgent)
	}
	options := backend.Options{
		Address:        server.Address,
		Login:          func() (backend.Login, error) { return p.login(database) },
		Application:    func() string { return p.application + strconv.FormatUint(p.connNumber.Add(1), 10) },
		ConnectTimeout: connectTimeout,
		TLS:            p.tls,
	}
	pool = &serverPool{server: server.Name, identity: identity, inquirer: backend.NewActivityChecker(options)}
	options.OnAbandoned = pool.inquirer.Terminate
	pool.Pool = backend.NewPool(options, acquire)
	p.pools[key] = pool

	return pool
}

// runningStatements returns the number of statements that this proxy runs on a server.
func (p *pools) runningStatements(server, database string) int64 {
	p.mu.RLock()
	defer p.mu.RUnlock()

	if pool := p.pools[poolKey{server: server, database: database}]; pool != nil {
		return pool.runningStatements.Load()
	}

	return 0
}

// reapConns closes connections that have been idle for too long, that belong to another term, or whose server is
// leaving or gone.
func (p *pools) reapConns(now time.Time, view *registry.View) {
	p.mu.Lock()

	remaining := make([]*serverPool, 0, len(p.pools))

	for key, pool := range p.pools {
		server, known := view.Servers[key.server]
		if !known || identityOf(server) != pool.identity {
			pool.Close()
			delete(p.pools, key)

			continue
		}

		remaining = append(remaining, pool)
	}
	p.mu.Unlock()

	for _, pool := range remaining {
		server := view.Servers[pool.server]
		term := primaryTerm(view, server)

		pool.CloseIdleIf(now, func(conn *backend.Conn, idle time.Duration) bool {
			return server.Leaving || idle > maxConnIdle || conn.Term != term
		})
	}
}

// closeIdleConns closes up to count idle connections to a server, because other proxies wait for the permits.
func (p *pools) closeIdleConns(server string, count int) {
	p.mu.RLock()

	var matching []*serverPool

	for key, pool := range p.pools {
		if key.server == server {
			matching = append(matching, pool)
		}
	}
	p.mu.RUnlock()

	for _, pool := range matching {
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
	var account settings.BackendLogin
	if view := p.coordination.View(); view != nil {
		account = view.Running.Backend
	}

	login := backend.Login{User: account.User, Database: database}

	if account.PasswordFile != "" {
		// The file is read for each connection, so that a new password takes effect without a restart.
		password, err := backend.ReadPassword(account.PasswordFile)
		if err != nil {
			return login, err
		}

		login.Password = password
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
