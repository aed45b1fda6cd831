package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// The gRPC service of a proxy for other proxies.
const (
	forwardService = "almondgrade.Forward"
	forwardMethod  = "Run"
	forwardPath    = "/" + forwardService + "/" + forwardMethod
)

const (
	// peerConnect bounds the wait for a connection to another proxy. Data centres are 2 ms apart.
	peerConnect = 250 * time.Millisecond
	// retireTime is the time that calls in progress get on a connection which may be silent. Statements take less.
	retireTime = 5 * time.Second
)

// ErrNotSent is returned by Peers.Call if the request was not sent.
var ErrNotSent = errors.New("the proxy is not reached")

// RegisterForward adds the service that other proxies call to a gRPC server.
func RegisterForward[Q, R any](registrar grpc.ServiceRegistrar, run func(context.Context, *Q) (*R, error)) {
	registrar.RegisterService(&grpc.ServiceDesc{
		ServiceName: forwardService,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{{
			MethodName: forwardMethod,
			Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				request := new(Q)
				if err := decode(request); err != nil {
					return nil, err
				}

				return run(ctx, request)
			},
		}},
	}, nil)
}

// Peers calls other proxies. It is safe for concurrent use.
type Peers struct {
	conns *connections
}

// NewPeers returns a Peers, which connects to a proxy at the first call.
func NewPeers(dial func(netip.AddrPort) (*grpc.ClientConn, error), logger *slog.Logger) *Peers {
	return &Peers{conns: newConnections(dial, logger)}
}

// Call sends a request to another proxy and waits for the reply. It fails with ErrNotSent if the proxy can't have got
// the request.
func (p *Peers) Call(ctx context.Context, to netip.AddrPort, request, reply any) error {
	connection, err := p.conns.get(to)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}

	if err := ready(ctx, connection); err != nil {
		p.conns.drop(to, connection)

		return errors.Join(ErrNotSent, err)
	}

	err = connection.Invoke(ctx, forwardPath, request, reply, grpc.ForceCodec(codec{}))
	if err != nil {
		p.conns.retire(to, connection, retireTime)
	}

	return eris.Wrapf(err, "call proxy %s", to)
}

// Close ends all connections.
func (p *Peers) Close() {
	p.conns.close()
}

// ready waits until a connection is open.
func ready(ctx context.Context, connection *grpc.ClientConn) error {
	state := connection.GetState()
	if state == connectivity.Ready {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, peerConnect)
	defer cancel()

	for ; state != connectivity.Ready; state = connection.GetState() {
		connection.Connect()

		if state == connectivity.TransientFailure || !connection.WaitForStateChange(ctx, state) {
			return eris.Errorf("connection is %s", state)
		}
	}

	return nil
}
