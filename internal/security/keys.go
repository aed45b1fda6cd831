package security

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/settings"
	"almondgrade/core/timer"
)

// Mode determines which certificate a server requires of its clients.
type Mode uint8

// The modes of a server.
const (
	// Anonymous requires no certificate. It is the mode for callers, who log in as users.
	Anonymous Mode = iota
	// Optional verifies a certificate if the client presents one. A Gate decides whether the request needs one.
	Optional
	// Mutual refuses clients without a certificate signed by the authority.
	Mutual
)

// keyMaterial is the current content of Keys. Each field may be nil.
type keyMaterial struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Keys holds the certificate and authority of a process. It is safe for concurrent use.
type Keys struct {
	files   settings.TLS
	watched *watchedFiles[keyMaterial]
}

// NewKeys reads the key files of the settings, and reloads them at the interval of the settings.
func NewKeys(files settings.TLS, clock timer.Service, logger *slog.Logger) (*Keys, error) {
	keys := &Keys{files: files}

	var names []string

	if files.Authority != "" {
		names = append(names, files.Authority)
	}

	if files.Certificate != "" {
		names = append(names, files.Certificate, files.Key)
	}

	interval := max(time.Second, time.Duration(files.ReloadSeconds)*time.Second)

	var err error

	keys.watched, err = watchFiles(names, interval, clock, logger, keys.parse)
	if err != nil {
		return nil, err
	}

	return keys, nil
}

// Close stops reloading the files. The keys stay usable.
func (k *Keys) Close() {
	k.watched.stop()
}

// Reload reads the files now.
func (k *Keys) Reload() error {
	return k.watched.reload()
}

func (k *Keys) parse(contents [][]byte) (*keyMaterial, error) {
	material := &keyMaterial{}

	if k.files.Authority != "" {
		material.authority = x509.NewCertPool()
		if !material.authority.AppendCertsFromPEM(contents[0]) {
			return nil, eris.Errorf("authority %s holds no certificate in PEM form", k.files.Authority)
		}

		contents = contents[1:]
	}

	if k.files.Certificate != "" {
		certificate, err := tls.X509KeyPair(contents[0], contents[1])
		if err != nil {
			return nil, eris.Wrapf(err, "certificate %s with key %s", k.files.Certificate, k.files.Key)
		}

		material.certificate = &certificate
	}

	return material, nil
}

// Server returns the configuration of a listener, or nil if the settings have no certificate. Optional and Mutual
// need an authority; without one Optional is Anonymous and Mutual refuses every client.
func (k *Keys) Server(mode Mode) *tls.Config {
	if k.files.Certificate == "" {
		return nil
	}

	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.watched.current.Load().certificate, nil
		},
	}

	switch mode {
	case Anonymous:
		return config
	case Optional:
		if k.files.Authority == "" {
			return config
		}

		config.ClientAuth = tls.RequestClientCert
	case Mutual:
		config.ClientAuth = tls.RequireAnyClientCert
	}

	// The certificate pool of tls.Config can't change while the listener runs, so the chain is verified here.
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 && mode == Optional {
			return nil
		}

		return k.verify(state, "", x509.ExtKeyUsageClientAuth)
	}

	return config
}

// Client returns the configuration for connections to one host, given by its IP address or name, or nil if the
// settings have no authority.
func (k *Keys) Client(host string) *tls.Config {
	if k.files.Authority == "" {
		return nil
	}

	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: host,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if certificate := k.watched.current.Load().certificate; certificate != nil {
				return certificate, nil
			}

			return &tls.Certificate{}, nil
		},
		// VerifyConnection verifies the chain and the host against the current authority, because RootCAs can't change.
		InsecureSkipVerify: true, //nolint:gosec // See above.
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, host, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks the peer's chain against the current authority, and its name if a host is given.
func (k *Keys) verify(state tls.ConnectionState, host string, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the peer presented no certificate")
	}

	authority := k.watched.current.Load().authority
	if authority == nil {
		return eris.New("no authority is set to verify the peer's certificate")
	}

	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}

	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, DNSName: host, KeyUsages: []x509.ExtKeyUsage{usage},
	})

	return eris.Wrap(err, "verify the peer's certificate")
}
