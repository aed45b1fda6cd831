package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// secretKeys are the keys whose values are never shown.
//
//nolint:gochecknoglobals // The list is constant.
var secretKeys = []string{"verifier"}

// hiddenText is shown instead of a secret.
const hiddenText = "(hidden)"

// checker collects the faults of a merged document.
type checker struct {
	origins origins
	faults  Faults
	// faultyPaths holds the paths that have a fault, so that a faulty value that was dropped is not also reported as
	// missing.
	faultyPaths map[string]bool
}

func newChecker(from origins) *checker {
	return &checker{origins: from, faultyPaths: make(map[string]bool)}
}

// addFault adds a fault, unless the path or an enclosing one already has a fault. An empty value stands for a missing one.
func (c *checker) addFault(at *path, value, format string, args ...any) {
	for up := at; up != nil; up = up.parent {
		if c.faultyPaths[up.text] {
			return
		}
	}

	c.faultyPaths[at.String()] = true
	origin := c.origins.nearest(at)

	if value != "" && isSecret(at) {
		value = hiddenText
	}

	c.faults = append(c.faults, Fault{File: origin.File, Line: origin.Line, Path: at.String(), Value: value,
		Allowed: fmt.Sprintf(format, args...)})
}

func isSecret(at *path) bool {
	return at != nil && slices.ContainsFunc(secretKeys, func(key string) bool {
		return at.text == key || strings.HasSuffix(at.text, "."+key)
	})
}

//nolint:gochecknoglobals // The types are constant.
var (
	durationType = reflect.TypeFor[Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

// matchType compares a document with a Go type. It reports unknown keys, wrong types and wrong units, and returns the
// document without the faulty values, or nil if nothing is left.
func (c *checker) matchType(value *node, want reflect.Type, at *path) *node {
	if value.isNull() {
		return nil
	}

	kind := want.Kind()

	switch {
	case want == durationType:
		return c.matchDuration(value, at)
	case want == addressType:
		return c.matchAddress(value, at)
	case kind == reflect.Struct:
		return c.matchStruct(value, want, at)
	case kind == reflect.Map:
		return c.matchMap(value, want, at)
	case kind == reflect.Slice:
		return c.matchList(value, want, at)
	default:
		return c.matchScalar(value, want, at)
	}
}

func (c *checker) matchStruct(value *node, want reflect.Type, at *path) *node {
	if value.members == nil {
		c.addFault(at, value.messageText(), "want an object with the keys %s", strings.Join(jsonNames(want), ", "))

		return nil
	}

	kept := &node{line: value.line, members: make(map[string]*node)}

	for _, name := range sortedKeys(value.members) {
		field, found := fieldByJSONName(want, name)
		if !found {
			c.addFault(at.key(name), value.members[name].messageText(), "unknown key; allowed are %s",
				strings.Join(jsonNames(want), ", "))

			continue
		}

		if member := c.matchType(value.members[name], field.Type, at.key(name)); member != nil {
			kept.members[name] = member
		}
	}

	return kept
}

func (c *checker) matchMap(value *node, want reflect.Type, at *path) *node {
	if value.members == nil {
		c.addFault(at, value.messageText(), "want an object")

		return nil
	}

	kept := &node{line: value.line, members: make(map[string]*node)}

	for _, name := range sortedKeys(value.members) {
		if member := c.matchType(value.members[name], want.Elem(), at.key(name)); member != nil {
			kept.members[name] = member
		}
	}

	return kept
}

func (c *checker) matchList(value *node, want reflect.Type, at *path) *node {
	if value.items == nil {
		c.addFault(at, value.messageText(), "want a list")

		return nil
	}

	kept := &node{line: value.line, items: []*node{}}

	for i, item := range value.items {
		member := c.matchType(item, want.Elem(), at.index(i))
		if member == nil {
			// A zero value keeps the indexes of later elements right in the paths of faults.
			member = zeroNode(want.Elem())
		}

		kept.items = append(kept.items, member)
	}

	return kept
}

func zeroNode(of reflect.Type) *node {
	if of.Kind() == reflect.Struct && of != addressType {
		return &node{members: map[string]*node{}}
	}

	return &node{scalar: ""}
}

func (c *checker) matchDuration(value *node, at *path) *node {
	var parsed Duration
	if err := parsed.UnmarshalJSON([]byte(value.fullText())); err != nil {
		c.addFault(at, value.messageText(), `want a text of numbers with units, such as "1.5s" or "20ms"`)

		return nil
	}

	return value
}

func (c *checker) matchAddress(value *node, at *path) *node {
	text, isText := value.scalar.(string)
	if isText && text == "" {
		return value
	}

	if _, err := netip.ParseAddrPort(text); !isText || err != nil {
		c.addFault(at, value.messageText(), `want an IP address with a port, such as "10.1.0.5:5432" or "[fd00::5]:5432"`)

		return nil
	}

	return value
}

func (c *checker) matchScalar(value *node, want reflect.Type, at *path) *node {
	var (
		fits bool
		name = "a whole number"
	)

	kind := want.Kind()
	if kind == reflect.String {
		_, fits = value.scalar.(string)
		name = "a text"
	} else if kind == reflect.Bool {
		_, fits = value.scalar.(bool)
		name = "true or false"
	} else if number, isNumber := value.scalar.(json.Number); isNumber {
		_, err := strconv.ParseInt(number.String(), 10, strconv.IntSize)
		fits = err == nil
	}

	if !fits {
		c.addFault(at, value.messageText(), "want %s", name)

		return nil
	}

	return value
}

// fullText returns the node as JSON text, neither shortened nor redacted.
func (n *node) fullText() string {
	return string(encodeJSON(n))
}

// jsonNames returns the JSON keys of a struct type.
func jsonNames(of reflect.Type) []string {
	found := make([]string, 0, of.NumField())
	for i := range of.NumField() {
		found = append(found, jsonName(of.Field(i)))
	}

	return found
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")

	return name
}

func fieldByJSONName(of reflect.Type, name string) (reflect.StructField, bool) {
	for i := range of.NumField() {
		if jsonName(of.Field(i)) == name {
			return of.Field(i), true
		}
	}

	return reflect.StructField{}, false
}

func sortedKeys[T any](of map[string]T) []string {
	keys := make([]string, 0, len(of))
	for key := range of {
		keys = append(keys, key)
	}

	slices.Sort(keys)

	return keys
}
