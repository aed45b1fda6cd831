package caller

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondgrade/core/result"
	"almondgrade/io/wire"
)

const (
	// maxStartupBytes bounds a startup packet, as in PostgreSQL.
	maxStartupBytes = 10_000
	// startupHeaderBytes is the size of the length and code of a startup packet.
	startupHeaderBytes = 8
	// maxStartupPackets bounds the requests for encryption together with the startup message that follows them.
	maxStartupPackets = 3

	codeSSL        = 80877103
	codeCancel     = 80877102
	codeGSS        = 80877104
	majorShift     = 16
	minorMask      = 1<<majorShift - 1
	supportedMajor = 3
	// newestMinor is the newest supported minor version of the protocol.
	newestMinor = 2
	// longSecretMinor is the first minor version with cancel keys longer than four bytes.
	longSecretMinor = 2
	optionPrefix    = "_pq_."
)

// Options configures Accept.
type Options struct {
	// TLS enables encryption if it is not nil.
	TLS *tls.Config
	// StartupTimeout bounds the time from the accepted connection to the end of login.
	StartupTimeout time.Duration
	// StallTimeout bounds the time for which a caller may read nothing of an answer that is being sent.
	StallTimeout time.Duration
	// MessageLimit bounds one message, in bytes.
	MessageLimit int
	// Verifier returns the SCRAM-SHA-256 verifier of a user, which is empty for a trusted user, or false for an unknown
	// user.
	Verifier func(user string) (string, bool)
	// Admit is called with the startup parameters before login. If it returns an error, the caller is refused with it.
	Admit func(parameters map[string]string) error
}

// CancelRequest is a request to cancel the statement of the connection that the key identifies.
type CancelRequest struct {
	Process uint32
	Secret  []byte
}

// Accepted is the result of Accept: either a connection that is logged in, or a cancel request.
type Accepted struct {
	Conn       *Conn
	Cancel     *CancelRequest
	Parameters map[string]string
	// AllowsLongSecret is true if the caller's protocol version allows cancel keys longer than four bytes.
	AllowsLongSecret bool
}

// Accept performs the startup and login of a new connection. If it fails, it sends the error to the caller if possible
// and closes the connection; it also closes the connection after a cancel request. If the caller closed the connection
// without sending anything, the error wraps io.EOF. When the context ends before the login, the caller is refused with its
// cause.
func Accept(ctx context.Context, conn net.Conn, options Options) (*Accepted, error) {
	if err := conn.SetDeadline(time.Now().Add(options.StartupTimeout)); err != nil {
		_ = conn.Close()

		return nil, err
	}

	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	accepted, err := accept(ctx, conn, options)

	stop()

	if err != nil {
		_ = conn.Close()

		return nil, err
	}

	if accepted.Cancel != nil {
		return accepted, nil
	}

	if err := accepted.Conn.net.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()

		return nil, err
	}

	return accepted, nil
}

func accept(ctx context.Context, conn net.Conn, options Options) (*Accepted, error) {
	encrypted := false

	for range maxStartupPackets {
		code, body, err := readStartup(conn)
		if err != nil {
			return nil, refuseUnframed(conn, refusal(ctx, err))
		}

		switch code {
		case codeSSL:
			if options.TLS == nil || encrypted {
				_, err = conn.Write([]byte{'N'})
			} else if _, err = conn.Write([]byte{'S'}); err == nil {
				// Nothing was read beyond the request, and the handshake reads from the connection itself. So bytes
				// that were sent in plain text can't be taken for encrypted ones.
				secured := tls.Server(conn, options.TLS)
				err = secured.Handshake()
				conn, encrypted = secured, true
			}
		case codeGSS:
			_, err = conn.Write([]byte{'N'})
		case codeCancel:
			return readCancel(body)
		default:
			return login(ctx, conn, code, body, options)
		}

		if err != nil {
			return nil, err
		}
	}

	return nil, refuseUnframed(conn, result.New(result.Protocol, "too many requests for encryption"))
}

// readStartup reads one startup packet, which has no message kind. It reads no byte beyond the packet.
func readStartup(conn io.Reader) (uint32, []byte, error) {
	var head [startupHeaderBytes]byte

	if n, err := io.ReadFull(conn, head[:]); err != nil {
		if n == 0 {
			return 0, nil, err
		}

		return 0, nil, result.New(result.Protocol, "startup packet ends after %d bytes: %w", n, err)
	}

	size := binary.BigEndian.Uint32(head[:])
	if size < startupHeaderBytes || size > maxStartupBytes {
		return 0, nil, result.New(result.Protocol,
			"startup packet has a length of %d bytes; %d to %d are allowed", size, startupHeaderBytes, maxStartupBytes)
	}

	body := make([]byte, size-startupHeaderBytes)
	if _, err := io.ReadFull(conn, body); err != nil {
		return 0, nil, result.New(result.Protocol, "startup packet is truncated: %w", err)
	}

	return binary.BigEndian.Uint32(head[4:]), body, nil
}

func readCancel(body []byte) (*Accepted, error) {
	const processBytes, secretBytes = 4, 256

	if len(body) <= processBytes || len(body) > processBytes+secretBytes {
		return nil, result.New(result.Protocol, "cancel request has a length of %d bytes", len(body))
	}

	return &Accepted{Cancel: &CancelRequest{
		Process: binary.BigEndian.Uint32(body),
		Secret:  slices.Clone(body[processBytes:]),
	}}, nil
}

func login(ctx context.Context, conn net.Conn, version uint32, body []byte, options Options) (*Accepted, error) {
	if version>>majorShift != supportedMajor {
		return nil, refuseUnframed(conn, result.New(result.Protocol,
			"protocol version %d.%d is not supported; want 3.0 to 3.%d", version>>majorShift, version&minorMask, newestMinor))
	}

	parameters, err := parseParameters(body)
	if err != nil {
		return nil, refuseUnframed(conn, err)
	}

	caller := NewConn(conn, maxStartupBytes, options.StallTimeout)
	minor := min(version&minorMask, newestMinor)

	var unknown []string

	for name := range parameters {
		if strings.HasPrefix(name, optionPrefix) {
			unknown = append(unknown, name)
			delete(parameters, name)
		}
	}

	if version&minorMask > newestMinor || len(unknown) > 0 {
		slices.Sort(unknown)
		_ = caller.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: minor, UnrecognizedOptions: unknown})
	}

	if err := expandOptions(parameters); err != nil {
		return nil, refuseLogin(caller, err)
	}

	if parameters["user"] == "" {
		return nil, refuseLogin(caller, result.New(result.Authentication, "the startup packet names no user"))
	}

	if err := options.Admit(maps.Clone(parameters)); err != nil {
		return nil, refuseLogin(caller, err)
	}

	if err := authenticate(ctx, caller, parameters["user"], options.Verifier); err != nil {
		return nil, refuseLogin(caller, err)
	}

	caller.SetLimit(options.MessageLimit)

	return &Accepted{Conn: caller, Parameters: parameters, AllowsLongSecret: minor >= longSecretMinor}, nil
}

// parseParameters parses the names and values of a startup packet.
func parseParameters(body []byte) (map[string]string, error) {
	parameters := make(map[string]string)
	rest := string(body)

	for {
		name, after, found := strings.Cut(rest, "\x00")
		if !found {
			return nil, result.New(result.Protocol, "startup packet has no end marker")
		}

		if name == "" {
			if after != "" {
				return nil, result.New(result.Protocol, "startup packet has %d bytes after its end marker", len(after))
			}

			return parameters, nil
		}

		value, after, found := strings.Cut(after, "\x00")
		if !found {
			return nil, result.New(result.Protocol, "startup parameter %.40q has no value", name)
		}

		parameters[name] = value
		rest = after
	}
}

// expandOptions replaces the parameter "options", which holds settings as command line options, by these settings.
func expandOptions(parameters map[string]string) error {
	options := parameters["options"]
	delete(parameters, "options")

	fields := splitOptions(options)

	for at := 0; at < len(fields); at++ {
		field := fields[at]

		switch {
		case field == "-c" && at+1 < len(fields):
			at++
			field = fields[at]
		case strings.HasPrefix(field, "-c"):
			field = field[2:]
		case strings.HasPrefix(field, "--"):
			field = field[2:]
		default:
			return result.New(result.NotSupported, "startup option %.40q is not of the form -c NAME=VALUE", field)
		}

		name, value, found := strings.Cut(field, "=")
		if !found {
			return result.New(result.Protocol, "startup option %.40q has no value", field)
		}

		// Servers accept dashes in names only.
		parameters[strings.ReplaceAll(name, "-", "_")] = value
	}

	return nil
}

// splitOptions splits at white space unless a backslash precedes it.
func splitOptions(options string) []string {
	var (
		fields []string
		field  strings.Builder
		open   bool
	)

	for at := 0; at < len(options); at++ {
		char := options[at]

		switch {
		case char == '\\' && at+1 < len(options):
			at++
			field.WriteByte(options[at])

			open = true
		case char == ' ' || char == '\t' || char == '\n':
			if open {
				fields = append(fields, field.String())
				field.Reset()

				open = false
			}
		default:
			field.WriteByte(char)

			open = true
		}
	}

	if open {
		fields = append(fields, field.String())
	}

	return fields
}

// refuseUnframed sends an error over a connection that has no Conn yet.
func refuseUnframed(conn net.Conn, err error) error {
	if errors.Is(err, io.EOF) && result.CodeOf(err) == result.OK {
		return err
	}

	response := ErrorResponse(err)
	response.Severity, response.SeverityUnlocalized = severityFatal, severityFatal

	if encoded, failure := response.Encode(nil); failure == nil {
		_, _ = conn.Write(encoded)

		linger(conn)
	}

	return err
}

func refuseLogin(caller *Conn, err error) error {
	caller.SendFatal(ErrorResponse(err))
	caller.Linger()

	return err
}

// refusal returns the error for a caller whose message could not be read: the context's cause if that ended the wait.
func refusal(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return context.Cause(ctx)
	}

	return err
}

// ProtocolError returns the error with a result code for a message that could not be read. If the connection was lost,
// the result has no code.
func ProtocolError(err error) error {
	var size *wire.SizeError

	switch {
	case errors.As(err, &size):
		return result.New(result.TooLarge, "%w", err)
	case errors.Is(err, wire.ErrLength):
		return result.New(result.Protocol, "%w", err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return result.New(result.Protocol, "the connection ended within a message")
	}

	return fmt.Errorf("caller connection: %w", err)
}
