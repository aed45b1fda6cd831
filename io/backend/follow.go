package backend

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"almondgrade/core/position"
)

// Follow is what a server's primary_conninfo setting says about its term and primary.
type Follow struct {
	Term   position.Term
	Name   string
	Fenced bool
	// Primary is the address of the primary; it is invalid on a primary and on a fenced server.
	Primary netip.AddrPort
}

const (
	followPrefix = "ag"
	fencedPrefix = "agfenced"
	// applicationFields is the number of fields of an application_name of a server: prefix, term, name.
	applicationFields = 3
)

// Application returns the application_name that carries the term, such as "ag_3_db1a".
func (f Follow) Application() string {
	prefix := followPrefix
	if f.Fenced {
		prefix = fencedPrefix
	}

	return prefix + "_" + strconv.FormatUint(uint64(f.Term), 10) + "_" + f.Name
}

// Conninfo returns the value of primary_conninfo. The password is empty for a server without a primary.
func (f Follow) Conninfo(user, password string) string {
	parts := []string{"application_name=" + f.Application()}

	if f.Primary.IsValid() && !f.Fenced {
		parts = append(parts, "host="+f.Primary.Addr().String(),
			"port="+strconv.Itoa(int(f.Primary.Port())), "user="+quote(user))
		if password != "" {
			parts = append(parts, "password="+quote(password))
		}
	}

	return strings.Join(parts, " ")
}

// ParseApplication reads the text that Follow.Application writes.
func ParseApplication(text string) (Follow, error) {
	fields := strings.SplitN(text, "_", applicationFields)
	if len(fields) != applicationFields || fields[0] != followPrefix && fields[0] != fencedPrefix {
		return Follow{}, fmt.Errorf("application_name %q is not ag_TERM_NAME", text)
	}

	term, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return Follow{}, fmt.Errorf("application_name %q: %w", text, err)
	}

	return Follow{Term: position.Term(term), Name: fields[2], Fenced: fields[0] == fencedPrefix}, nil
}

// ParseConninfo reads a primary_conninfo setting. A setting without our application_name is the zero Follow.
func ParseConninfo(text string) Follow {
	var (
		follow Follow
		host   string
		port   uint64
	)

	for field := range strings.FieldsSeq(text) {
		key, value, _ := strings.Cut(field, "=")
		value = strings.Trim(value, "'")

		switch key {
		case "application_name":
			if parsed, err := ParseApplication(value); err == nil {
				follow = parsed
			}
		case "host":
			host = value
		case "port":
			port, _ = strconv.ParseUint(value, 10, 16)
		}
	}

	if address, err := netip.ParseAddr(host); err == nil && !follow.Fenced {
		follow.Primary = netip.AddrPortFrom(address, uint16(port))
	}

	return follow
}

// quote writes a value of a connection string.
func quote(value string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(value) + "'"
}
