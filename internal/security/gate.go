package security

import (
	"net/http"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"

	"almondgrade/core/result"
)

// Gate decides which requests a listener serves. The zero Gate accepts every request and therefore may only
// listen on loopback.
type Gate struct {
	// Token accepts requests that present it. If it is nil, no token is accepted.
	Token *Token
	// Certificates accepts requests whose client certificate the listener's TLS configuration has verified.
	Certificates bool
	// AllowOpen allows the gate to listen on addresses other than loopback without a token or certificates.
	AllowOpen bool
}

// requiresCredentials reports whether requests need a token or a certificate.
func (g Gate) requiresCredentials() bool {
	return g.Token != nil || g.Certificates
}

// CheckListen returns an error if a listener with this gate may not use the address.
func (g Gate) CheckListen(address netip.AddrPort) error {
	if g.requiresCredentials() || g.AllowOpen || address.Addr().IsLoopback() {
		return nil
	}

	return eris.Errorf("listener %s is off loopback and has neither a token nor mutual TLS", address)
}

// Authenticate returns an error with result.Authentication for a request without valid credentials.
func (g Gate) Authenticate(request *http.Request) error {
	if !g.requiresCredentials() {
		return nil
	}

	if g.Certificates && request.TLS != nil && len(request.TLS.PeerCertificates) > 0 {
		return nil
	}

	scheme, presented, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if g.Token != nil && strings.EqualFold(scheme, "Bearer") && g.Token.Matches(presented) {
		return nil
	}

	return result.New(result.Authentication, "the request carries neither a valid bearer token nor a certificate")
}
