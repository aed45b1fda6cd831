package dial

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// Pace bounds the attempts to connect.
type Pace struct {
	// Timeout bounds one attempt.
	Timeout time.Duration
	// Least and Most bound the pause between two attempts.
	Least time.Duration
	Most  time.Duration
}

// Process returns a connection to another process, which is opened when it is first used and again after each failure.
func Process(address netip.AddrPort, pace Pace, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	pauses := backoff.DefaultConfig
	pauses.BaseDelay, pauses.MaxDelay = pace.Least, pace.Most

	options = append(options, grpc.WithConnectParams(grpc.ConnectParams{
		Backoff: pauses, MinConnectTimeout: pace.Timeout,
	}))
	// An address needs no resolver.
	connection, err := grpc.NewClient("passthrough:///"+address.String(), options...)

	return connection, eris.Wrapf(err, "connect to %s", address)
}
