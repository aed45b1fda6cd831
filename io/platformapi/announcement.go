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
	// minConnections is one connection more than the two that are reserved for monitoring and administration.
	minConnections = 3
	maxConnections = 100_000
)

// announcement is the JSON form of controlpb.Server. Pointers distinguish a missing field from a zero.
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

// parseAnnouncement parses and checks an announcement. The error has the code result.Protocol and lists all faults of
// the fields.
func parseAnnouncement(data []byte) (*controlpb.Announcement, error) {
	var decoded announcement

	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(&decoded); err != nil {
		return nil, result.New(result.Protocol, "the body is not a valid announcement: %w", err)
	}

	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, result.New(result.Protocol, "the body has data after the announcement")
	}

	if wrong := decoded.faults(); len(wrong) > 0 {
		return nil, result.New(result.Protocol, "announcement: %s", strings.Join(wrong, "; "))
	}

	return &controlpb.Announcement{Server: &controlpb.Server{
		Name: *decoded.Name, Group: *decoded.Group, Address: *decoded.Address, Identity: *decoded.Identity,
		Incarnation: *decoded.Incarnation, Sequence: *decoded.Sequence, Slots: *decoded.Slots, Connections: *decoded.Connections,
		Centre: *decoded.Centre, Leaving: decoded.Leaving, Recovery: decoded.Recovery,
	}}, nil
}

// faults describes what is wrong with the fields.
func (a *announcement) faults() []string {
	var faults []string

	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"name", a.Name == nil}, {"group", a.Group == nil}, {"address", a.Address == nil},
		{"identity", a.Identity == nil}, {"incarnation", a.Incarnation == nil}, {"sequence", a.Sequence == nil},
		{"slots", a.Slots == nil}, {"connections", a.Connections == nil}, {"centre", a.Centre == nil},
	} {
		if field.missing {
			faults = append(faults, field.name+" is missing")
		}
	}

	if len(faults) > 0 {
		return faults
	}

	for _, field := range []struct{ name, text string }{{"name", *a.Name}, {"group", *a.Group}, {"centre", *a.Centre}} {
		if !settings.ValidName(field.text) {
			faults = append(faults, field.name+": "+settings.NameRule)
		}
	}

	address, err := netip.ParseAddrPort(*a.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		faults = append(faults, "address: want an IP address with a port that proxies can connect to")
	}

	if *a.Identity == "" || len(*a.Identity) > maxIdentityBytes {
		faults = append(faults, "identity: want 1 to 128 bytes")
	}

	if *a.Connections < minConnections || *a.Connections > maxConnections {
		faults = append(faults, "connections: want 3 to 100000")
	}

	if *a.Slots == 0 || *a.Slots > *a.Connections {
		faults = append(faults, "slots: want 1 to the number of connections")
	}

	return faults
}

// termBegin is the JSON form of controlpb.TermBegin.
type termBegin struct {
	Term uint64 `json:"term"`
	LSN  uint64 `json:"lsn"`
}

// announceReply is the JSON form of controlpb.AnnounceReply.
type announceReply struct {
	Code           uint32      `json:"code"`
	Reason         string      `json:"reason"`
	Term           uint64      `json:"term"`
	Primary        string      `json:"primary"`
	PrimaryAddress string      `json:"primary_address"`
	History        []termBegin `json:"history"`
}

func newAnnounceReply(from *controlpb.AnnounceReply) announceReply {
	reply := announceReply{
		Code: from.GetCode(), Reason: from.GetReason(), Term: from.GetTerm(), Primary: from.GetPrimary(),
		PrimaryAddress: from.GetPrimaryAddress(), History: make([]termBegin, 0, len(from.GetHistory())),
	}

	for _, begin := range from.GetHistory() {
		reply.History = append(reply.History, termBegin{Term: begin.GetTerm(), LSN: begin.GetLsn()})
	}

	return reply
}
