// Package dial opens the gRPC connections between the processes of the system, with bounded pauses between attempts.
//
// # Usage
//
//	connection, err := dial.Process(address, dial.Pace{Timeout: time.Second, Least: least, Most: most},
//		grpc.WithTransportCredentials(insecure.NewCredentials()))
package dial
