package daemon

import (
	"crypto/tls"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"almondgrade/internal/security"
	"almondgrade/io/dial"
)

const (
	// keepalivePeriod is the idle time after which a gRPC connection is checked, and keepaliveTimeout the time
	// after which an unanswered check closes it. A connection that has gone silent is replaced after their sum.
	keepalivePeriod  = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// minReconnect and maxReconnect bound the pause between two attempts to connect.
	minReconnect = 50 * time.Millisecond
	maxReconnect = time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// messageLimit bounds one gRPC message. A full view of 2,700 groups takes about 2 MB.
	messageLimit = 64 << 20
)

// dialer returns the function with which a process connects to others. Without an authority connections are not
// encrypted.
func dialer(keys *security.Keys) func(netip.AddrPort) (*grpc.ClientConn, error) {
	return func(address netip.AddrPort) (*grpc.ClientConn, error) {
		transport := insecure.NewCredentials()
		if config := keys.Client(address.Addr().String()); config != nil {
			transport = credentials.NewTLS(config)
		}

		return dial.NewConn(address, dial.Backoff{AttemptTimeout: connectTimeout, MinDelay: minReconnect, MaxDelay: maxReconnect},
			grpc.WithTransportCredentials(transport),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{
				Time: keepalivePeriod, Timeout: keepaliveTimeout, PermitWithoutStream: true,
			}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageLimit)),
		)
	}
}

// newServer returns a gRPC server for the other processes of the system.
func newServer(config *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepalivePeriod / 2, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}),
		grpc.MaxRecvMsgSize(messageLimit),
	}

	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}

	return grpc.NewServer(options...)
}
