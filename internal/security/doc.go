// Package security holds keys, tokens and the decision who may use a listener.
//
// Keys reads the certificate, key and authority of the settings again while the process runs. Connections that
// exist keep the keys they began with; new connections use the latest. Files that can't be read are logged and
// the keys in force stay.
//
// A Token is the content of a file, compared in constant time. A Gate lets a request pass that presents the token
// or a certificate of the authority.
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
