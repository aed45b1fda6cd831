package managedcontrol

import (
	"log/slog"
	"net/netip"
	"sync"

	"google.golang.org/grpc"
)

// connections holds one connection to each of several processes. It is safe for concurrent use.
type connections struct {
	dial   func(netip.AddrPort) (*grpc.ClientConn, error)
	logger *slog.Logger

	mutex sync.Mutex
	open  map[netip.AddrPort]*grpc.ClientConn
}

func newConnections(dial func(netip.AddrPort) (*grpc.ClientConn, error), logger *slog.Logger) *connections {
	return &connections{dial: dial, logger: logger, open: make(map[netip.AddrPort]*grpc.ClientConn)}
}

// get returns the connection to a process, which is opened when it is first used.
func (c *connections) get(to netip.AddrPort) (*grpc.ClientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if present := c.open[to]; present != nil {
		return present, nil
	}

	connection, err := c.dial(to)
	if err != nil {
		return nil, err
	}

	c.open[to] = connection

	return connection, nil
}

// drop closes a connection after a failure, so that the next call opens another one.
func (c *connections) drop(to netip.AddrPort, failed *grpc.ClientConn) {
	c.mutex.Lock()
	present := c.open[to] == failed

	if present {
		delete(c.open, to)
	}
	c.mutex.Unlock()

	if present {
		c.end(to, failed)
	}
}

func (c *connections) end(to netip.AddrPort, connection *grpc.ClientConn) {
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
		c.end(to, connection)
	}
}
