package daemon

import (
	"crypto/tls"
	"net/netip"

	"almondgrade/core/settings"
	"almondgrade/core/timer"
	"almondgrade/internal/security"
	"almondgrade/internal/web"
	"almondgrade/io/operator"
	"almondgrade/io/platformapi"
)

// webOptions builds the options of an HTTP listener whose requests may pass with the token of a file or with a
// certificate of the authority.
func (p *proxyProcess) webOptions(address netip.AddrPort, tokenFile string) (web.Options, error) {
	return webOptions(p.Parts, p.keys, p.clock, address, tokenFile)
}

func (p *proxyProcess) listenHTTP() error {
	vm := p.Settings.VM

	if vm.Platform.IsValid() {
		options, err := p.webOptions(vm.Platform, p.Settings.Tokens.Platform)
		if err != nil {
			return err
		}

		server, err := platformapi.New(platformapi.Options{Web: options, Announcer: p, Health: p.health, Ready: p.ready})
		if err != nil {
			return err //nolint:wrapcheck // It names the listener.
		}

		p.closers = append(p.closers, closeHTTP(server.Close))
	}

	if !vm.Operator.IsValid() {
		return nil
	}

	options, err := p.webOptions(vm.Operator, p.Settings.Tokens.Operator)
	if err != nil {
		return err
	}

	server, err := operator.New(operator.Options{
		Web: options, Control: p.client, Registry: p.counters.Registry, Level: p.Level,
		Settings: func() (settings.Running, bool) {
			view := p.client.View()
			if view == nil {
				return settings.Running{}, false
			}

			return view.Running, true
		},
	})
	if err != nil {
		return err //nolint:wrapcheck // It names the listener.
	}

	p.closers = append(p.closers, closeHTTP(server.Close))

	return nil
}

func webOptions(parts Parts, keys *security.Keys, clock timer.Service, address netip.AddrPort, tokenFile string) (web.Options, error) {
	gate := security.Gate{Open: parts.Settings.VM.Open == settings.OpenUnauthenticated}

	if tokenFile != "" {
		token, err := security.NewToken(tokenFile, clock, parts.Logger)
		if err != nil {
			return web.Options{}, err //nolint:wrapcheck // It names the file.
		}

		gate.Token = token
	}

	var config *tls.Config
	if parts.Settings.TLS.Certificate != "" {
		config = keys.Server(security.Optional)
		gate.Certificates = parts.Settings.TLS.Authority != ""
	}

	return web.Options{Address: address, TLS: config, Gate: gate, Logger: parts.Logger}, nil
}
