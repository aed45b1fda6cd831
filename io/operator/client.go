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
	// clientTimeout bounds one attempt at one process.
	clientTimeout = 20 * time.Second
	// dialTimeout bounds one connection, so that a VM that is gone doesn't take the time of the others.
	dialTimeout = 3 * time.Second
	// maxReplyBytes bounds an answer. A status of 8,100 servers takes about 3 MiB.
	maxReplyBytes = 64 << 20
)

// ErrNoAnswer is wrapped by errors of requests that no process answered. A change may have been accepted all the
// same; it is safe to send it again with the same id.
var ErrNoAnswer = errors.New("no process answered")

// Target says where operators' listeners are and how to log in.
type Target struct {
	// Addresses are tried in order until one gives an answer that another process would not better.
	Addresses []netip.AddrPort
	// Token is the bearer token, or empty.
	Token string
	// TLS returns the configuration for one host. Nil means plain connections.
	TLS func(host string) *tls.Config
}

// Client speaks to the interface for operators. It is safe for concurrent use. It is itself a Control.
type Client struct {
	target Target
}

// NewClient returns a client. It connects with the first request.
func NewClient(target Target) *Client {
	return &Client{target: target}
}

// Apply implements Control. A refusal returns the reply together with an error that carries its code.
func (c *Client) Apply(ctx context.Context, change *controlpb.Change) (*controlpb.ChangeReply, error) {
	reply := &controlpb.ChangeReply{}
	err := c.call(ctx, http.MethodPost, "/v1/apply", change, reply)

	return reply, err
}

// Status implements Control.
func (c *Client) Status(ctx context.Context) (*controlpb.StatusReply, error) {
	reply := &controlpb.StatusReply{}
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, reply)

	return reply, err
}

// Drain implements Control. A refusal returns the reply together with an error that carries its code.
func (c *Client) Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainReply, error) {
	reply := &controlpb.DrainReply{}
	err := c.call(ctx, http.MethodPost, "/v1/drain", request, reply)

	return reply, err
}

// Settings returns the configuration that the first process that answers has in force.
func (c *Client) Settings(ctx context.Context) (settings.Running, error) {
	var running settings.Running

	data, err := c.ask(ctx, http.MethodGet, "/v1/settings", nil)
	if err != nil {
		return running, err
	}

	if err := json.Unmarshal(data, &running); err != nil {
		return running, eris.Wrap(err, "read settings")
	}

	return running, nil
}

// Level changes the log level of the first process that answers.
func (c *Client) Level(ctx context.Context, level string) error {
	body, err := json.Marshal(levelBody{level})
	if err != nil {
		return eris.Wrap(err, "write log level")
	}

	_, err = c.ask(ctx, http.MethodPut, "/v1/level", body)

	return err
}

// call sends a message and reads the reply. The reply is filled in for a refusal, too.
func (c *Client) call(ctx context.Context, method, path string, message, reply proto.Message) error {
	var body []byte

	if message != nil {
		var err error

		body, err = Encode(message)
		if err != nil {
			return err
		}
	}

	data, err := c.ask(ctx, method, path, body)
	if data == nil {
		return err
	}

	if decodeErr := decode(data, reply, false); decodeErr != nil && err == nil {
		return decodeErr
	}

	return err
}

// ask asks the addresses in order. It returns the body of an answer, and an error with its code for a refusal.
func (c *Client) ask(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var (
		failures []error
		refusal  []byte
		refused  error
	)

	for _, address := range c.target.Addresses {
		data, status, err := c.once(ctx, address, method, path, body)
		if err == nil && status == http.StatusOK {
			return data, nil
		}

		if err == nil {
			err = refusalOf(status, data)
		}

		code := result.CodeOf(err)

		switch {
		case code == result.OK:
			failures = append(failures, eris.Wrapf(err, "ask %s", address))
		case !elsewhere(code):
			return data, err
		case refused == nil || result.CodeOf(refused).Ran() != result.RanUnknown:
			// A refusal that leaves the outcome unknown outweighs one that says that nothing ran.
			refusal, refused = data, err
		}
	}

	if refused != nil && len(failures) == 0 {
		return refusal, refused
	}

	return nil, errors.Join(append([]error{ErrNoAnswer, refused}, failures...)...)
}

// elsewhere reports whether another process may answer what this one refused.
func elsewhere(code result.Code) bool {
	return code == result.NotLeader || code == result.NoQuorum || code == result.Unconfirmed
}

// refusalOf returns the error that a refusal stands for. It carries no code if the process failed to answer.
func refusalOf(status int, data []byte) error {
	var failure web.ResultBody

	if err := json.Unmarshal(data, &failure); err != nil || failure.Code == result.OK {
		return eris.Errorf("HTTP status %d without a result code: %s", status, failure.Reason)
	}

	return result.Restore(failure.Code, failure.Reason)
}

// once asks one process. The error is about the connection.
func (c *Client) once(ctx context.Context, address netip.AddrPort, method, path string, body []byte) ([]byte, int, error) {
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
