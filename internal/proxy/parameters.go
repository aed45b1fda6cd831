package proxy

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"almondgrade/core/statement"
)

// parameters are the session parameters that the caller has set. They are replayed on each backend connection that
// the session uses. The zero value is ready to use.
type parameters struct {
	values map[string]string
	// key is the SQL text that sets all of them. Equal keys mean equal settings.
	key string
	// changes are what the open transaction has changed so far.
	changes []change
}

// change is a SET or RESET, or a savepoint, in an open transaction.
type change struct {
	name      string
	value     string
	reset     bool
	savepoint bool
}

// start sets a parameter from the startup packet.
func (p *parameters) start(name, value string) {
	p.apply(change{name: strings.ToLower(name), value: value})
	p.rekey()
}

// note records a statement that was completed.
func (p *parameters) note(done *statement.Statement) {
	switch done.Kind {
	case statement.Set:
		if !done.Local {
			p.changes = append(p.changes, change{name: done.Name, value: done.Value})
		}
	case statement.Reset:
		if !done.Local {
			p.changes = append(p.changes, change{name: done.Name, reset: true})
		}
	case statement.Savepoint:
		p.changes = append(p.changes, change{name: done.Name, savepoint: true})
	case statement.RollbackTo:
		for at := len(p.changes) - 1; at >= 0; at-- {
			if p.changes[at].savepoint && p.changes[at].name == done.Name {
				p.changes = p.changes[:at+1]

				return
			}
		}
	default:
	}
}

// commit puts the changes of the transaction into force.
func (p *parameters) commit() {
	if len(p.changes) == 0 {
		return
	}

	for _, change := range p.changes {
		p.apply(change)
	}

	p.changes = p.changes[:0]
	p.rekey()
}

// rollback drops the changes of the transaction.
func (p *parameters) rollback() {
	p.changes = p.changes[:0]
}

// clear drops all parameters.
func (p *parameters) clear() {
	*p = parameters{}
}

func (p *parameters) apply(change change) {
	switch {
	case change.savepoint:
	case change.reset && change.name == "all":
		clear(p.values)
	case change.reset:
		delete(p.values, change.name)
	default:
		if p.values == nil {
			p.values = make(map[string]string)
		}

		p.values[change.name] = change.value
	}
}

func (p *parameters) rekey() {
	var key strings.Builder

	for _, name := range slices.Sorted(maps.Keys(p.values)) {
		key.WriteString("SET " + quoteName(name) + " = " + p.values[name] + ";")
	}

	p.key = key.String()
}

// timeout returns the session's statement_timeout, or zero.
func (p *parameters) timeout() time.Duration {
	value := strings.Trim(p.values["statement_timeout"], "'")
	if value == "" {
		return 0
	}

	if milliseconds, err := strconv.ParseInt(value, 10, 64); err == nil {
		return time.Duration(milliseconds) * time.Millisecond
	}

	span, err := time.ParseDuration(strings.ReplaceAll(strings.ReplaceAll(value, " ", ""), "min", "m"))
	if err != nil {
		return 0
	}

	return span
}

// quoteName quotes the parts of a parameter's name unless they are plain identifiers.
func quoteName(name string) string {
	if strings.Trim(name, "abcdefghijklmnopqrstuvwxyz_.") == "" {
		return name
	}

	parts := strings.Split(name, ".")
	for i, part := range parts {
		parts[i] = `"` + strings.ReplaceAll(part, `"`, `""`) + `"`
	}

	return strings.Join(parts, ".")
}

func quoteLiteral(value string) string {
	return "'" + strings.ReplaceAll(value, "'", "''") + "'"
}
