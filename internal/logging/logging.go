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

// hidden is logged in place of a secret.
const hidden = "(hidden)"

// secretWords are the words that make a key secret, whatever surrounds them.
//
//nolint:gochecknoglobals // The list is constant.
var secretWords = []string{"password", "passwd", "secret", "token", "verifier", "authorization", "credential",
	"private_key", "privatekey"}

// New returns a logger with the form and level of the settings, and the level, which can be changed while the
// logger is used.
func New(form settings.Log, to io.Writer) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)

	if parsed, err := ParseLevel(form.Level); err == nil {
		level.Set(parsed)
	}

	options := &slog.HandlerOptions{Level: level, ReplaceAttr: redact}

	if form.Format == "json" {
		return slog.New(slog.NewJSONHandler(to, options)), level
	}

	return slog.New(slog.NewTextHandler(to, options)), level
}

// ParseLevel returns the level of a word: debug, info, warn or error.
func ParseLevel(word string) (slog.Level, error) {
	switch word {
	case "debug":
		return slog.LevelDebug, nil
	case "info":
		return slog.LevelInfo, nil
	case "warn":
		return slog.LevelWarn, nil
	case "error":
		return slog.LevelError, nil
	default:
		return 0, fmt.Errorf("log level %q is none of debug, info, warn, error", word)
	}
}

func secretKey(key string) bool {
	lower := strings.ToLower(key)

	for _, word := range secretWords {
		if strings.Contains(lower, word) {
			return true
		}
	}

	return false
}

// redact hides an attribute with a secret key, and secret keys inside a structure that is logged whole.
func redact(groups []string, attr slog.Attr) slog.Attr {
	if secretKey(attr.Key) {
		return slog.String(attr.Key, hidden)
	}

	for _, group := range groups {
		if secretKey(group) {
			return slog.String(attr.Key, hidden)
		}
	}

	if attr.Value.Kind() != slog.KindAny || !composite(attr.Value.Any()) {
		return attr
	}

	return slog.Any(attr.Key, redactValue(attr.Value.Any()))
}

// composite reports whether a value may hold secrets under keys. Values that render themselves as text don't.
func composite(value any) bool {
	switch value.(type) {
	case nil, error, fmt.Stringer, encoding.TextMarshaler, *slog.Source:
		return false
	}

	kind := reflect.TypeOf(value).Kind()

	return kind == reflect.Struct || kind == reflect.Map || kind == reflect.Slice || kind == reflect.Array ||
		kind == reflect.Pointer
}

// redactValue returns the JSON text of a value without its secrets. A value that can't be shown as JSON is
// replaced by its type, because its text form may hold secrets.
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

	return jsonText{hide(decoded)}
}

func hide(value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for key, member := range typed {
			if secretKey(key) {
				typed[key] = hidden
			} else {
				typed[key] = hide(member)
			}
		}
	case []any:
		for i, item := range typed {
			typed[i] = hide(item)
		}
	}

	return value
}

// jsonText is a decoded JSON value that both forms of log lines show as JSON.
type jsonText struct {
	value any
}

// MarshalJSON implements json.Marshaler.
func (j jsonText) MarshalJSON() ([]byte, error) {
	return json.Marshal(j.value) //nolint:wrapcheck // The value was decoded from JSON.
}

// MarshalText implements encoding.TextMarshaler.
func (j jsonText) MarshalText() ([]byte, error) {
	return json.Marshal(j.value) //nolint:wrapcheck // The value was decoded from JSON.
}
