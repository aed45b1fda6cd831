package logging

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"strings"

	"almondgrade/core/settings"
)

// redactedText is logged in place of a secret.
const redactedText = "(hidden)"

// secretWords are the words that make a key secret if the key contains one of them.
//
//nolint:gochecknoglobals // The list is constant.
var secretWords = []string{"password", "passwd", "secret", "token", "verifier", "authorization", "credential",
	"private_key", "privatekey"}

// New returns a logger with the format and level of the settings, and its level, which can be changed while the
// logger is in use.
func New(config settings.Log, to io.Writer) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)

	if parsed, err := ParseLevel(config.Level); err == nil {
		level.Set(parsed)
	}

	options := &slog.HandlerOptions{Level: level, ReplaceAttr: redact}

	if config.Format == "json" {
		return slog.New(slog.NewJSONHandler(to, options)), level
	}

	return slog.New(slog.NewTextHandler(to, options)), level
}

// ParseLevel returns the level of a name: debug, info, warn or error.
func ParseLevel(name string) (slog.Level, error) {
	switch name {
	case "debug":
		return slog.LevelDebug, nil
	case "info":
		return slog.LevelInfo, nil
	case "warn":
		return slog.LevelWarn, nil
	case "error":
		return slog.LevelError, nil
	default:
		return 0, fmt.Errorf("log level %q is none of debug, info, warn, error", name)
	}
}

func isSecretKey(key string) bool {
	lower := strings.ToLower(key)

	for _, word := range secretWords {
		if strings.Contains(lower, word) {
			return true
		}
	}

	return false
}

// redact replaces the value of an attribute with a secret key, and the values of secret keys inside a value that is logged
// whole.
func redact(groups []string, attr slog.Attr) slog.Attr {
	if isSecretKey(attr.Key) {
		return slog.String(attr.Key, redactedText)
	}

	for _, group := range groups {
		if isSecretKey(group) {
			return slog.String(attr.Key, redactedText)
		}
	}

	if attr.Value.Kind() != slog.KindAny || !mayHoldSecrets(attr.Value.Any()) {
		return attr
	}

	return slog.Any(attr.Key, redactValue(attr.Value.Any()))
}

// mayHoldSecrets reports whether a value may contain secret keys. Values that format themselves as text don't.
func mayHoldSecrets(value any) bool {
	switch value.(type) {
	case nil, error, fmt.Stringer, encoding.TextMarshaler, *slog.Source:
		return false
	}

	kind := reflect.TypeOf(value).Kind()

	return kind == reflect.Struct || kind == reflect.Map || kind == reflect.Slice || kind == reflect.Array ||
		kind == reflect.Pointer
}

// redactValue returns the JSON form of a value without its secrets. A value that can't be encoded as JSON is
// replaced by its type, because its text form may contain secrets.
func redactValue(value any) any {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%T", value)
	}

	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()

	var decoded any
	if err := decoder.Decode(&decoded); err != nil {
		return fmt.Sprintf("%T", value)
	}

	return jsonValue{redactJSON(decoded)}
}

func redactJSON(value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for key, member := range typed {
			if isSecretKey(key) {
				typed[key] = redactedText
			} else {
				typed[key] = redactJSON(member)
			}
		}
	case []any:
		for i, item := range typed {
			typed[i] = redactJSON(item)
		}
	}

	return value
}

// jsonValue is a decoded JSON value that both log formats write as JSON.
type jsonValue struct {
	value any
}

// MarshalJSON implements json.Marshaler.
func (j jsonValue) MarshalJSON() ([]byte, error) {
	return json.Marshal(j.value) //nolint:wrapcheck // The value was decoded from JSON.
}

// MarshalText implements encoding.TextMarshaler.
func (j jsonValue) MarshalText() ([]byte, error) {
	return json.Marshal(j.value) //nolint:wrapcheck // The value was decoded from JSON.
}
