package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"

	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/core/timer"
)

// keyFolder holds the files of an authority and of keys for 127.0.0.1. A test can replace them.
type keyFolder struct {
	t     *testing.T
	files settings.TLS
}

func newFolder(t *testing.T) keyFolder {
	t.Helper()

	dir := t.TempDir()
	made := keyFolder{t, settings.TLS{Authority: filepath.Join(dir, "a.pem"), Certificate: filepath.Join(dir, "c.pem"),
		Key: filepath.Join(dir, "k.pem")}}
	made.renew("first")

	return made
}

// renew writes a new authority and a certificate signed by it.
func (f keyFolder) renew(name string) {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(f.t, err)

	authority := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name + " authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	require.NoError(f.t, err)
	f.write(f.files.Authority, "CERTIFICATE", der)

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(f.t, err)

	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err = x509.CreateCertificate(rand.Reader, leaf, authority, key.Public(), authorityKey)
	require.NoError(f.t, err)
	f.write(f.files.Certificate, "CERTIFICATE", der)

	der, err = x509.MarshalPKCS8PrivateKey(key)
	require.NoError(f.t, err)
	f.write(f.files.Key, "PRIVATE KEY", der)
}

func (f keyFolder) write(file, kind string, der []byte) {
	require.NoError(f.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func (f keyFolder) keys() *Keys {
	keys, err := NewKeys(f.files, timer.NewManual(time.Unix(0, 0)), slog.New(slog.DiscardHandler))
	require.NoError(f.t, err)
	f.t.Cleanup(keys.Close)

	return keys
}

// handshake connects a client to a server and returns the common name of the server's certificate, or the errors of both
// sides.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer listener.Close()

	served := make(chan error, 1)

	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err

			return
		}

		defer conn.Close()

		// The credentials of gRPC require ALPN, so they also show whether the configuration works for gRPC.
		_, _, err = credentials.NewTLS(server).ServerHandshake(conn)
		served <- err
	}()

	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)

	defer conn.Close()

	_, info, err := credentials.NewTLS(client).ClientHandshake(t.Context(), client.ServerName, conn)
	err = errors.Join(err, <-served)

	if err != nil {
		return "", err
	}

	return info.(credentials.TLSInfo).State.PeerCertificates[0].Subject.CommonName, nil
}

// Guards against keys that are only read at start, and against an authority that is still trusted after its removal.
func TestKeysAreReloaded(t *testing.T) {
	files := newFolder(t)
	server, client := files.keys(), files.keys()
	serving, connecting := server.Server(Mutual), client.Client("127.0.0.1")

	name, err := handshake(t, serving, connecting)
	require.NoError(t, err)
	require.Equal(t, "first", name)

	files.renew("second")
	require.NoError(t, server.Reload())

	_, err = handshake(t, serving, connecting)
	require.Error(t, err, "the client still trusts only the first authority")

	require.NoError(t, client.Reload())

	name, err = handshake(t, serving, connecting)
	require.NoError(t, err)
	require.Equal(t, "second", name)

	require.NoError(t, os.WriteFile(files.files.Key, []byte("damaged"), 0o600))
	require.Error(t, server.Reload())

	_, err = handshake(t, serving, connecting)
	require.NoError(t, err, "damaged files leave the current keys in use")
}

// Guards against keys that are not reloaded at the interval of the settings, or still are after Close.
func TestKeysFollowTimer(t *testing.T) {
	files := newFolder(t)
	files.files.ReloadSeconds = 5
	clock := timer.NewManual(time.Unix(0, 0))

	keys, err := NewKeys(files.files, clock, slog.New(slog.DiscardHandler))
	require.NoError(t, err)

	before := keys.watched.current.Load()

	files.renew("second")
	clock.Advance(4 * time.Second)
	require.Same(t, before, keys.watched.current.Load())
	clock.Advance(time.Second)
	require.NotSame(t, before, keys.watched.current.Load())

	before = keys.watched.current.Load()

	keys.Close()
	files.renew("third")
	clock.Advance(time.Minute)
	require.Same(t, before, keys.watched.current.Load())
}

// Guards against accepting a peer without a certificate, or with one of another authority or for another host.
func TestUnknownPeersAreRefused(t *testing.T) {
	files, others := newFolder(t), newFolder(t)
	keys, stranger := files.keys(), others.keys()

	bare := keys.Client("127.0.0.1")
	bare.GetClientCertificate = nil

	cases := []struct {
		name           string
		server, client *tls.Config
		accepted       bool
	}{
		{"mutual", keys.Server(Mutual), keys.Client("127.0.0.1"), true},
		{"optional with certificate", keys.Server(Optional), keys.Client("127.0.0.1"), true},
		{"optional without certificate", keys.Server(Optional), bare, true},
		{"anonymous", keys.Server(Anonymous), bare, true},
		{"no certificate", keys.Server(Mutual), bare, false},
		{"other host", keys.Server(Mutual), keys.Client("127.0.0.2"), false},
		{"server of another authority", stranger.Server(Mutual), keys.Client("127.0.0.1"), false},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			_, err := handshake(t, one.server, one.client)
			require.Equal(t, one.accepted, err == nil, "%v", err)
		})
	}

	for _, mode := range []Mode{Optional, Mutual} {
		client := stranger.Client("127.0.0.1")
		client.VerifyConnection = nil

		_, err := handshake(t, keys.Server(mode), client)
		require.Error(t, err, "client of another authority")
	}
}

// Guards against listeners that use TLS although the settings turn it off, and against ignoring a missing file.
func TestEmptySettingsTurnTLSOff(t *testing.T) {
	keys := keyFolder{t: t}.keys()

	require.Nil(t, keys.Server(Mutual))
	require.Nil(t, keys.Client("127.0.0.1"))

	_, err := NewKeys(settings.TLS{Authority: filepath.Join(t.TempDir(), "none")}, timer.NewManual(time.Unix(0, 0)),
		slog.New(slog.DiscardHandler))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against a gate that accepts requests without valid credentials, and against an unprotected listener on an
// address other than loopback.
func TestGate(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("0123456789abcdef\n"), 0o600))

	token, err := NewToken(file, timer.NewManual(time.Unix(0, 0)), slog.New(slog.DiscardHandler))
	require.NoError(t, err)

	known := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{}}}
	cases := []struct {
		name   string
		gate   Gate
		header string
		tls    *tls.ConnectionState
		passes bool
	}{
		{"no guard", Gate{}, "", nil, true},
		{"token", Gate{Token: token}, "Bearer 0123456789abcdef", nil, true},
		{"lower case scheme", Gate{Token: token}, "bearer 0123456789abcdef", nil, true},
		{"wrong token", Gate{Token: token}, "Bearer 0123456789abcdeX", nil, false},
		{"no token", Gate{Token: token}, "", nil, false},
		{"empty token", Gate{Token: token}, "Bearer ", nil, false},
		{"other scheme", Gate{Token: token}, "Basic 0123456789abcdef", nil, false},
		{"certificate that is not asked for", Gate{Token: token}, "", known, false},
		{"certificate", Gate{Token: token, Certificates: true}, "", known, true},
		{"token in place of certificate", Gate{Token: token, Certificates: true}, "Bearer 0123456789abcdef", nil, true},
		{"neither", Gate{Certificates: true}, "Bearer 0123456789abcdef", &tls.ConnectionState{}, false},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			request := &http.Request{Header: http.Header{"Authorization": {one.header}}, TLS: one.tls}
			err := one.gate.Authenticate(request)
			require.Equal(t, one.passes, err == nil, "%v", err)

			if err != nil {
				require.Equal(t, result.Authentication, result.CodeOf(err))
			}
		})
	}

	near, far := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("10.0.0.1:1")
	require.NoError(t, Gate{}.CheckListen(near))
	require.Error(t, Gate{}.CheckListen(far))
	require.NoError(t, Gate{AllowOpen: true}.CheckListen(far))
	require.NoError(t, Gate{Token: token}.CheckListen(far))

	require.NoError(t, os.WriteFile(file, []byte("fedcba9876543210"), 0o600))
	require.NoError(t, token.Reload())
	require.False(t, token.Matches("0123456789abcdef"))
	require.True(t, token.Matches("fedcba9876543210"))

	require.NoError(t, os.WriteFile(file, []byte("short"), 0o600))
	require.Error(t, token.Reload())
	require.True(t, token.Matches("fedcba9876543210"))
}
