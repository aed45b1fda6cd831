package proxy

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"almondgrade/core/statement"
)

// parameters are the session parameters that the caller has set. They are applied to each backend connection that the
// session uses. The zero value is ready to use.
type parameters struct {
	values map[string]string
	// setupSQL is the SQL text that sets all of them. Equal texts mean equal settings.
	setupSQL string
	// uncommitted holds the changes of the open transaction so far.
	uncommitted []parameterChange
}

// parameterChange is a SET or RESET, or a savepoint, in an open transaction.
type parameterChange struct {
	name      string
	value     string
	reset     bool
	savepoint bool
}

// setAtStartup sets a parameter from the startup packet.
func (p *parameters) setAtStartup(name, value string) {
	p.apply(parameterChange{name: strings.ToLower(name), value: value})
	p.rebuildSetupSQL()
}

// recordStatement records the effect of a completed statement on the parameters.
func (p *parameters) recordStatement(stmt *statement.Statement) {
	switch stmt.Kind {
	case statement.Set:
		if !stmt.Local {
			p.uncommitted = append(p.uncommitted, parameterChange{name: stmt.Name, value: stmt.Value})
		}
	case statement.Reset:
		if !stmt.Local {
			p.uncommitted = append(p.uncommitted, parameterChange{name: stmt.Name, reset: true})
		}
	case statement.Savepoint:
		p.uncommitted = append(p.uncommitted, parameterChange{name: stmt.Name, savepoint: true})
	case statement.RollbackTo:
		for at := len(p.uncommitted) - 1; at >= 0; at-- {
			if p.uncommitted[at].savepoint && p.uncommitted[at].name == stmt.Name {
				p.uncommitted = p.uncommitted[:at+1]

				return
			}
		}
	default:
	}
}

// commit applies the changes of the transaction.
func (p *parameters) commit() {
	if len(p.uncommitted) == 0 {
		return
	}

	for _, change := range p.uncommitted {
		p.apply(change)
	}

	p.uncommitted = p.uncommitted[:0]
	p.rebuildSetupSQL()
}

// rollback discards the changes of the transaction.
func (p *parameters) rollback() {
	p.uncommitted = p.uncommitted[:0]
}

// clear removes all parameters.
func (p *parameters) clear() {
	*p = parameters{}
}

func (p *parameters) apply(change parameterChange) {
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

func (p *parameters) rebuildSetupSQL() {
	var key strings.Builder

	for _, name := range slices.Sorted(maps.Keys(p.values)) {
		key.WriteString("SET " + quoteName(name) + " = " + p.values[name] + ";")
	}

	p.setupSQL = key.String()
}

// statementTimeout returns the session's statement_timeout, or zero if there is none.
func (p *parameters) statementTimeout() time.Duration {
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
