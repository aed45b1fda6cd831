package settings

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Canonical returns a JSON text with sorted keys, without insignificant space and without null members, so that equal
// settings have equal texts and checksums in every process. A merge patch can't set a member to null, and an absent
// member means the same.
func Canonical(text []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()

	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, eris.Wrap(err, "decode settings")
	}

	canonical, err := json.Marshal(removeNulls(value))

	return canonical, eris.Wrap(err, "encode settings")
}

// removeNulls removes null members from objects, in place.
func removeNulls(value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for key, member := range typed {
			if member == nil {
				delete(typed, key)
			} else {
				typed[key] = removeNulls(member)
			}
		}
	case []any:
		for i, element := range typed {
			typed[i] = removeNulls(element)
		}
	}

	return value
}
