package topology_test

import (
	"math"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"almondgrade/core/result"
	"almondgrade/core/topology"
)

// Guards against announcements that no server makes: names that end a line of a protocol, numbers that hide every later
// announcement, and addresses that stand for no server.
func TestValidateAnnouncement(t *testing.T) {
	t.Parallel()

	address := netip.MustParseAddrPort

	for _, test := range []struct {
		name   string
		change func(s *topology.Server)
		valid  bool
	}{
		{"plain", func(*topology.Server) {}, true},
		{"no data centre", func(s *topology.Server) { s.Centre = "" }, true},
		{"other script", func(s *topology.Server) { s.Group = "nemandaskrá" }, true},
		{"sequence from a clock", func(s *topology.Server) { s.Sequence = 1_796_466_841_372_917_260 }, true},
		{"IPv6", func(s *topology.Server) { s.Address = address("[fd00::1]:80") }, true},
		{"longest name", func(s *topology.Server) { s.ID = strings.Repeat("i", 128) }, true},
		{"too long name", func(s *topology.Server) { s.ID = strings.Repeat("i", 129) }, false},
		{"no name", func(s *topology.Server) { s.ID = "" }, false},
		{"no group", func(s *topology.Server) { s.Group = "" }, false},
		{"line break", func(s *topology.Server) { s.Group = "g\r\nQUERY" }, false},
		{"blank", func(s *topology.Server) { s.Centre = "a b" }, false},
		{"control character", func(s *topology.Server) { s.ID = "i\x00" }, false},
		{"not UTF-8", func(s *topology.Server) { s.ID = "i\xff" }, false},
		{"no address", func(s *topology.Server) { s.Address = netip.AddrPort{} }, false},
		{"port zero", func(s *topology.Server) { s.Address = address("10.0.0.1:0") }, false},
		{"unspecified", func(s *topology.Server) { s.Address = address("[::]:80") }, false},
		{"multicast", func(s *topology.Server) { s.Address = address("224.0.0.1:80") }, false},
		{"zone", func(s *topology.Server) { s.Address = address("[fe80::1%x y]:80") }, false},
		{"slots not announced", func(s *topology.Server) { s.Slots = 0 }, true},
		{"negative slots", func(s *topology.Server) { s.Slots = -1 }, false},
		{"too many slots", func(s *topology.Server) { s.Slots = math.MaxInt }, false},
		{"last sequence", func(s *topology.Server) { s.Sequence = math.MaxUint64 }, false},
		{"negative start", func(s *topology.Server) { s.StartedAtMillis = -1 }, false},
		{"last start", func(s *topology.Server) { s.StartedAtMillis = math.MaxInt64 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()

			server := topology.Server{
				ID: "i-1", Group: "g", Address: address("10.0.0.1:80"), Centre: "a", Slots: 2, Sequence: 4, StartedAtMillis: 1_700_000_000_123,
			}
			test.change(&server)

			err := server.Validate()
			if test.valid {
				assert.NoError(t, err)

				return
			}

			assert.Equal(t, result.Protocol, result.CodeOf(err))
		})
	}
}
