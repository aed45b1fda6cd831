package peer

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"almondgrade/io/peer/peerpb"
)

// Register adds the Peer service to a gRPC server.
func Register(registrar grpc.ServiceRegistrar, handler peerpb.PeerServer) {
	peerpb.RegisterPeerServer(registrar, handler)
}

// NewServer returns a gRPC server with the Peer service. The caller serves and stops it.
func NewServer(options Options, handler peerpb.PeerServer, more ...grpc.ServerOption) *grpc.Server {
	server := grpc.NewServer(append([]grpc.ServerOption{
		grpc.Creds(options.credentials()),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	}, more...)...)
	Register(server, handler)

	return server
}
