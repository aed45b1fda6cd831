package settings

import (
	"encoding/json"
	"os"
	"reflect"
)

// maxFileBytes bounds the size of a settings file or a change.
const maxFileBytes = 16 << 20

// Loaded holds the settings that were merged from files and checked. It is immutable.
type Loaded struct {
	Settings Settings
	// Files are the names of the files in the order in which they were merged.
	Files []string
	// Merged is the merged document without defaults.
	Merged  []byte
	origins origins
}

// Load reads, merges and checks a base file and overlays. The error is of type Faults and holds all faults.
func Load(base string, overlays ...string) (*Loaded, error) {
	var faults Faults

	files := append([]string{base}, overlays...)
	sources := make([]Source, 0, len(files))

	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			faults = append(faults, Fault{File: file, Allowed: err.Error()})

			continue
		}

		sources = append(sources, Source{Name: file, Data: data})
	}

	if len(faults) > 0 {
		return nil, faults
	}

	return Parse(sources[0], sources[1:]...)
}

// Parse is like Load, but takes the contents of the files.
func Parse(base Source, overlays ...Source) (*Loaded, error) {
	loaded, checked, faults := mergeSources(append([]Source{base}, overlays...))
	if len(faults) > 0 {
		return nil, faults
	}

	root, faults := parse(Source{Name: "merged", Data: loaded.Merged})
	if len(faults) > 0 {
		return nil, faults
	}

	loaded.Settings.Running = Defaults()

	kept := checked.matchType(root, reflect.TypeFor[Settings](), nil)
	checked.decode(kept, &loaded.Settings)
	loaded.Settings.fillDefaults()
	checked.checkSettings(&loaded.Settings)

	if err := checked.faults.err(); err != nil {
		return nil, err
	}

	return loaded, nil
}

// mergeSources parses and merges documents, and reports those that can't be parsed.
func mergeSources(sources []Source) (*Loaded, *checker, Faults) {
	var faults Faults

	loaded := &Loaded{origins: origins{}}
	trees := make([]*node, 0, len(sources))

	for _, source := range sources {
		tree, found := readSource(source)
		faults = append(faults, found...)
		trees = append(trees, tree)
		loaded.Files = append(loaded.Files, source.Name)
	}

	if len(faults) > 0 {
		return nil, nil, faults
	}

	checked := newChecker(loaded.origins)
	present := trees[0]
	loaded.origins.record(sources[0].Name, present, nil)
	loaded.Merged = sources[0].Data

	for i, tree := range trees[1:] {
		source := sources[i+1]
		checked.checkFormatUnchanged(trees[0], tree, source.Name)
		checked.faults = append(checked.faults, unknownRemovals(source.Name, tree, reflect.TypeFor[Settings](), nil)...)
		present = loaded.origins.mergeOverlay(source.Name, present, tree, nil)

		merged, err := Merge(loaded.Merged, source.Data)
		if err != nil {
			return nil, nil, Faults{{File: source.Name, Allowed: "not a merge patch: " + err.Error()}}
		}

		loaded.Merged = merged
	}

	return loaded, checked, nil
}

func readSource(source Source) (*node, Faults) {
	if len(source.Data) > maxFileBytes {
		return nil, Faults{{File: source.Name, Allowed: "the file is longer than 16 MiB"}}
	}

	tree, faults := parse(source)
	if tree != nil && tree.members == nil {
		faults = append(faults, Fault{File: source.Name, Line: tree.line, Value: tree.messageText(),
			Allowed: "want an object"})
	}

	return tree, faults
}

// unknownRemovals reports null values under unknown keys. The merge drops them, so that the merged document wouldn't
// show a misspelt key in an overlay that is meant to remove a value.
func unknownRemovals(file string, value *node, want reflect.Type, at *path) Faults {
	var faults Faults

	for _, name := range sortedKeys(value.members) {
		member := value.members[name]

		var inner reflect.Type

		switch {
		case want.Kind() == reflect.Map:
			inner = want.Elem()
		case want.Kind() == reflect.Struct:
			field, found := fieldByJSONName(want, name)
			if !found {
				if member.isNull() {
					faults = append(faults, Fault{File: file, Line: member.line, Path: at.key(name).String(),
						Value: "null", Allowed: "unknown key"})
				}

				continue
			}

			inner = field.Type
		default:
			continue
		}

		faults = append(faults, unknownRemovals(file, member, inner, at.key(name))...)
	}

	return faults
}

// decode unmarshals a document that matchType has accepted.
func (c *checker) decode(kept *node, into any) {
	if kept == nil {
		return
	}

	if err := json.Unmarshal(encodeJSON(kept), into); err != nil {
		c.addFault(nil, "", "%v", err)
	}
}

// CheckRunning parses and checks a complete running configuration, such as that of a change. Absent fields take their
// defaults. The returned configuration is valid only if there are no faults.
func CheckRunning(data []byte) (Running, Faults) {
	running := Defaults()

	root, faults := readSource(Source{Data: data})
	if len(faults) > 0 {
		return running, faults
	}

	checked := newChecker(origins{})
	checked.origins.record("", root, nil)

	kept := checked.matchType(root, reflect.TypeFor[Running](), nil)
	checked.decode(kept, &running)
	running.fillDefaults()
	checked.checkRunning(&running, nil)

	return running, checked.faults
}

// Value is a value of the merged settings, including defaults.
type Value struct {
	Path   string
	Text   string
	Origin Origin
}

// Values returns all values with their origins, sorted by path. Secrets are hidden.
func (l *Loaded) Values() []Value {
	flat := flatten(l.Settings)
	values := make([]Value, 0, len(flat))

	for _, name := range sortedKeys(flat) {
		values = append(values, Value{Path: name, Text: flat[name], Origin: l.origins[name]})
	}

	return values
}

// Origin returns the origin of the value at a JSON path.
func (l *Loaded) Origin(path string) Origin {
	return l.origins[path]
}
