package dial

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// Backoff bounds the attempts to connect and the delays between them.
type Backoff struct {
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// MinDelay and MaxDelay bound the delay between two attempts.
	MinDelay time.Duration
	MaxDelay time.Duration
}

// NewConn returns a gRPC connection to another process. It connects when it is first used, and again after each
// failure.
func NewConn(address netip.AddrPort, limits Backoff, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	delays := backoff.DefaultConfig
	delays.BaseDelay, delays.MaxDelay = limits.MinDelay, limits.MaxDelay

	options = append(options, grpc.WithConnectParams(grpc.ConnectParams{
		Backoff: delays, MinConnectTimeout: limits.AttemptTimeout,
	}))
	// An address needs no resolver.
	connection, err := grpc.NewClient("passthrough:///"+address.String(), options...)

	return connection, eris.Wrapf(err, "connect to %s", address)
}
