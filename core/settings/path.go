package settings

import (
	"regexp"
	"strconv"
)

// plainKey matches keys that need no quotes in a path.
var plainKey = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)

// path is a JSON path as text, linked to the path of the enclosing value. The nil path is the root.
type path struct {
	text   string
	parent *path
}

func (p *path) String() string {
	if p == nil {
		return ""
	}

	return p.text
}

// key returns the path of a member of an object.
func (p *path) key(name string) *path {
	switch {
	case !plainKey.MatchString(name):
		return &path{text: p.String() + "[" + strconv.Quote(name) + "]", parent: p}
	case p == nil:
		return &path{text: name}
	default:
		return &path{text: p.text + "." + name, parent: p}
	}
}

// index returns the path of an element of an array.
func (p *path) index(i int) *path {
	return &path{text: p.String() + "[" + strconv.Itoa(i) + "]", parent: p}
}

// keys returns the path of a member of nested objects.
func (p *path) keys(names ...string) *path {
	for _, name := range names {
		p = p.key(name)
	}

	return p
}
