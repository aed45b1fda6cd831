package managedcontrol

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
)

// The names of the gRPC service and its methods.
const (
	serviceName     = "almondgrade.Fleet"
	syncMethod      = "Sync"
	deliverMethod   = "Deliver"
	introduceMethod = "Introduce"
	methodPrefix    = "/" + serviceName + "/"
)

// Service is implemented by a control process.
type Service interface {
	Sync(ctx context.Context, request *SyncRequest) (*SyncReply, error)
	Deliver(ctx context.Context, request *DeliverRequest) (*DeliverReply, error)
	// Introduce receives the addresses that the sender knows and returns those that this process knows.
	Introduce(ctx context.Context, introduction *Introduction) (*Introduction, error)
}

// codec encodes messages as CBOR.
type codec struct{}

// Marshal implements encoding.Codec.
func (codec) Marshal(message any) ([]byte, error) {
	encoded, err := cbor.Marshal(message)

	return encoded, eris.Wrap(err, "encode message")
}

// Unmarshal implements encoding.Codec.
func (codec) Unmarshal(data []byte, message any) error {
	return eris.Wrap(cbor.Unmarshal(data, message), "decode message")
}

// Name implements encoding.Codec.
func (codec) Name() string {
	return "cbor"
}

// gRPC keeps codecs in a table without a lock, so they must be registered before the first call.
func init() {
	encoding.RegisterCodec(codec{})
}

// Register adds the service to a gRPC server.
func Register(registrar grpc.ServiceRegistrar, service Service) {
	registrar.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Service)(nil),
		Methods: []grpc.MethodDesc{
			{MethodName: syncMethod, Handler: unary(Service.Sync)},
			{MethodName: deliverMethod, Handler: unary(Service.Deliver)},
			{MethodName: introduceMethod, Handler: unary(Service.Introduce)},
		},
	}, service)
}

// unary returns a gRPC handler for a method of the service.
func unary[Q, R any](method func(Service, context.Context, *Q) (*R, error)) grpc.MethodHandler {
	return func(service any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := new(Q)
		if err := decode(request); err != nil {
			return nil, err
		}

		implementation, valid := service.(Service)
		if !valid {
			return nil, eris.New("the registered service does not implement Service")
		}

		return method(implementation, ctx, request)
	}
}
