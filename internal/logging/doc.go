// Package logging makes the logger of a process from its settings.
//
// Attributes with the key of a secret, such as password or verifier, are hidden at every depth: in groups, and in
// structures and maps that are logged whole. The text of messages is not searched, so secrets must not be put
// into messages.
//
// # Usage
//
//	logger, level := logging.New(loaded.Settings.Log, os.Stderr)
//	logger.Info("control starts", "vm", loaded.Settings.VM.Name)
//	level.Set(slog.LevelDebug)
package logging
