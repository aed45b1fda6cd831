package settings

import "strings"

// Difference describes the changes from the first configuration to the second, one line for each JSON path:
// "+ path: new", "- path: old" or "~ path: old -> new". It is empty if they are equal. Secrets are hidden.
func Difference(before, after Running) string {
	before, after = before.withDefaults(), after.withDefaults()
	oldValues, newValues := flatten(before), flatten(after)
	paths := make(map[string]bool, len(oldValues)+len(newValues))

	for name := range oldValues {
		paths[name] = true
	}

	for name := range newValues {
		paths[name] = true
	}

	var lines strings.Builder

	for _, name := range sortedKeys(paths) {
		oldText, inOld := oldValues[name]
		newText, inNew := newValues[name]

		switch {
		case newText == "{}" || newText == "[]" || oldText == "{}" || oldText == "[]":
			// Added and removed members have lines of their own.
		case !inOld:
			lines.WriteString("+ " + name + ": " + newText + "\n")
		case !inNew:
			lines.WriteString("- " + name + ": " + oldText + "\n")
		case oldText != newText:
			lines.WriteString("~ " + name + ": " + oldText + " -> " + newText + "\n")
		case secretDiffers(name, before, after):
			lines.WriteString("~ " + name + ": " + oldText + " -> (another secret)\n")
		}
	}

	return lines.String()
}

// secretDiffers reports whether the path is a user's verifier that differs, which the hidden texts don't show.
func secretDiffers(name string, before, after Running) bool {
	for user := range before.Users {
		at := (*path)(nil).keys("users", user, "verifier")
		if at.text == name {
			return before.Users[user] != after.Users[user]
		}
	}

	return false
}

// withDefaults returns a copy in which absent fields have their defaults.
func (r Running) withDefaults() Running {
	copied, faults := r, Faults(nil)
	checked := newChecker(origins{})

	root, faults := parse(Source{Data: encodeJSON(r)})
	if len(faults) == 0 {
		copied = Running{}
		checked.decode(root, &copied)
	}

	copied.fillDefaults()

	return copied
}

// flatten maps the JSON paths of a document to its values. Secrets are hidden; empty lists and objects count as values.
func flatten(document any) map[string]string {
	flat := map[string]string{}

	if root, _ := parse(Source{Data: encodeJSON(document)}); root != nil {
		root.redacted().flattenInto(flat, nil)
	}

	return flat
}

func (n *node) flattenInto(flat map[string]string, at *path) {
	for name, member := range n.members {
		member.flattenInto(flat, at.key(name))
	}

	for i, item := range n.items {
		item.flattenInto(flat, at.index(i))
	}

	if len(n.members) == 0 && len(n.items) == 0 {
		flat[at.String()] = n.fullText()
	}
}
