package security

import (
	"net/http"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"

	"almondgrade/core/result"
)

// Gate decides which requests a listener serves. The zero Gate serves every request, and so may only listen on
// loopback.
type Gate struct {
	// Token lets a request pass that presents it. Nil accepts no token.
	Token *Token
	// Certificates lets a request pass whose certificate the listener's TLS configuration has verified.
	Certificates bool
	// Open lets the gate listen off loopback without token and certificates.
	Open bool
}

// guarded reports whether the gate refuses requests at all.
func (g Gate) guarded() bool {
	return g.Token != nil || g.Certificates
}

// Listen returns an error if the gate may not serve an address.
func (g Gate) Listen(address netip.AddrPort) error {
	if g.guarded() || g.Open || address.Addr().IsLoopback() {
		return nil
	}

	return eris.Errorf("listener %s is off loopback and has neither a token nor mutual TLS", address)
}

// Permit returns an error with result.Authentication for a request that may not pass.
func (g Gate) Permit(request *http.Request) error {
	if !g.guarded() {
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
