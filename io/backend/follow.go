package backend

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"almondgrade/core/position"
)

// Attachment is the part of a server's primary_conninfo setting that holds its term, name and primary.
type Attachment struct {
	Term   position.Term
	Name   string
	Fenced bool
	// Primary is the address of the primary. It is invalid on a primary and on a fenced server.
	Primary netip.AddrPort
}

const (
	attachedPrefix = "ag"
	fencedPrefix   = "agfenced"
	// applicationNameFields is the number of fields in the application_name of a server: prefix, term and name.
	applicationNameFields = 3
)

// ApplicationName returns the application_name that holds the term, such as "ag_3_db1a".
func (f Attachment) ApplicationName() string {
	prefix := attachedPrefix
	if f.Fenced {
		prefix = fencedPrefix
	}

	return prefix + "_" + strconv.FormatUint(uint64(f.Term), 10) + "_" + f.Name
}

// Conninfo returns the value of primary_conninfo. It includes user and password only for a server with a primary.
func (f Attachment) Conninfo(user, password string) string {
	parts := []string{"application_name=" + f.ApplicationName()}

	if f.Primary.IsValid() && !f.Fenced {
		parts = append(parts, "host="+f.Primary.Addr().String(),
			"port="+strconv.Itoa(int(f.Primary.Port())), "user="+quoteConninfoValue(user))
		if password != "" {
			parts = append(parts, "password="+quoteConninfoValue(password))
		}
	}

	return strings.Join(parts, " ")
}

// ParseApplicationName parses a result of Attachment.ApplicationName.
func ParseApplicationName(text string) (Attachment, error) {
	fields := strings.SplitN(text, "_", applicationNameFields)
	if len(fields) != applicationNameFields || fields[0] != attachedPrefix && fields[0] != fencedPrefix {
		return Attachment{}, fmt.Errorf("application_name %q is not ag_TERM_NAME", text)
	}

	term, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return Attachment{}, fmt.Errorf("application_name %q: %w", text, err)
	}

	return Attachment{Term: position.Term(term), Name: fields[2], Fenced: fields[0] == fencedPrefix}, nil
}

// ParseConninfo parses a primary_conninfo setting. For a setting without an application_name of this system it returns
// the zero Attachment.
func ParseConninfo(text string) Attachment {
	var (
		follow Attachment
		host   string
		port   uint64
	)

	for rest := text; ; {
		key, value, behind, found := cutConninfoField(rest)
		if !found {
			if strings.TrimLeft(behind, conninfoSpace) != "" {
				return Attachment{} // The server refuses such a setting as well.
			}

			break
		}

		rest = behind

		switch key {
		case "application_name":
			if parsed, err := ParseApplicationName(value); err == nil {
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

// conninfoSpace is the white space of a connection string.
const conninfoSpace = " \t\n\v\f\r"

// cutConninfoField returns the first key and value of a connection string and what is behind them. A value is in quotes or ends at
// white space, and a backslash in it stands for the character after it. If there is no field, behind is the text.
func cutConninfoField(text string) (key, value, behind string, found bool) {
	key, behind, found = strings.Cut(text, "=")
	key, behind = strings.Trim(key, conninfoSpace), strings.TrimLeft(behind, conninfoSpace)

	if !found || key == "" || strings.ContainsAny(key, conninfoSpace) {
		return "", "", text, false
	}

	ends := conninfoSpace

	quoted := strings.HasPrefix(behind, "'")
	if quoted {
		behind, ends = behind[1:], "'"
	}

	var unescaped strings.Builder

	for i := 0; i < len(behind); i++ {
		switch {
		case strings.IndexByte(ends, behind[i]) >= 0:
			return key, unescaped.String(), behind[i+1:], true
		case behind[i] == '\\' && i+1 < len(behind):
			i++
		}

		unescaped.WriteByte(behind[i])
	}

	if quoted {
		return "", "", text, false
	}

	return key, unescaped.String(), "", true
}

// quoteConninfoValue quotes a value of a connection string.
func quoteConninfoValue(value string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(value) + "'"
}
