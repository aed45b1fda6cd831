package platformapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"strings"

	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/io/control/controlpb"
)

const (
	// maxIdentityBytes bounds the identity of a server's data.
	maxIdentityBytes = 128
	// minConnections is one connection more than the reserve of two for monitor and administration.
	minConnections = 3
	maxConnections = 100_000
)

// announcement is the JSON form of controlpb.Server. Pointers tell a field that is missing from a zero.
type announcement struct {
	Name        *string `json:"name"`
	Group       *string `json:"group"`
	Address     *string `json:"address"`
	Identity    *string `json:"identity"`
	Incarnation *uint64 `json:"incarnation"`
	Sequence    *uint64 `json:"sequence"`
	Slots       *uint32 `json:"slots"`
	Connections *uint32 `json:"connections"`
	Centre      *string `json:"centre"`
	Leaving     bool    `json:"leaving"`
	Recovery    bool    `json:"recovery"`
}

// parse reads an announcement. The error carries result.Protocol and names everything that is wrong.
func parse(data []byte) (*controlpb.Announcement, error) {
	var read announcement

	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(&read); err != nil {
		return nil, result.New(result.Protocol, "the body is no announcement: %w", err)
	}

	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, result.New(result.Protocol, "the body goes on after the announcement")
	}

	if wrong := read.check(); len(wrong) > 0 {
		return nil, result.New(result.Protocol, "announcement: %s", strings.Join(wrong, "; "))
	}

	return &controlpb.Announcement{Server: &controlpb.Server{
		Name: *read.Name, Group: *read.Group, Address: *read.Address, Identity: *read.Identity,
		Incarnation: *read.Incarnation, Sequence: *read.Sequence, Slots: *read.Slots, Connections: *read.Connections,
		Centre: *read.Centre, Leaving: read.Leaving, Recovery: read.Recovery,
	}}, nil
}

// check returns what is wrong with the fields.
func (a *announcement) check() []string {
	var wrong []string

	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"name", a.Name == nil}, {"group", a.Group == nil}, {"address", a.Address == nil},
		{"identity", a.Identity == nil}, {"incarnation", a.Incarnation == nil}, {"sequence", a.Sequence == nil},
		{"slots", a.Slots == nil}, {"connections", a.Connections == nil}, {"centre", a.Centre == nil},
	} {
		if field.missing {
			wrong = append(wrong, field.name+" is missing")
		}
	}

	if len(wrong) > 0 {
		return wrong
	}

	for _, field := range []struct{ name, text string }{{"name", *a.Name}, {"group", *a.Group}, {"centre", *a.Centre}} {
		if !settings.ValidName(field.text) {
			wrong = append(wrong, field.name+": "+settings.NameRule)
		}
	}

	address, err := netip.ParseAddrPort(*a.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		wrong = append(wrong, "address: want an IP address with a port that proxies can connect to")
	}

	if *a.Identity == "" || len(*a.Identity) > maxIdentityBytes {
		wrong = append(wrong, "identity: want 1 to 128 bytes")
	}

	if *a.Connections < minConnections || *a.Connections > maxConnections {
		wrong = append(wrong, "connections: want 3 to 100000")
	}

	if *a.Slots == 0 || *a.Slots > *a.Connections {
		wrong = append(wrong, "slots: want 1 to the number of connections")
	}

	return wrong
}

// begin is the JSON form of controlpb.TermBegin.
type begin struct {
	Term uint64 `json:"term"`
	LSN  uint64 `json:"lsn"`
}

// reply is the JSON form of controlpb.AnnounceReply.
type reply struct {
	Code           uint32  `json:"code"`
	Reason         string  `json:"reason"`
	Term           uint64  `json:"term"`
	Primary        string  `json:"primary"`
	PrimaryAddress string  `json:"primary_address"`
	History        []begin `json:"history"`
}

func newReply(from *controlpb.AnnounceReply) reply {
	made := reply{
		Code: from.GetCode(), Reason: from.GetReason(), Term: from.GetTerm(), Primary: from.GetPrimary(),
		PrimaryAddress: from.GetPrimaryAddress(), History: make([]begin, 0, len(from.GetHistory())),
	}

	for _, one := range from.GetHistory() {
		made.History = append(made.History, begin{Term: one.GetTerm(), LSN: one.GetLsn()})
	}

	return made
}
