package topology

import (
	"fmt"
	"math"
	"strings"
	"unicode"
	"unicode/utf8"

	"almondgrade/core/result"
)

const (
	// maxNameBytes bounds the names in an announcement, which every process keeps.
	maxNameBytes = 128
	// maxSlots bounds the announced slots. It is the greatest number of connections that a server may announce.
	maxSlots = 100_000
	// maxSequence leaves room for servers that number their announcements by the time in nanoseconds.
	maxSequence = math.MaxInt64
	// maxStartMillis is the last millisecond of the year 9999 as Unix time.
	maxStartMillis = 253_402_300_799_999
)

// Validate returns an error with the code result.Protocol for an announcement that can't be a server's. Anybody may send
// one, so that a name must not end a line of a protocol, and no number may hide every later announcement.
func (s Server) Validate() error {
	switch {
	case !ValidServerName(s.ID):
		return result.New(result.Protocol, "server ID %.40q: want 1 to %d bytes without blanks", s.ID, maxNameBytes)
	case !ValidServerName(s.Group):
		return result.New(result.Protocol, "group %.40q: want 1 to %d bytes without blanks", s.Group, maxNameBytes)
	case s.Centre != "" && !ValidServerName(s.Centre):
		return result.New(result.Protocol, "data centre %.40q: want at most %d bytes without blanks", s.Centre, maxNameBytes)
	case !s.Address.IsValid() || s.Address.Port() == 0 || s.Address.Addr().IsUnspecified() || s.Address.Addr().IsMulticast() ||
		s.Address.Addr().Zone() != "":
		return result.New(result.Protocol, "address %s: want the IP address and port of one server", s.Address)
	case s.Slots < 0 || s.Slots > maxSlots:
		return result.New(result.Protocol, "slots %d: want 0 to %d", s.Slots, maxSlots)
	case s.Sequence > maxSequence:
		return result.New(result.Protocol, "sequence %d: want at most %d", s.Sequence, uint64(maxSequence))
	case s.StartedAtMillis < 0 || s.StartedAtMillis > maxStartMillis:
		return result.New(result.Protocol, "start time %d ms: want a Unix time up to the year 9999", s.StartedAtMillis)
	}

	return nil
}

// ValidServerName reports whether a text may be the ID, group or data centre of a server: it is one word of a line.
func ValidServerName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) })
}

// EscapeName returns a name as one word of printable ASCII characters. Operators may use any name for customers, so that blanks,
// control characters and bytes that are not ASCII are escaped, and the escape character, which keeps different names different.
func EscapeName(name string) string {
	var escaped strings.Builder

	for _, char := range []byte(name) {
		if char <= ' ' || char > '~' || char == '%' {
			fmt.Fprintf(&escaped, "%%%02X", char)
		} else {
			escaped.WriteByte(char)
		}
	}

	return escaped.String()
}
