package settings

import (
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Source is the name and the content of a settings file.
type Source struct {
	Name string
	Data []byte
}

// Origin is the file and the line that set a value. The zero Origin stands for a default.
type Origin struct {
	File string
	Line int
}

// String returns the origin as FILE:LINE, or "default".
func (o Origin) String() string {
	if o.File == "" {
		return "default"
	}

	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Merge merges overlays into a base document by JSON merge patch (RFC 7396), in the given order. Each document must be a
// JSON object whose lists have no null elements.
func Merge(base []byte, overlays ...[]byte) ([]byte, error) {
	merged := base

	for i, overlay := range overlays {
		var err error

		merged, err = jsonpatch.MergePatch(merged, overlay)
		if err != nil {
			return nil, fmt.Errorf("overlay %d: %w", i+1, err)
		}
	}

	return merged, nil
}

// origins maps the paths of a merged document to the origins of their values.
type origins map[string]Origin

// nearest returns the origin of a path, or of the closest enclosing value that has one.
func (o origins) nearest(at *path) Origin {
	for ; at != nil; at = at.parent {
		if found, known := o[at.text]; known {
			return found
		}
	}

	return o[""]
}

// record records that a file sets a value and all values in it. Null members are skipped, because a merge patch drops
// them from an object that replaces no other.
func (o origins) record(file string, value *node, at *path) {
	o[at.String()] = Origin{File: file, Line: value.line}

	for name, member := range value.members {
		if !member.isNull() {
			o.record(file, member, at.key(name))
		}
	}

	for i, item := range value.items {
		o.record(file, item, at.index(i))
	}
}

// remove removes the origins of a value and of all values in it.
func (o origins) remove(value *node, at *path) {
	delete(o, at.String())

	for name, member := range value.members {
		o.remove(member, at.key(name))
	}

	for i, item := range value.items {
		o.remove(item, at.index(i))
	}
}

// mergeOverlay merges a file's patch into the present document, records the origins and returns the merged document.
func (o origins) mergeOverlay(file string, present, patch *node, at *path) *node {
	if present == nil || patch.members == nil || present.members == nil {
		if present != nil {
			o.remove(present, at)
		}

		o.record(file, patch, at)

		return patch
	}

	merged := &node{line: present.line, members: make(map[string]*node, len(present.members))}
	for name, member := range present.members {
		merged.members[name] = member
	}

	for name, member := range patch.members {
		inner := at.key(name)

		switch before := merged.members[name]; {
		case !member.isNull():
			merged.members[name] = o.mergeOverlay(file, before, member, inner)
		case before != nil:
			o.remove(before, inner)
			delete(merged.members, name)
		}
	}

	return merged
}

// checkFormatUnchanged reports an overlay that changes the format of the base file.
func (c *checker) checkFormatUnchanged(base, overlay *node, file string) {
	changed, found := overlay.members["format"]
	if !found {
		return
	}

	if kept, known := base.members["format"]; known && kept.messageText() == changed.messageText() {
		return
	}

	c.faultyPaths["format"] = true
	c.faults = append(c.faults, Fault{File: file, Line: changed.line, Path: "format", Value: changed.messageText(),
		Allowed: "an overlay may not change the format of the base file"})
}

// encodeJSON returns a value as JSON without insignificant space, or nil if it can't be encoded.
func encodeJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}

	return data
}
