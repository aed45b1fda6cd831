package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Options configure servers and clients. The zero value means no encryption.
type Options struct {
	// TLS enables encryption if it is not nil. If it requires certificates, it also authenticates both sides.
	TLS *tls.Config
	// Dial opens the connections of a client. Nil means plain TCP connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	// keepaliveTime is the idle time after which a connection is checked, keepaliveTimeout bounds the check. The gRPC
	// library accepts no shorter interval for clients.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// shortCallTimeout bounds the calls that the other proxy answers immediately.
	shortCallTimeout = time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// minDelay and maxDelay bound the delay between attempts to connect.
	minDelay = 50 * time.Millisecond
	maxDelay = time.Second
)

func (o Options) credentials() credentials.TransportCredentials {
	if o.TLS == nil {
		return insecure.NewCredentials()
	}

	return credentials.NewTLS(o.TLS)
}
