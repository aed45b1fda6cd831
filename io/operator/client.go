package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"almondgrade/core/result"
	"almondgrade/core/settings"
	"almondgrade/internal/web"
	"almondgrade/io/control/controlpb"
)

const (
	// clientTimeout bounds one request to one process.
	clientTimeout = 20 * time.Second
	// dialTimeout bounds one attempt to connect, so that an unreachable VM doesn't delay the requests to the others.
	dialTimeout = 3 * time.Second
	// maxReplyBytes bounds the body of a reply. A status with 8,100 servers takes about 3 MiB.
	maxReplyBytes = 64 << 20
)

// ErrNoAnswer is wrapped by the error of a request that no process answered. A change may have been accepted
// nevertheless; it is safe to send it again with the same id.
var ErrNoAnswer = errors.New("no process answered")

// Target holds the addresses of listeners for operators and the credentials for them.
type Target struct {
	// Addresses are tried in order until a process answers with success, or with a refusal that another process would
	// repeat.
	Addresses []netip.AddrPort
	// Token is the bearer token, or empty for none.
	Token string
	// TLS returns the TLS configuration for a host. If TLS or its result is nil, connections are not encrypted.
	TLS func(host string) *tls.Config
}

// Client is a client of the interface for operators. It implements Control and is safe for concurrent use.
type Client struct {
	target Target
}

// NewClient returns a client. It opens a new connection for each request.
func NewClient(target Target) *Client {
	return &Client{target: target}
}

// Apply implements Control. A refusal returns the reply together with an error that carries its code.
func (c *Client) Apply(ctx context.Context, change *controlpb.Change) (*controlpb.ChangeReply, error) {
	reply := &controlpb.ChangeReply{}
	err := c.callMethod(ctx, http.MethodPost, "/v1/apply", change, reply)

	return reply, err
}

// Status implements Control.
func (c *Client) Status(ctx context.Context) (*controlpb.StatusReply, error) {
	reply := &controlpb.StatusReply{}
	err := c.callMethod(ctx, http.MethodGet, "/v1/status", nil, reply)

	return reply, err
}

// Drain implements Control. A refusal returns the reply together with an error that carries its code.
func (c *Client) Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error) {
	reply := &controlpb.DrainReply{}
	err := c.callMethod(ctx, http.MethodPost, "/v1/drain", request, reply)

	return reply, err
}

// Settings returns the running configuration of the first process that answers.
func (c *Client) Settings(ctx context.Context) (settings.Running, error) {
	var running settings.Running

	data, err := c.requestAny(ctx, http.MethodGet, "/v1/settings", nil)
	if err != nil {
		return running, err
	}

	if err := json.Unmarshal(data, &running); err != nil {
		return running, eris.Wrap(err, "read settings")
	}

	return running, nil
}

// SetLevel sets the log level of the first process that answers.
func (c *Client) SetLevel(ctx context.Context, level string) error {
	body, err := json.Marshal(logLevelBody{level})
	if err != nil {
		return eris.Wrap(err, "write log level")
	}

	_, err = c.requestAny(ctx, http.MethodPut, "/v1/level", body)

	return err
}

// callMethod sends a message and decodes the reply. It also decodes the reply of a refusal.
func (c *Client) callMethod(ctx context.Context, method, path string, message, reply proto.Message) error {
	var body []byte

	if message != nil {
		var err error

		body, err = Encode(message)
		if err != nil {
			return err
		}
	}

	data, err := c.requestAny(ctx, method, path, body)
	if data == nil {
		return err
	}

	if decodeErr := decode(data, reply, false); decodeErr != nil && err == nil {
		return decodeErr
	}

	return err
}

// requestAny sends a request to the addresses in order. It returns the body of the answer and, for a refusal, an error
// with the code.
func (c *Client) requestAny(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var (
		failures   []error
		refusal    []byte
		refusedErr error
	)

	for _, address := range c.target.Addresses {
		data, status, err := c.requestOne(ctx, address, method, path, body)
		if err == nil && status == http.StatusOK {
			return data, nil
		}

		if err == nil {
			err = refusalError(status, data)
		}

		code := result.CodeOf(err)

		switch {
		case code == result.OK:
			failures = append(failures, eris.Wrapf(err, "ask %s", address))
		case !mayTryAnother(code):
			return data, err
		case refusedErr == nil || result.CodeOf(refusedErr).Ran() != result.RanUnknown:
			// A refusal that leaves the outcome unknown takes precedence over one that says that nothing ran.
			refusal, refusedErr = data, err
		}
	}

	if refusedErr != nil && len(failures) == 0 {
		return refusal, refusedErr
	}

	return nil, errors.Join(append([]error{ErrNoAnswer, refusedErr}, failures...)...)
}

// mayTryAnother reports whether another process may accept a request that was refused with a code.
func mayTryAnother(code result.Code) bool {
	return code == result.NotLeader || code == result.NoQuorum || code == result.Unconfirmed
}

// refusalError converts a refusal to an error. The error has no code if the body of the answer has none.
func refusalError(status int, data []byte) error {
	var failure web.Failure

	if err := json.Unmarshal(data, &failure); err != nil || failure.Code == result.OK {
		return eris.Errorf("HTTP status %d without a result code: %s", status, failure.Reason)
	}

	return result.Restore(failure.Code, failure.Reason)
}

// requestOne sends a request to one process and returns the body and the HTTP status. It returns an error only if there
// is no complete answer.
func (c *Client) requestOne(ctx context.Context, address netip.AddrPort, method, path string, body []byte) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()

	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
	}
	scheme := "http://"

	if c.target.TLS != nil {
		if config := c.target.TLS(address.Addr().String()); config != nil {
			transport.TLSClientConfig = config
			scheme = "https://"
		}
	}

	url := scheme + address.String() + path

	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body)) //nolint:gosec // From settings.
	if err != nil {
		return nil, 0, eris.Wrap(err, "make request")
	}

	request.Header.Set("Content-Type", "application/json")

	if c.target.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.target.Token)
	}

	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, 0, eris.Wrap(err, "send request")
	}

	defer func() { _ = response.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, 0, eris.Wrap(err, "read answer")
	}

	if len(data) > maxReplyBytes {
		return nil, 0, eris.Errorf("the answer is longer than %d bytes", maxReplyBytes)
	}

	return data, response.StatusCode, nil
}
