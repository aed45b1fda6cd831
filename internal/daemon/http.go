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

// webOptions returns the options of an HTTP listener that accepts requests with the token of a file or with a
// certificate signed by the authority.
func (p *proxyProcess) webOptions(address netip.AddrPort, tokenFile string) (web.Options, error) {
	return webOptions(p.Options, p.keys, p.clock, address, tokenFile)
}

func (p *proxyProcess) listenHTTP() error {
	vm := p.Settings.VM

	if vm.Platform.IsValid() {
		options, err := p.webOptions(vm.Platform, p.Settings.Tokens.Platform)
		if err != nil {
			return err
		}

		server, err := platformapi.New(platformapi.Options{Web: options, Announcer: p, Health: p.checkHealth, Ready: p.checkConfirmed})
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
		Web: options, Control: p.controlClient, Registry: p.counters.Registry, Level: p.LogLevel,
		Settings: func() (settings.Running, bool) {
			view := p.controlClient.View()
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

func webOptions(options Options, keys *security.Keys, clock timer.Service, address netip.AddrPort, tokenFile string) (web.Options, error) {
	gate := security.Gate{AllowOpen: options.Settings.VM.Open == settings.OpenUnauthenticated}

	if tokenFile != "" {
		token, err := security.NewToken(tokenFile, clock, options.Logger)
		if err != nil {
			return web.Options{}, err //nolint:wrapcheck // It names the file.
		}

		gate.Token = token
	}

	var config *tls.Config
	if options.Settings.TLS.Certificate != "" {
		config = keys.Server(security.Optional)
		gate.Certificates = options.Settings.TLS.Authority != ""
	}

	return web.Options{Address: address, TLS: config, Gate: gate, Logger: options.Logger}, nil
}
