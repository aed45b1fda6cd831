package dial

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// Backoff bounds the attempts to connect.
type Backoff struct {
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// MinDelay and Most bound the pause between two attempts.
	MinDelay time.Duration
	MaxDelay time.Duration
}

// NewConn returns a connection to another process, which is opened when it is first used and again after each failure.
func NewConn(address netip.AddrPort, pace Backoff, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	pauses := backoff.DefaultConfig
	pauses.BaseDelay, pauses.MaxDelay = pace.MinDelay, pace.MaxDelay

	options = append(options, grpc.WithConnectParams(grpc.ConnectParams{
		Backoff: pauses, MinConnectTimeout: pace.AttemptTimeout,
	}))
	// An address needs no resolver.
	connection, err := grpc.NewClient("passthrough:///"+address.String(), options...)

	return connection, eris.Wrapf(err, "connect to %s", address)
}
