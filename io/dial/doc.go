// Package dial opens the gRPC connections between the processes of the system, with bounded delays between attempts.
//
// # Usage
//
//	backoff := dial.Backoff{AttemptTimeout: time.Second, MinDelay: 50 * time.Millisecond, MaxDelay: time.Second}
//	connection, err := dial.NewConn(address, backoff, grpc.WithTransportCredentials(insecure.NewCredentials()))
package dial
