// Package dial connects the processes of the system by gRPC.
//
// # Usage
//
//	connection, err := dial.Process(address, dial.Pace{Timeout: time.Second, Least: least, Most: most},
//		grpc.WithTransportCredentials(insecure.NewCredentials()))
package dial
