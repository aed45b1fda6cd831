package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON represents as a string with a unit, such as "1.5s" or "20ms".
type Duration time.Duration

// Or returns the duration, or the fallback if it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}

	return time.Duration(d)
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String()) //nolint:wrapcheck // A string always marshals.
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a text with a unit such as \"20ms\"", data)
	}

	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q: %w", text, err)
	}

	*d = Duration(parsed)

	return nil
}
