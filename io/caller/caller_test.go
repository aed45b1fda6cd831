package caller_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"

	"almondgrade/core/result"
	"almondgrade/io/caller"
)

const testTimeout = 20 * time.Second

// newVerifier returns a password's verifier in PostgreSQL's text form.
func newVerifier(t *testing.T, password string) string {
	t.Helper()

	client, err := scram.SHA256.NewClient("", password, "")
	require.NoError(t, err)

	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	require.NoError(t, err)

	encode := base64.StdEncoding.EncodeToString

	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", encode([]byte(stored.Salt)), encode(stored.StoredKey), encode(stored.ServerKey))
}

func testOptions(t *testing.T) caller.Options {
	t.Helper()

	users := map[string]string{"trusted": "", "app": newVerifier(t, "secret"), "broken": "md5123"}

	return caller.Options{
		StartupTimeout: testTimeout, StallTimeout: testTimeout, MessageLimit: 1 << 20,
		Verifier: func(user string) (string, bool) {
			text, known := users[user]

			return text, known
		},
		Admit: func(parameters map[string]string) error {
			if parameters["database"] == "none" {
				return result.New(result.PoolUnknown, "there is no pool none")
			}

			return nil
		},
	}
}

// serveLogins accepts connections and sends ReadyForQuery to those that are logged in. The channel receives each result
// of Accept.
func serveLogins(t *testing.T, options caller.Options) (string, <-chan *caller.Accepted) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	results := make(chan *caller.Accepted, 100)

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			go func() {
				accepted, err := caller.Accept(context.Background(), conn, options)
				if err != nil {
					return
				}

				if accepted.Conn != nil {
					_ = accepted.Conn.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
					_ = accepted.Conn.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
					_ = accepted.Conn.Flush()
				}

				results <- accepted
			}()
		}
	}()

	return listener.Addr().String(), results
}

func newCertificate(t *testing.T) tls.Certificate {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)

	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)

	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against a login that succeeds with a wrong password or fails with the right one.
func TestLogin(t *testing.T) {
	options := testOptions(t)
	options.TLS = &tls.Config{Certificates: []tls.Certificate{newCertificate(t)}, MinVersion: tls.VersionTLS12}
	encrypted, _ := serveLogins(t, options)
	options.TLS = nil
	plain, _ := serveLogins(t, options)

	tests := []struct {
		name  string
		url   string
		state string
	}{
		{"trust", "postgres://trusted@" + plain + "/app?sslmode=disable", ""},
		{"password", "postgres://app:secret@" + plain + "/app?sslmode=disable", ""},
		{"password over TLS", "postgres://app:secret@" + encrypted + "/app?sslmode=require", ""},
		{"TLS refused, plain accepted", "postgres://app:secret@" + plain + "/app?sslmode=prefer", ""},
		{"wrong password", "postgres://app:wrong@" + plain + "/app?sslmode=disable", "28P01"},
		{"unknown user", "postgres://nobody:secret@" + plain + "/app?sslmode=disable", "28P01"},
		{"broken verifier", "postgres://broken:secret@" + plain + "/app?sslmode=disable", "28P01"},
		{"unknown pool", "postgres://trusted@" + plain + "/none?sslmode=disable", "3D000"},
		{"newer protocol", "postgres://trusted@" + plain + "/app?sslmode=disable&max_protocol_version=3.2", ""},
		{"bad options", "postgres://trusted@" + plain + "/app?sslmode=disable&options=-x", "0A000"},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()

			conn, err := pgconn.Connect(ctx, test.url)
			if test.state == "" {
				require.NoError(t, err)
				require.NoError(t, conn.Close(ctx))

				return
			}

			var failure *pgconn.PgError

			require.ErrorAs(t, err, &failure)
			assert.Equal(t, test.state, failure.Code)
			assert.Regexp(t, "^AG12", failure.Message)
		})
	}
}

// Guards against malformed startup packets that get no answer or crash the server.
func TestStartupPackets(t *testing.T) {
	address, results := serveLogins(t, testOptions(t))
	packet := func(code uint32, body string) []byte {
		data := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))

		return append(binary.BigEndian.AppendUint32(data, code), body...)
	}
	version := func(major, minor uint32) uint32 { return major<<16 | minor }
	user := "user\x00trusted\x00\x00"

	tests := []struct {
		name string
		send []byte
		want string
	}{
		{"huge length", []byte("\x7f\xff\xff\xff\x00\x03\x00\x00"), "AG1201"},
		{"short length", []byte("\x00\x00\x00\x04\x00\x03\x00\x00"), "AG1201"},
		{"truncated", append([]byte{0, 0, 0, 50}, "\x00\x03\x00\x00user"...), "AG1201"},
		{"old version", packet(version(2, 0), user), "AG1201"},
		{"no end", packet(version(3, 0), "user\x00trusted\x00"), "AG1201"},
		{"no value", packet(version(3, 0), "user\x00"), "AG1201"},
		{"bytes behind the end", packet(version(3, 0), user+"x"), "AG1201"},
		{"no user", packet(version(3, 0), "\x00"), "AG1203"},
		{"many requests for encryption", bytes.Repeat(packet(80877103, ""), 5), "AG1201"},
		{"GSS refused", packet(80877104, ""), "N"},
		{"newer minor version", packet(version(3, 9), "_pq_.x\x00y\x00"+user), "v\x00\x00\x00\x13\x00\x00\x00\x02\x00\x00\x00\x01_pq_.x"},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)

			defer func() { _ = conn.Close() }()

			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = conn.Write(test.send)
			require.NoError(t, err)
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())

			got := make([]byte, 0, 1000)

			for !bytes.Contains(got, []byte(test.want)) {
				piece := make([]byte, 1000)

				n, err := conn.Read(piece)
				if got = append(got, piece[:n]...); err != nil {
					break
				}
			}

			assert.Contains(t, string(got), test.want)
		})
	}

	// Only the packet with a newer minor version was accepted. Its result comes after the answer that the test has read.
	require.NotNil(t, (<-results).Conn)

	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)

	defer func() { _ = conn.Close() }()

	_, err = conn.Write(packet(80877102, "\x00\x07\x00\x01abcd"))
	require.NoError(t, err)

	accepted := <-results
	require.NotNil(t, accepted.Cancel)
	assert.EqualValues(t, 0x70001, accepted.Cancel.Process)
	assert.Equal(t, []byte("abcd"), accepted.Cancel.Secret)
}

// Guards against a caller that keeps a connection open without logging in.
func TestStartupDeadline(t *testing.T) {
	options := testOptions(t)
	options.StartupTimeout = 50 * time.Millisecond
	address, _ := serveLogins(t, options)

	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)

	defer func() { _ = conn.Close() }()

	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a wait that Interrupt doesn't end, and against an interrupted wait that loses the beginning of a
// message.
func TestInterrupt(t *testing.T) {
	near, far := net.Pipe()
	conn := caller.NewConn(near, 100, testTimeout)
	waited := make(chan error, 1)

	go func() { waited <- conn.AwaitMessage(time.Time{}) }()

	_, err := far.Write([]byte("Q\x00\x00"))
	require.NoError(t, err)
	conn.Interrupt()
	require.ErrorIs(t, <-waited, caller.ErrInterrupted)
	require.ErrorIs(t, conn.AwaitMessage(time.Time{}), caller.ErrInterrupted)
	conn.Resume()
	require.ErrorIs(t, conn.AwaitMessage(time.Now().Add(-time.Second)), caller.ErrIdleTimeout)

	go func() { _, _ = far.Write([]byte("\x00\x06a\x00")) }()

	require.NoError(t, conn.AwaitMessage(time.Time{}))

	kind, size, err := conn.ReadHeader()
	require.NoError(t, err)
	assert.Equal(t, byte('Q'), kind)
	assert.Equal(t, 2, size)

	body, err := conn.ReadBody()
	require.NoError(t, err)
	assert.Equal(t, "a\x00", string(body))
}

// recordedConn is a connection with fixed input, which records the output.
type recordedConn struct {
	net.Conn
	in  *bytes.Reader
	out bytes.Buffer
}

func (s *recordedConn) Read(p []byte) (int, error)       { return s.in.Read(p) }
func (s *recordedConn) Write(p []byte) (int, error)      { return s.out.Write(p) }
func (s *recordedConn) Close() error                     { return nil }
func (s *recordedConn) SetDeadline(time.Time) error      { return nil }
func (s *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *recordedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against input that crashes the startup or the reading of messages, and against refusals without an error
// message.
func FuzzAccept(f *testing.F) {
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "trusted", "database": "app",
	}}).Encode(nil)
	require.NoError(f, err)

	for _, seed := range []string{
		"", "\x00", "\x00\x00\x00\x08\x04\xd2\x16\x2f", "\x00\x00\x00\x08\x04\xd2\x16\x30", "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01abcd",
		"\x7f\xff\xff\xff\x00\x03\x00\x00", "\x00\x00\x00\x09\x00\x03\x00\x00\x00", "\x00\x00\x00\x09\x00\x03\x00\x09\x00",
		string(startup), string(startup) + "Q\x00\x00\x00\x0dSELECT 1\x00", string(startup) + "Q\x7f\xff\xff\xff",
		string(startup) + "Q\xff\xff\xff\xff", string(startup) + "Q\x00\x00\x00\x03", string(startup) + "X\x00\x00\x00\x04", string(startup) + "d\x00\x00",
		"\x00\x00\x00\x1f\x00\x03\x00\x00user\x00app\x00options\x00-c a\\ \x00\x00",
	} {
		f.Add([]byte(seed))
	}

	options := caller.Options{
		StartupTimeout: time.Second, StallTimeout: time.Second, MessageLimit: 1000,
		Verifier: func(user string) (string, bool) { return "", user == "trusted" },
		Admit:    func(map[string]string) error { return nil },
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &recordedConn{in: bytes.NewReader(data)}

		accepted, err := caller.Accept(context.Background(), conn, options)
		if err != nil {
			if code := result.CodeOf(err); code != result.OK && conn.out.Len() == 0 && code != result.Protocol {
				t.Fatalf("refused without an error message: %v", err)
			}

			return
		}

		for accepted.Conn != nil {
			_, size, err := accepted.Conn.ReadHeader()
			if err != nil {
				_ = caller.ProtocolError(err)

				return
			}

			if size > 1000 {
				t.Fatalf("message of %d bytes passed the limit", size)
			}

			if _, err := accepted.Conn.ReadBody(); err != nil {
				return
			}
		}
	})
}
