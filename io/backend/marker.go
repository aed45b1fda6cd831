package backend

import (
	"errors"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// UnusedName is a name that no statement and no portal has. Closing it has no effect except for the answer.
	UnusedName = "agp_nothing"

	// maxMarkerNumber is the number of different markers. Two exchanges of a connection with the same marker have 15
	// others between them.
	maxMarkerNumber = 16
)

// ErrUnrequested is the error of a connection on which the server sent something that answers no request, such as a
// second copy of an earlier answer.
var ErrUnrequested = errors.New("the backend server sent a message that answers no request")

// SendMarker appends the marker of one exchange to the output. It has to follow each request, and ReadMarker the end of
// the answer to that request.
//
// An answer does not name its request. A server or a network path that repeats an answer would therefore make each later
// request on the connection get the answer to the one before it. The answer to a marker differs from that to the previous
// ones and contains no other answer, so that an answer which is followed by anything else may belong to another request.
//
// A marker is a number of Close messages for a name that does not exist, and Sync. It runs no statement, starts no
// transaction, is valid in a failed transaction, and leaves no trace in the server's statistics. It is sent together with
// the request and thus costs no round trip.
func (c *Conn) SendMarker() {
	c.marker = c.marker%maxMarkerNumber + 1

	for range c.marker {
		c.SendRaw('C', closeUnusedBody)
	}

	c.SendRaw('S', nil)
}

// closeUnusedBody is the body of a Close message for a statement with UnusedName.
var closeUnusedBody = slices.Concat([]byte{'S'}, []byte(UnusedName), []byte{0})

// ReadMarker reads the answer to the marker that was sent last. It calls handle for each message that the server may send
// at any time, which has to read, forward or skip the body. If anything else arrives, the answer before the marker may
// belong to another request: ReadMarker taints the connection and returns ErrUnrequested.
func (c *Conn) ReadMarker(handle func(kind byte) error) error {
	status := c.TxStatus
	// Until the marker has arrived, the server may still run the request.
	c.TxStatus = 0

	for remaining := c.marker; ; {
		kind, size, err := c.ReadHeader()
		if err != nil {
			return c.taintOn(err)
		}

		switch {
		case IsAsynchronous(kind):
			if err := handle(kind); err != nil {
				return c.taintOn(err)
			}

			continue
		case kind == '3' && size == 0 && remaining > 0:
			remaining--

			continue
		}

		body, err := c.ReadBody()

		switch {
		case err != nil:
			return c.taintOn(err)
		case kind == 'E':
			// The error is not wrapped, because it is not known to which request it belongs.
			return c.taintOn(fmt.Errorf("%w: %v", ErrUnrequested, decodeError(body))) //nolint:errorlint // As above.
		case kind != 'Z' || remaining > 0 || size != 1 || body[0] != status:
			return c.taintOn(fmt.Errorf("%w: message %q in place of the end of the exchange", ErrUnrequested, kind))
		}

		c.TxStatus = status

		return nil
	}
}

// IsAsynchronous reports whether the server may send a kind of message at any time: NoticeResponse, ParameterStatus and
// NotificationResponse.
func IsAsynchronous(kind byte) bool {
	return kind == 'N' || kind == 'S' || kind == 'A'
}

// storeParameter reads a ParameterStatus message and stores the parameter.
func (c *Conn) storeParameter() error {
	body, err := c.ReadBody()
	if err != nil {
		return err
	}

	var parameter pgproto3.ParameterStatus
	if err := parameter.Decode(body); err != nil {
		return err
	}

	c.Parameters[parameter.Name] = parameter.Value

	return nil
}

// handleAsynchronous reads a message that the server may send at any time, outside a caller's request.
func (c *Conn) handleAsynchronous(kind byte) error {
	if kind == 'S' {
		return c.storeParameter()
	}

	return c.SkipBody()
}
