// Package logging creates the logger of a process from its settings.
//
// Attributes with the key of a secret, such as password or verifier, are redacted at every depth: in groups, and in
// structs and maps that are logged whole. The text of messages is not searched, so messages must not contain
// secrets.
//
// # Usage
//
//	logger, level := logging.New(loaded.Settings.Log, os.Stderr)
//	logger.Info("control starts", "vm", loaded.Settings.VM.Name)
//	level.Set(slog.LevelDebug)
package logging
