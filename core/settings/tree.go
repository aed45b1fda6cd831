package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// maxNestingLevels bounds the nesting of a document. Settings need fewer than ten levels.
const maxNestingLevels = 64

// node is a JSON value with its line number.
type node struct {
	line int
	// scalar is a string, bool, json.Number or nil. It is unused in objects and arrays.
	scalar any
	// keys holds the names of an object's members in order, members holds their values. members is nil unless the node is
	// an object.
	keys    []string
	members map[string]*node
	// items is nil unless the node is an array.
	items []*node
}

// parser parses a document into nodes and collects faults that the standard decoder doesn't report.
type parser struct {
	source  Source
	decoder *json.Decoder
	// countedOffset is the offset up to which lines have been counted.
	countedOffset int64
	line          int
	faults        Faults
}

// parse parses a document. The node is nil if the document can't be parsed.
func parse(source Source) (*node, Faults) {
	var whole any
	if err := json.Unmarshal(source.Data, &whole); err != nil {
		return nil, Faults{syntaxFault(source, err)}
	}

	decoder := json.NewDecoder(bytes.NewReader(source.Data))
	decoder.UseNumber()

	p := &parser{source: source, decoder: decoder, line: 1}

	root, err := p.value(nil, 0)
	if err != nil {
		return nil, append(p.faults, Fault{File: source.Name, Line: p.line, Allowed: err.Error()})
	}

	return root, p.faults
}

func syntaxFault(source Source, err error) Fault {
	fault := Fault{File: source.Name, Allowed: "not JSON: " + err.Error()}

	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		end := min(int(syntax.Offset), len(source.Data))
		fault.Line = 1 + bytes.Count(source.Data[:end], []byte{'\n'})
	}

	return fault
}

func (p *parser) token() (json.Token, error) {
	token, err := p.decoder.Token()
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}

	end := p.decoder.InputOffset()
	p.line += bytes.Count(p.source.Data[p.countedOffset:end], []byte{'\n'})
	p.countedOffset = end

	return token, nil
}

func (p *parser) value(at *path, depth int) (*node, error) {
	if depth > maxNestingLevels {
		return nil, fmt.Errorf("more than %d levels of nesting", maxNestingLevels)
	}

	token, err := p.token()
	if err != nil {
		return nil, err
	}

	found := &node{line: p.line}

	switch token {
	case json.Delim('{'):
		return found, p.object(found, at, depth)
	case json.Delim('['):
		return found, p.array(found, at, depth)
	default:
		found.scalar = token

		return found, nil
	}
}

func (p *parser) object(into *node, at *path, depth int) error {
	into.members = make(map[string]*node)

	for p.decoder.More() {
		token, err := p.token()
		if err != nil {
			return err
		}

		name, _ := token.(string)
		member := at.key(name)

		if first, found := into.members[name]; found {
			p.faults = append(p.faults, Fault{File: p.source.Name, Line: p.line, Path: member.String(),
				Allowed: "the key stands twice, first on line " + strconv.Itoa(first.line)})
		} else {
			into.keys = append(into.keys, name)
		}

		into.members[name], err = p.value(member, depth+1)
		if err != nil {
			return err
		}
	}

	_, err := p.token()

	return err
}

func (p *parser) array(into *node, at *path, depth int) error {
	into.items = []*node{}

	for p.decoder.More() {
		element := at.index(len(into.items))

		item, err := p.value(element, depth+1)
		if err != nil {
			return err
		}

		if item.isNull() {
			p.faults = append(p.faults, Fault{File: p.source.Name, Line: item.line, Path: element.String(),
				Value: "null", Allowed: "a list has no null elements"})
		}

		into.items = append(into.items, item)
	}

	_, err := p.token()

	return err
}

// isNull reports whether the node is JSON null.
func (n *node) isNull() bool {
	return n.members == nil && n.items == nil && n.scalar == nil
}

// MarshalJSON implements json.Marshaler.
func (n *node) MarshalJSON() ([]byte, error) {
	switch {
	case n.members != nil:
		return json.Marshal(n.members) //nolint:wrapcheck // Nodes come from valid JSON.
	case n.items != nil:
		return json.Marshal(n.items) //nolint:wrapcheck // Nodes come from valid JSON.
	default:
		return json.Marshal(n.scalar) //nolint:wrapcheck // Nodes come from valid JSON.
	}
}

// maxShownValueBytes bounds the part of a value that a message shows.
const maxShownValueBytes = 120

// messageText returns the node as JSON text for a message, shortened and with secrets hidden.
func (n *node) messageText() string {
	data := encodeJSON(n.redacted())

	if len(data) > maxShownValueBytes {
		return string(bytes.ToValidUTF8(data[:maxShownValueBytes], nil)) + "..."
	}

	return string(data)
}

// redacted returns a copy in which the values of secret keys are hidden.
func (n *node) redacted() *node {
	kept := &node{line: n.line, scalar: n.scalar}

	if n.members != nil {
		kept.members = make(map[string]*node, len(n.members))
	}

	for name, member := range n.members {
		if slices.Contains(secretKeys, name) && member.scalar != "" {
			kept.members[name] = &node{scalar: hiddenText}
		} else {
			kept.members[name] = member.redacted()
		}
	}

	if n.items != nil {
		kept.items = []*node{}
	}

	for _, item := range n.items {
		kept.items = append(kept.items, item.redacted())
	}

	return kept
}
