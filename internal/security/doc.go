// Package security holds the TLS keys and tokens of a process and decides which requests a listener serves.
//
// Keys reloads the certificate, key and authority of the settings while the process runs. Existing connections
// keep the keys with which they were opened; new connections use the latest ones. If the files can't be read, the
// error is logged and the current keys stay in use.
//
// A Token is the content of a file, compared in constant time. A Gate accepts a request that presents the token
// or a certificate signed by the authority.
//
// # Usage
//
//	keys, err := security.NewKeys(loaded.Settings.TLS, clock, logger)
//	if err != nil {
//		return err
//	}
//	defer keys.Close()
//
//	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(keys.Server(security.Mutual))))
//	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(
//		credentials.NewTLS(keys.Client("10.10.1.12"))))
//
// Server and Client return nil where the settings turn TLS off; the caller then uses plain connections.
package security
