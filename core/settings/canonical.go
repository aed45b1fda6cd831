package settings

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Canonical returns a JSON text with sorted keys, no spaces and no members that are null, so that equal settings
// have equal texts and checksums on every process. A merge patch can't carry null members, and an absent member
// means the same.
func Canonical(text []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()

	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, eris.Wrap(err, "decode settings")
	}

	canonical, err := json.Marshal(withoutNull(value))

	return canonical, eris.Wrap(err, "encode settings")
}

// withoutNull removes null members from objects, in place.
func withoutNull(value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for key, member := range typed {
			if member == nil {
				delete(typed, key)
			} else {
				typed[key] = withoutNull(member)
			}
		}
	case []any:
		for i, element := range typed {
			typed[i] = withoutNull(element)
		}
	}

	return value
}
