package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"almondgrade/core/settings"
)

const testSecret = "hunter2"

type holder struct {
	Name  string
	Inner map[string]any
}

// Guards against a secret in a log line, however it is passed to the logger.
func TestSecretsAreHidden(t *testing.T) {
	running := settings.Running{Users: map[string]settings.User{"a": {Verifier: testSecret}}}

	cases := []struct {
		name string
		log  func(*slog.Logger)
	}{
		{"attribute", func(l *slog.Logger) { l.Info("x", "password", testSecret) }},
		{"part of a key", func(l *slog.Logger) { l.Info("x", "backendPassword", testSecret) }},
		{"with", func(l *slog.Logger) { l.With("token", testSecret).Info("x") }},
		{"group", func(l *slog.Logger) { l.Info("x", slog.Group("login", "secret", testSecret)) }},
		{"inside a secret group", func(l *slog.Logger) { l.WithGroup("credentials").Info("x", "value", testSecret) }},
		{"structure", func(l *slog.Logger) { l.Info("x", "running", running) }},
		{"pointer", func(l *slog.Logger) { l.Info("x", "running", &running) }},
		{"map", func(l *slog.Logger) {
			l.Info("x", "h", []holder{{"n", map[string]any{"Authorization": "Bearer " + testSecret}}})
		}},
		{"value without JSON", func(l *slog.Logger) { l.Info("x", "h", map[string]any{"password": testSecret, "f": func() {}}) }},
	}
	for _, one := range cases {
		for _, format := range []string{"text", "json"} {
			t.Run(one.name+" "+format, func(t *testing.T) {
				var lines bytes.Buffer

				logger, _ := New(settings.Log{Format: format, Level: "info"}, &lines)
				one.log(logger)

				require.NotEmpty(t, lines.String())
				require.NotContains(t, lines.String(), testSecret)
			})
		}
	}
}

// Guards against a redaction that changes values which are not secret.
func TestOtherValuesAreKept(t *testing.T) {
	var lines bytes.Buffer

	logger, _ := New(settings.Log{Format: "text"}, &lines)
	logger.Info("started", "err", errors.New("disk full"), "address", netip.MustParseAddrPort("127.0.0.1:1"),
		"holder", holder{Name: "n"}, "number", 7)

	require.Contains(t, lines.String(),
		`msg=started err="disk full" address=127.0.0.1:1 holder="{\"Inner\":null,\"Name\":\"n\"}" number=7`)
}

// Guards against a level that can't be changed while the process runs.
func TestLevelChanges(t *testing.T) {
	var lines bytes.Buffer

	logger, level := New(settings.Log{Format: "json", Level: "warn"}, &lines)
	logger.Info("first")
	require.Empty(t, lines.String())

	debug, err := ParseLevel("debug")
	require.NoError(t, err)
	level.Set(debug)
	logger.Debug("second")
	require.Contains(t, lines.String(), `"msg":"second"`)

	_, err = ParseLevel("loud")
	require.Error(t, err)
}
