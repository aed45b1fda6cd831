package operator

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/core/timer"
	"almondgrade/internal/metrics"
	"almondgrade/internal/security"
	"almondgrade/internal/web"
	"almondgrade/io/control/controlpb"
)

const loopback = "127.0.0.1:0"

// fakeControl is a Control that gives fixed answers and records the requests.
type fakeControl struct {
	mutex    sync.Mutex
	change   *controlpb.ChangeReply
	status   *controlpb.StatusReply
	drain    *controlpb.DrainReply
	err      error
	requests []proto.Message
}

func (f *fakeControl) record(message proto.Message) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.requests = append(f.requests, message)

	return f.err
}

func (f *fakeControl) Apply(_ context.Context, change *controlpb.Change) (*controlpb.ChangeReply, error) {
	return f.change, f.record(change)
}

func (f *fakeControl) Status(context.Context) (*controlpb.StatusReply, error) {
	return f.status, f.record(&controlpb.StatusRequest{})
}

func (f *fakeControl) Drain(_ context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error) {
	return f.drain, f.record(request)
}

func (f *fakeControl) received() []proto.Message {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.requests
}

func startServer(t *testing.T, control Control, gate security.Gate) (*Server, *metrics.Metrics, *slog.LevelVar) {
	t.Helper()

	counts, level := metrics.New(), new(slog.LevelVar)

	server, err := New(Options{
		Web: web.Options{Address: netip.MustParseAddrPort(loopback), Gate: gate,
			Logger: slog.New(slog.DiscardHandler)},
		Control: control, Registry: counts.Registry, Level: level,
		Settings: func() (settings.Running, bool) { return settings.Defaults(), true },
	})
	require.NoError(t, err)

	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()

		require.NoError(t, server.Close(ctx))
	})

	return server, counts, level
}

func newTestClient(servers ...*Server) *Client {
	var target Target
	for _, server := range servers {
		target.Addresses = append(target.Addresses, server.Address())
	}

	return NewClient(target)
}

func sendRequest(t *testing.T, server *Server, method, path, body string) (int, string) {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+server.Address().String()+path,
		strings.NewReader(body))
	require.NoError(t, err)

	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)

	defer response.Body.Close()

	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)

	return response.StatusCode, string(data)
}

// Guards against a field of a message that is lost between client and server.
func TestMessagesArriveWhole(t *testing.T) {
	control := &fakeControl{
		change: &controlpb.ChangeReply{Number: 1 << 60, Author: "a", Difference: "~ x", Repeated: true},
		status: &controlpb.StatusReply{Version: 7, Configuration: 3, Settings: []byte(`{"when_unconfirmed":"refuse"}`),
			Groups: []*controlpb.Group{{Name: "g", Term: 2, History: []*controlpb.TermBegin{{Term: 2, Lsn: 1 << 62}}}},
			Leader: "c1"},
		drain: &controlpb.DrainReply{},
	}
	server, _, _ := startServer(t, control, security.Gate{})
	operator := newTestClient(server)

	change := &controlpb.Change{Id: "id", Base: 1 << 59, Author: "me", Settings: []byte(`{"users":{}}`), Dry: true}
	reply, err := operator.Apply(t.Context(), change)
	require.NoError(t, err)
	require.True(t, proto.Equal(control.change, reply), "%v", reply)

	status, err := operator.Status(t.Context())
	require.NoError(t, err)
	require.True(t, proto.Equal(control.status, status), "%v", status)

	drain := &controlpb.DrainRequest{Server: "db1", Undo: true}
	_, err = operator.Drain(t.Context(), drain)
	require.NoError(t, err)

	seen := control.received()
	require.Len(t, seen, 3)
	require.True(t, proto.Equal(change, seen[0]), "%v", seen[0])
	require.True(t, proto.Equal(drain, seen[2]), "%v", seen[2])

	running, err := operator.Settings(t.Context())
	require.NoError(t, err)
	require.Equal(t, settings.Defaults().Timing, running.Timing)
}

// Guards against a refusal that the client returns as success or without its code or difference.
func TestRefusalsKeepTheirCode(t *testing.T) {
	control := &fakeControl{change: &controlpb.ChangeReply{Code: uint32(result.NumberNotCurrent), Reason: "based on 4",
		Number: 5, Author: "other", Difference: "~ timing"}}
	server, _, _ := startServer(t, control, security.Gate{})
	operator := newTestClient(server)
	change := &controlpb.Change{Id: "id", Author: "me", Settings: []byte(`{}`)}

	reply, err := operator.Apply(t.Context(), change)
	require.EqualError(t, err, "AG1501: based on 4")
	require.Equal(t, "~ timing", reply.GetDifference())
	require.EqualValues(t, 5, reply.GetNumber())

	control.err = result.New(result.NotFound, "no server db9")
	_, err = operator.Drain(t.Context(), &controlpb.DrainRequest{Server: "db9"})
	require.EqualError(t, err, "AG1508: no server db9")

	control.err = errors.New("broken")
	_, err = operator.Status(t.Context())
	require.ErrorIs(t, err, ErrNoAnswer, "an error without a code leaves the outcome unknown")
	require.ErrorContains(t, err, "broken")
}

// Guards against a client that gives up at a process which can't answer, and one that reports "not run" although
// another process may have run the change.
func TestClientAsksOthers(t *testing.T) {
	good := &fakeControl{change: &controlpb.ChangeReply{Number: 2}}
	follower := &fakeControl{err: result.New(result.NotLeader, "ask c2")}
	isolated := &fakeControl{err: result.New(result.NoQuorum, "no quorum")}

	leader, _, _ := startServer(t, good, security.Gate{})
	second, _, _ := startServer(t, follower, security.Gate{})
	third, _, _ := startServer(t, isolated, security.Gate{})
	gone, _, _ := startServer(t, good, security.Gate{})
	require.NoError(t, gone.Close(t.Context()))

	change := &controlpb.Change{Id: "id", Author: "me", Settings: []byte(`{}`)}

	reply, err := newTestClient(gone, second, third, leader).Apply(t.Context(), change)
	require.NoError(t, err)
	require.EqualValues(t, 2, reply.GetNumber())

	_, err = newTestClient(second).Apply(t.Context(), change)
	require.Equal(t, result.NotLeader, result.CodeOf(err))

	_, err = newTestClient(third, second).Apply(t.Context(), change)
	require.Equal(t, result.NoQuorum, result.CodeOf(err))

	_, err = newTestClient(second, gone).Apply(t.Context(), change)
	require.ErrorIs(t, err, ErrNoAnswer)
}

// Guards against invalid or oversized requests that reach control.
func TestBadRequestsDontReachControl(t *testing.T) {
	control := &fakeControl{}
	server, _, _ := startServer(t, control, security.Gate{})

	cases := []struct {
		name, method, path, body string
		status                   int
		text                     string
	}{
		{"not JSON", "POST", "/v1/apply", "{", 400, `"code":1201`},
		{"list", "POST", "/v1/apply", "[]", 400, `"name":"protocol"`},
		{"unknown field", "POST", "/v1/apply", `{"id":"a","author":"b","bse":1,"settings":{}}`, 400, "bse"},
		{"no id", "POST", "/v1/apply", `{"author":"b","settings":{}}`, 400, "id has 0 bytes"},
		{"long author", "POST", "/v1/apply", `{"id":"a","author":"` + strings.Repeat("x", 129) + `"}`, 400, "129 bytes"},
		{"no settings", "POST", "/v1/apply", `{"id":"a","author":"b"}`, 422, `"code":1503`},
		{"faults", "POST", "/v1/apply", `{"id":"a","author":"b","settings":{"timing":{"lease":"9s"}}}`, 422, "timing.lease"},
		{"too long", "POST", "/v1/drain", strings.Repeat(" ", maxSmallBytes+1), 413, `"code":1205`},
		{"no target", "POST", "/v1/drain", `{}`, 400, "either server or proxy"},
		{"two targets", "POST", "/v1/drain", `{"server":"a","proxy":"b"}`, 400, "either server or proxy"},
		{"level", "PUT", "/v1/level", `{"level":"loud"}`, 400, "debug, info, warn, error"},
		{"path", "GET", "/v2/status", "", 404, `"code":1508`},
		{"method", "GET", "/v1/apply", "", 404, "GET /v1/apply does not exist"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status, body := sendRequest(t, server, test.method, test.path, test.body)
			require.Equal(t, test.status, status, body)
			require.Contains(t, body, test.text)
		})
	}

	require.Empty(t, control.received())
}

// Guards against a listener that serves requests without the token.
func TestTokenIsNeeded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("0123456789abcdef"), 0o600))

	token, err := security.NewToken(file, timer.NewManual(time.Unix(0, 0)), slog.New(slog.DiscardHandler))
	require.NoError(t, err)

	control := &fakeControl{status: &controlpb.StatusReply{Leader: "c1"}}
	server, _, _ := startServer(t, control, security.Gate{Token: token})

	for _, path := range []string{"/metrics", "/v1/status", "/v1/settings", "/v1/level", "/nothing"} {
		status, body := sendRequest(t, server, "GET", path, "")
		require.Equal(t, http.StatusUnauthorized, status, path)
		require.Contains(t, body, `"code":1203`)
	}

	for _, path := range []string{"/v1/apply", "/v1/drain"} {
		status, _ := sendRequest(t, server, "POST", path, "{}")
		require.Equal(t, http.StatusUnauthorized, status, path)
	}

	require.Empty(t, control.received())

	addresses := []netip.AddrPort{server.Address()}
	_, err = NewClient(Target{Addresses: addresses, Token: "0123456789abcdeX"}).Status(t.Context())
	require.Equal(t, result.Authentication, result.CodeOf(err))

	status, err := NewClient(Target{Addresses: addresses, Token: "0123456789abcdef"}).Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, "c1", status.GetLeader())
}

// selfSigned writes a self-signed certificate for 127.0.0.1 and its key to files.
func selfSigned(t *testing.T) settings.TLS {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)

	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)

	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)

	dir := t.TempDir()
	files := settings.TLS{Authority: filepath.Join(dir, "c"), Certificate: filepath.Join(dir, "c"),
		Key: filepath.Join(dir, "k")}
	require.NoError(t, os.WriteFile(files.Certificate,
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))

	return files
}

// Guards against a listener with mutual TLS that serves clients without a certificate from the authority.
func TestCertificateIsNeeded(t *testing.T) {
	clock, quiet := timer.NewManual(time.Unix(0, 0)), slog.New(slog.DiscardHandler)
	files := selfSigned(t)

	keys, err := security.NewKeys(files, clock, quiet)
	require.NoError(t, err)

	stranger, err := security.NewKeys(selfSigned(t), clock, quiet)
	require.NoError(t, err)

	control := &fakeControl{status: &controlpb.StatusReply{Leader: "c1"}}
	server, err := New(Options{Web: web.Options{Address: netip.MustParseAddrPort(loopback), Logger: quiet,
		TLS: keys.Server(security.Optional), Gate: security.Gate{Certificates: true}}, Control: control})
	require.NoError(t, err)

	defer func() { require.NoError(t, server.Close(t.Context())) }()

	ask := func(configure func(host string) *tls.Config) error {
		_, err := NewClient(Target{Addresses: []netip.AddrPort{server.Address()}, TLS: configure}).Status(t.Context())

		return err
	}

	require.NoError(t, ask(keys.Client))
	require.Len(t, control.received(), 1)

	require.ErrorIs(t, ask(stranger.Client), ErrNoAnswer)
	require.Error(t, ask(nil), "plain HTTP")

	anonymous := func(host string) *tls.Config {
		config := keys.Client(host)
		config.GetClientCertificate = nil

		return config
	}
	require.Equal(t, result.Authentication, result.CodeOf(ask(anonymous)))

	// This client trusts the server but presents a certificate from another authority.
	forged := func(host string) *tls.Config {
		config := keys.Client(host)
		config.GetClientCertificate = stranger.Client(host).GetClientCertificate

		return config
	}
	require.Error(t, ask(forged))
	require.Len(t, control.received(), 1, "only the first request reached control")
}

// Guards against a listener without authentication on an address other than loopback.
func TestOpenListenerIsRefused(t *testing.T) {
	_, err := New(Options{Web: web.Options{Address: netip.MustParseAddrPort("0.0.0.0:0"),
		Logger: slog.New(slog.DiscardHandler)}})
	require.ErrorContains(t, err, "off loopback")
}

// Guards against a counter that is missing from the metrics.
func TestMetricsAsTextAndJSON(t *testing.T) {
	server, counts, _ := startServer(t, &fakeControl{}, security.Gate{})
	counts.Count(result.QueueFull)

	status, body := sendRequest(t, server, "GET", "/metrics", "")
	require.Equal(t, http.StatusOK, status)

	for _, row := range result.Table() {
		want := row.Name + " 0\n"
		if row.Code == result.QueueFull {
			want = row.Name + " 1\n"
		}

		require.Contains(t, body, want)
	}

	_, body = sendRequest(t, server, "GET", "/metrics?format=json", "")
	require.Contains(t, body, `"queue_full":{"count":1}`)
}

// Guards against a change of the log level that is acknowledged but not made.
func TestLevel(t *testing.T) {
	server, _, level := startServer(t, &fakeControl{}, security.Gate{})

	require.NoError(t, newTestClient(server).SetLevel(t.Context(), "debug"))
	require.Equal(t, slog.LevelDebug, level.Level())

	_, body := sendRequest(t, server, "GET", "/v1/level", "")
	require.Equal(t, "{\"level\":\"debug\"}\n", body)
}

// Guards against a JSON encoding that alters a configuration in a round trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","base":"7","author":"b","settings":{"users":{}},"dry":true}`))
	f.Add([]byte(`{"settings":null}`))
	f.Add([]byte(`{"settings":{"<":"&"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first := &controlpb.Change{}
		if decode(data, first, true) != nil {
			return
		}

		encoded, err := Encode(first)
		require.NoError(t, err)

		second := &controlpb.Change{}
		require.NoError(t, decode(encoded, second, true))

		var compact bytes.Buffer
		if len(first.GetSettings()) > 0 {
			require.NoError(t, json.Compact(&compact, first.GetSettings()))
		}

		first.Settings = compact.Bytes()
		second.Settings = append([]byte(nil), second.GetSettings()...)
		require.Equal(t, string(first.Settings), string(second.Settings))
	})
}
