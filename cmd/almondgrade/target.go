package main

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/settings"
	"almondgrade/core/timer"
	"almondgrade/internal/security"
	"almondgrade/io/operator"
)

// targetOptions holds the options of commands that send requests to a running system.
type targetOptions struct {
	Addresses       []string `long:"address" env:"ALMONDGRADE_ADDRESS" env-delim:"," value-name:"IP:PORT" description:"Operator address of a control process or proxy; repeat it to name several, which are tried in order"`
	TokenFile       string   `long:"token-file" env:"ALMONDGRADE_TOKEN_FILE" value-name:"FILE" description:"File with the bearer token"`
	AuthorityFile   string   `long:"authority" env:"ALMONDGRADE_AUTHORITY" value-name:"FILE" description:"Certificates that the servers' are verified against; turns TLS on"`
	CertificateFile string   `long:"certificate" env:"ALMONDGRADE_CERTIFICATE" value-name:"FILE" description:"Certificate to present"`
	KeyFile         string   `long:"key" env:"ALMONDGRADE_KEY" value-name:"FILE" description:"Key of the certificate"`
}

// usageError returns an error that ends the command with ExitUsage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}

// newClient returns a client for the addresses, token and keys of the options.
func (t *targetOptions) newClient() (*operator.Client, error) {
	if len(t.Addresses) == 0 {
		return nil, usageError("want --address or ALMONDGRADE_ADDRESS with the operator address of a process")
	}

	var destination operator.Target

	for _, text := range t.Addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usageError("--address %q is not an IP address with a port, such as 127.0.0.1:7301", text)
		}

		destination.Addresses = append(destination.Addresses, address)
	}

	if t.TokenFile != "" {
		content, err := os.ReadFile(t.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read token: %w", err)
		}

		destination.Token = strings.TrimSpace(string(content))
	}

	var err error

	destination.TLS, err = t.tlsConfig()
	if err != nil {
		return nil, err
	}

	return operator.NewClient(destination), nil
}

func (t *targetOptions) tlsConfig() (func(host string) *tls.Config, error) {
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		return nil, usageError("--certificate and --key go together")
	}

	if t.AuthorityFile == "" {
		if t.CertificateFile != "" {
			return nil, usageError("--certificate needs --authority")
		}

		return nil, nil
	}

	clock := timer.New()
	defer clock.Close()

	files := settings.TLS{Authority: t.AuthorityFile, Certificate: t.CertificateFile, Key: t.KeyFile, ReloadSeconds: 1}

	keys, err := security.NewKeys(files, clock, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, errors.Join(errors.New("TLS keys can't be used"), err)
	}

	keys.Close()

	return keys.Client, nil
}
