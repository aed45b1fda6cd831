package managedcontrol

import (
	"log/slog"
	"net/netip"
	"sync"

	"google.golang.org/grpc"
)

// connections holds one connection for each process. It is safe for concurrent use.
type connections struct {
	dial   func(netip.AddrPort) (*grpc.ClientConn, error)
	logger *slog.Logger

	mutex sync.Mutex
	open  map[netip.AddrPort]*grpc.ClientConn
}

func newConnections(dial func(netip.AddrPort) (*grpc.ClientConn, error), logger *slog.Logger) *connections {
	return &connections{dial: dial, logger: logger, open: make(map[netip.AddrPort]*grpc.ClientConn)}
}

// get returns the connection to a process and creates it if there is none.
func (c *connections) get(to netip.AddrPort) (*grpc.ClientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if existing := c.open[to]; existing != nil {
		return existing, nil
	}

	connection, err := c.dial(to)
	if err != nil {
		return nil, err
	}

	c.open[to] = connection

	return connection, nil
}

// drop closes a connection after a failure, so that the next call opens a new one.
func (c *connections) drop(to netip.AddrPort, failed *grpc.ClientConn) {
	c.mutex.Lock()
	isCurrent := c.open[to] == failed

	if isCurrent {
		delete(c.open, to)
	}
	c.mutex.Unlock()

	if isCurrent {
		c.closeConnection(to, failed)
	}
}

func (c *connections) closeConnection(to netip.AddrPort, connection *grpc.ClientConn) {
	if err := connection.Close(); err != nil {
		c.logger.Debug("connection did not close cleanly", "address", to, "error", err)
	}
}

func (c *connections) close() {
	c.mutex.Lock()
	open := c.open
	c.open = make(map[netip.AddrPort]*grpc.ClientConn)
	c.mutex.Unlock()

	for to, connection := range open {
		c.closeConnection(to, connection)
	}
}
