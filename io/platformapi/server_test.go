package platformapi

import (
	"context"
	"errors"
	"io"
	"log/slog"
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
	"almondgrade/core/timer"
	"almondgrade/internal/security"
	"almondgrade/internal/web"
	"almondgrade/io/control/controlpb"
)

const validAnnouncement = `{"name": "db1a", "group": "students1", "address": "10.10.1.31:5432", "identity": "7288126",
	"incarnation": 4, "sequence": 17, "slots": 5, "connections": 35, "centre": "plateau", "recovery": true}`

// fakeAnnouncer is an Announcer with a fixed reply. Its method checkResult serves as the checks of Options.
type fakeAnnouncer struct {
	mutex         sync.Mutex
	announcements []*controlpb.Announcement
	reply         *controlpb.AnnounceReply
	err           error
}

func (f *fakeAnnouncer) Announce(_ context.Context, announcement *controlpb.Announcement) (*controlpb.AnnounceReply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	f.announcements = append(f.announcements, announcement)

	return f.reply, f.err
}

func (f *fakeAnnouncer) checkResult() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.err
}

func startServer(t *testing.T, announcer *fakeAnnouncer, gate security.Gate) *Server {
	t.Helper()

	server, err := New(Options{
		Web: web.Options{Address: netip.MustParseAddrPort("127.0.0.1:0"), Gate: gate,
			Logger: slog.New(slog.DiscardHandler)},
		Announcer: announcer, Health: announcer.checkResult, Ready: announcer.checkResult,
	})
	require.NoError(t, err)

	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()

		require.NoError(t, server.Close(ctx))
	})

	return server
}

func sendRequest(t *testing.T, server *Server, method, path, body, token string) (int, string) {
	t.Helper()

	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+server.Address().String()+path,
		strings.NewReader(body))
	require.NoError(t, err)

	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}

	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)

	defer response.Body.Close()

	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)

	return response.StatusCode, string(data)
}

// Guards against a field that is lost between the backend server and control, in either direction.
func TestAnnouncementArrivesWhole(t *testing.T) {
	announcer := &fakeAnnouncer{reply: &controlpb.AnnounceReply{Term: 3, Primary: "db1b", PrimaryAddress: "10.10.2.31:5432",
		History: []*controlpb.TermBegin{{Term: 1}, {Term: 3, Lsn: 26741232}}}}
	server := startServer(t, announcer, security.Gate{})

	status, body := sendRequest(t, server, "POST", "/v1/announce", validAnnouncement, "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, `{"code":0,"reason":"","term":3,"primary":"db1b","primary_address":"10.10.2.31:5432",`+
		`"history":[{"term":1,"lsn":0},{"term":3,"lsn":26741232}]}`+"\n", body)

	want := &controlpb.Announcement{Server: &controlpb.Server{Name: "db1a", Group: "students1",
		Address: "10.10.1.31:5432", Identity: "7288126", Incarnation: 4, Sequence: 17, Slots: 5, Connections: 35,
		Centre: "plateau", Recovery: true}}

	require.Len(t, announcer.announcements, 1)
	require.True(t, proto.Equal(want, announcer.announcements[0]), "%v", announcer.announcements[0])
}

// Guards against a refusal of control that is answered with a status of success.
func TestRefusalsOfControl(t *testing.T) {
	announcer := &fakeAnnouncer{reply: &controlpb.AnnounceReply{Code: uint32(result.NameClaimed), Reason: "held by 10.0.0.9:1",
		Term: 3}}
	server := startServer(t, announcer, security.Gate{})

	status, body := sendRequest(t, server, "POST", "/v1/announce", validAnnouncement, "")
	require.Equal(t, http.StatusConflict, status)
	require.Contains(t, body, `{"code":1505,"reason":"held by 10.0.0.9:1","term":3,`)

	announcer.err = result.New(result.NoQuorum, "no quorum")
	status, body = sendRequest(t, server, "POST", "/v1/announce", validAnnouncement, "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"code":1502`)

	announcer.err = errors.New("broken")
	status, _ = sendRequest(t, server, "POST", "/v1/announce", validAnnouncement, "")
	require.Equal(t, http.StatusInternalServerError, status)
}

// Guards against invalid announcements that would put wrong limits or addresses into the replicated state.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	announcer := &fakeAnnouncer{reply: &controlpb.AnnounceReply{}}
	server := startServer(t, announcer, security.Gate{})

	cases := []struct {
		name, old, changed, text string
	}{
		{"missing fields", `"slots": 5, "connections": 35, `, ``, "slots is missing; connections is missing"},
		{"null", `"slots": 5`, `"slots": null`, "slots is missing"},
		{"unknown field", `"slots"`, `"lots"`, "lots"},
		{"negative", `"sequence": 17`, `"sequence": -1`, "sequence"},
		{"fraction", `"slots": 5`, `"slots": 1.5`, "slots"},
		{"text for number", `"slots": 5`, `"slots": "5"`, "slots"},
		{"name with underscore first", `"db1a"`, `"_db1a"`, "name: want"},
		{"name with a quote", `"db1a"`, `"db'1a"`, "name: want"},
		{"empty group", `"students1"`, `""`, "group: want"},
		{"long centre", `"plateau"`, `"` + strings.Repeat("x", 33) + `"`, "centre: want"},
		{"host name", `10.10.1.31:5432`, `localhost:5432`, "address: want"},
		{"port zero", `:5432`, `:0`, "address: want"},
		{"port out of range", `:5432`, `:65536`, "address: want"},
		{"number too large", `"sequence": 17`, `"sequence": 18446744073709551616`, "sequence"},
		{"number beyond floating point", `"slots": 5`, `"slots": 1e400`, "slots"},
		{"deep nesting", `"slots": 5`, `"slots": ` + strings.Repeat("[", 7000) + strings.Repeat("]", 7000), "slots"},
		{"wildcard", `10.10.1.31`, `0.0.0.0`, "address: want"},
		{"empty identity", `"7288126"`, `""`, "identity: want"},
		{"no slots", `"slots": 5`, `"slots": 0`, "slots: want"},
		{"more slots than connections", `"slots": 5`, `"slots": 36`, "slots: want"},
		{"only the reserve", `"connections": 35`, `"connections": 2`, "connections: want"},
		{"two documents", `true}`, `true} {}`, "data after the announcement"},
		{"not JSON", `{`, ``, "not a valid announcement"},
		{"too long", `{`, strings.Repeat(" ", maxBodyBytes) + `{`, "longer than"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			changed := strings.Replace(validAnnouncement, test.old, test.changed, 1)
			require.NotEqual(t, validAnnouncement, changed)

			status, body := sendRequest(t, server, "POST", "/v1/announce", changed, "")
			require.GreaterOrEqual(t, status, 400)
			require.Less(t, status, 500)
			require.Contains(t, body, test.text)
		})
	}

	require.Empty(t, announcer.announcements)
}

// Guards against a load balancer that sends callers to a proxy which refuses them, and against checks that need the
// token.
func TestChecks(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("0123456789abcdef"), 0o600))

	token, err := security.NewToken(file, timer.NewManual(time.Unix(0, 0)), slog.New(slog.DiscardHandler))
	require.NoError(t, err)

	announcer := &fakeAnnouncer{reply: &controlpb.AnnounceReply{}}
	server := startServer(t, announcer, security.Gate{Token: token})

	for _, path := range []string{"/health", "/ready"} {
		announcer.err = nil
		status, _ := sendRequest(t, server, "GET", path, "", "")
		require.Equal(t, http.StatusOK, status)

		for _, reason := range []error{result.New(result.Authentication, "why"), errors.New("why")} {
			announcer.err = reason
			status, body := sendRequest(t, server, "GET", path, "", "")
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Contains(t, body, "why")
		}
	}

	announcer.err = nil
	status, _ := sendRequest(t, server, "POST", "/v1/announce", validAnnouncement, "")
	require.Equal(t, http.StatusUnauthorized, status)
	require.Empty(t, announcer.announcements)

	status, _ = sendRequest(t, server, "POST", "/v1/announce", validAnnouncement, "0123456789abcdef")
	require.Equal(t, http.StatusOK, status)
	require.Len(t, announcer.announcements, 1)
}

// Guards against input that crashes the process, and against invalid announcements that are forwarded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validAnnouncement))
	f.Add([]byte(`{"name": null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := parseAnnouncement(data)
		if err != nil {
			require.Equal(t, result.Protocol, result.CodeOf(err))

			return
		}

		require.NotEmpty(t, read.GetServer().GetName())
		require.LessOrEqual(t, read.GetServer().GetSlots(), read.GetServer().GetConnections())
	})
}
