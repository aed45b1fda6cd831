package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Options configure servers and clients. The zero Options use no encryption.
type Options struct {
	// TLS encrypts the connections and, if it asks for certificates, authenticates both sides.
	TLS *tls.Config
	// Dial opens the connections of a client; nil stands for a plain TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	// keepaliveTime is the idle time after which a connection is checked, and keepaliveTimeout the time that the
	// check may take. The gRPC library accepts no smaller interval for clients.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// shortCallTimeout bounds the calls that the other side answers at once.
	shortCallTimeout = time.Second
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// minReconnectDelay and mostDelay bound the time between attempts to connect.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
)

func (o Options) credentials() credentials.TransportCredentials {
	if o.TLS == nil {
		return insecure.NewCredentials()
	}

	return credentials.NewTLS(o.TLS)
}
