package operator

import (
	"bytes"
	"encoding/json"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"almondgrade/core/result"
)

// settingsKey is the name of the field that holds a configuration: as bytes in protobuf, as an object in JSON.
const settingsKey = "settings"

// Encode encodes a message of proto/control.proto in the JSON format of this interface.
func Encode(message proto.Message) ([]byte, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return nil, result.New(result.Protocol, "write message as JSON: %w", err)
	}

	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, result.New(result.Protocol, "write message as JSON: %w", err)
	}

	if packed, found := fields[settingsKey]; found {
		var content []byte
		if err := json.Unmarshal(packed, &content); err != nil {
			return nil, result.New(result.Protocol, "write settings as JSON: %w", err)
		}

		if len(content) == 0 {
			content = []byte("null")
		}

		fields[settingsKey] = content
	}

	var out bytes.Buffer

	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)

	if err := encoder.Encode(fields); err != nil {
		return nil, result.New(result.Protocol, "write message as JSON: %w", err)
	}

	return out.Bytes(), nil
}

// decode decodes a message from JSON. If strict is true, it refuses unknown fields.
func decode(data []byte, into proto.Message, strict bool) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return result.New(result.Protocol, "the body is not a JSON object: %w", err)
	}

	if content, found := fields[settingsKey]; found {
		packed, err := json.Marshal([]byte(content))
		if err != nil {
			return result.New(result.Protocol, "read settings: %w", err)
		}

		fields[settingsKey] = packed
		if bytes.Equal(content, []byte("null")) {
			delete(fields, settingsKey)
		}
	}

	data, err := json.Marshal(fields)
	if err != nil {
		return result.New(result.Protocol, "read message: %w", err)
	}

	if err := (protojson.UnmarshalOptions{DiscardUnknown: !strict}).Unmarshal(data, into); err != nil {
		return result.New(result.Protocol, "the body is not a valid %s: %w", into.ProtoReflect().Descriptor().Name(), err)
	}

	return nil
}
