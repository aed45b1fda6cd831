package standin

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const defaultReadOnlyName = "default_transaction_read_only"

// settings holds the parameters that a session has set.
type settings struct {
	values   map[string]string
	defaults map[string]string
	// saved holds the values at the start of the transaction; local names the parameters that SET LOCAL has set.
	saved map[string]string
	local map[string]bool
}

func (c *settings) init() {
	c.values = map[string]string{}
	c.local = map[string]bool{}
}

// saveDefaults makes the current values the ones that RESET restores.
func (c *settings) saveDefaults() {
	c.defaults = maps.Clone(c.values)
}

func (c *settings) save() {
	c.saved = maps.Clone(c.values)
}

func (c *settings) restore() {
	if c.saved != nil {
		c.values, c.saved = c.saved, nil
	}

	clear(c.local)
}

// revertLocal reverts the effect of SET LOCAL at a commit.
func (c *settings) revertLocal() {
	for name := range c.local {
		if value, ok := c.saved[name]; ok {
			c.values[name] = value
		} else {
			delete(c.values, name)
		}
	}

	clear(c.local)
	c.saved = nil
}

//nolint:gochecknoglobals // Constant tables.
var (
	// reported holds the parameters that are sent to the client at startup and on every change.
	reported = []string{
		"server_version", "server_encoding", "client_encoding", applicationName, defaultReadOnlyName,
		"in_hot_standby", "is_superuser", "session_authorization", "DateStyle", "IntervalStyle", "TimeZone",
		"integer_datetimes", "standard_conforming_strings",
	}
	parameterDefaults = map[string]string{
		"server_version": "16.0", "server_version_num": "160000", "server_encoding": "UTF8", "client_encoding": "UTF8",
		"is_superuser": "on", "datestyle": "ISO, MDY", "intervalstyle": "postgres", "timezone": "UTC",
		"integer_datetimes": "on", "standard_conforming_strings": "on", "statement_timeout": "0", "lock_timeout": "0",
		"idle_in_transaction_session_timeout": "0", "search_path": `"$user", public`, "extra_float_digits": "1",
		"transaction_isolation": "read committed", "default_transaction_isolation": "read committed",
		"bytea_output": "hex", "client_min_messages": "notice", "synchronous_commit": "on", "work_mem": "4MB",
		applicationName: "", "primary_conninfo": "", "row_security": "on", "max_connections": "0",
	}
)

// parameterValue returns the value of a parameter.
func (s *session) parameterValue(name string) (string, error) {
	name = strings.ToLower(name)

	switch name {
	case "transaction_read_only":
		return onOff(!s.srv.isPrimary() || s.tx.started && s.tx.readOnly || !s.tx.started && s.defaultReadOnly()), nil
	case defaultReadOnlyName:
		return onOff(s.defaultReadOnly()), nil
	case "in_hot_standby":
		return onOff(!s.srv.isPrimary()), nil
	case "session_authorization":
		return s.user, nil
	case "primary_conninfo":
		return s.srv.setting(name), nil
	case "max_connections":
		return strconv.FormatInt(s.srv.member.maxConnections.Load(), 10), nil
	}

	if value, ok := s.settings.values[name]; ok {
		return value, nil
	}

	if value, ok := parameterDefaults[name]; ok {
		return value, nil
	}

	return "", unknownParameter(name)
}

func (s *session) parameterNames() []string {
	return slices.Sorted(maps.Keys(parameterDefaults))
}

func unknownParameter(name string) error {
	return errorf(stateUndefinedParameter, "parameter %q is not known", name)
}

func onOff(on bool) string {
	if on {
		return "on"
	}

	return "off"
}

func (s *session) defaultReadOnly() bool {
	value, ok := s.settings.values[defaultReadOnlyName]
	if !ok {
		value = s.srv.setting(defaultReadOnlyName)
	}

	on, err := parseBool(value)

	return on && err == nil
}

// statementTimeout returns the parameter statement_timeout; zero means none.
func (s *session) statementTimeout() time.Duration {
	return s.durationParameter("statement_timeout")
}

// durationParameter returns a parameter that is a duration; a value without a unit is in milliseconds.
func (s *session) durationParameter(name string) time.Duration {
	value := s.settings.values[name]
	if millis, err := strconv.Atoi(value); err == nil {
		return time.Duration(millis) * time.Millisecond
	}

	period, _ := time.ParseDuration(strings.ReplaceAll(value, "min", "m"))

	return period
}

// setParameter sets a parameter of the session, or until the end of the transaction if local is true.
func (s *session) setParameter(name, value string, local bool) error {
	name = strings.ToLower(name)
	_, known := parameterDefaults[name]

	switch {
	case name == "primary_conninfo":
		return errorf("55P02", "parameter %q cannot be changed now", name)
	case name == "transaction_read_only":
		return s.setCharacteristics([]token{{tokenWord, "read"}, {tokenWord, map[bool]string{true: "only", false: "write"}[value == "on"]}})
	case name == defaultReadOnlyName:
		if _, err := parseBool(value); err != nil {
			return err
		}
	case !known && !strings.Contains(name, "."):
		return unknownParameter(name)
	}

	if local {
		s.settings.local[name] = true
	} else {
		delete(s.settings.local, name)
	}

	s.settings.values[name] = value
	s.reportParameter(name)

	return nil
}

// reportParameter sends a changed parameter to the client if it is a reported one. A changed application name also
// becomes visible in pg_stat_activity and to partitions.
func (s *session) reportParameter(name string) {
	value, _ := s.parameterValue(name)

	if name == applicationName {
		s.mu.Lock()
		s.application = value
		s.mu.Unlock()
		s.link.setPeer(value)
	}

	for _, report := range reported {
		if strings.EqualFold(report, name) && s.settings.defaults != nil {
			s.backend.Send(&pgproto3.ParameterStatus{Name: report, Value: value})
		}
	}
}

// runSet executes SET.
func (s *session) runSet(st *statement) error {
	words := st.words[1:]
	local := false

	if len(words) > 0 && words[0].is("session", "local") {
		local = words[0].is("local")
		words = words[1:]
	}

	switch {
	case len(words) == 0:
		return errorf(stateSyntax, "syntax error at end of input")
	case words[0].is("transaction"):
		return s.setCharacteristics(words)
	case words[0].is("characteristics"):
		for i := range words[:len(words)-1] {
			if words[i].is("read") {
				return s.setParameter(defaultReadOnlyName, onOff(words[i+1].is("only")), false)
			}
		}

		return nil
	case words[0].is("time") && len(words) > 2 && words[1].is("zone"):
		return s.setParameter("timezone", settingValue(words[2:]), local)
	case words[0].is("names") && len(words) > 1:
		return s.setParameter("client_encoding", settingValue(words[1:]), local)
	}

	name, value, found := assignment(words)
	if !found {
		return errorf(stateSyntax, "syntax error in SET")
	}

	if len(value) == 1 && value[0].is("default") {
		return s.resetParameter(name)
	}

	return s.setParameter(name, settingValue(value), local)
}

// assignment parses NAME = VALUE or NAME TO VALUE.
func assignment(words []token) (name string, value []token, found bool) {
	for i, t := range words {
		if t.is("=", "to") {
			return name, words[i+1:], i > 0 && i+1 < len(words)
		}

		name += strings.Trim(t.raw, `"`)
	}

	return name, nil, false
}

func settingValue(words []token) string {
	var value strings.Builder

	for _, t := range words {
		switch {
		case t.is(","):
			value.WriteString(", ")
		case t.kind == tokenString:
			value.WriteString(unquoteLiteral(t.raw))
		default:
			value.WriteString(strings.Trim(t.raw, `"`))
		}
	}

	return value.String()
}

func (s *session) resetParameter(name string) error {
	name = strings.ToLower(name)

	if name != "all" {
		if _, err := s.parameterValue(name); err != nil {
			return err
		}
	}

	for _, key := range slices.Collect(maps.Keys(s.settings.values)) {
		if name != "all" && name != key {
			continue
		}

		if value, ok := s.settings.defaults[key]; ok {
			s.settings.values[key] = value
		} else {
			delete(s.settings.values, key)
		}

		s.reportParameter(key)
	}

	return nil
}

// discardAll executes DISCARD ALL.
func (s *session) discardAll() error {
	if s.tx.inBlock {
		return errorf(stateActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}

	for name := range s.temporaryTables {
		if _, err := s.sqliteConn.ExecContext(s.ctx, "DROP TABLE IF EXISTS temp."+quoteLiteral(name)); err != nil {
			return err
		}
	}

	clear(s.temporaryTables)
	clear(s.preparedStatements)
	s.srv.advisory.unlockAll(s, false)

	return s.resetParameter("all")
}

// runAlterSystem executes ALTER SYSTEM SET or RESET.
func (s *session) runAlterSystem(st *statement) error {
	if s.tx.inBlock {
		return errorf(stateActiveTransaction, "ALTER SYSTEM cannot run inside a transaction block")
	}

	words := st.words[2:]

	switch {
	case len(words) > 1 && words[0].is("reset"):
		return s.srv.alterSystem(strings.ToLower(words[1].raw), "", true)
	case len(words) > 1 && words[0].is("set"):
		name, value, found := assignment(words[1:])
		name = strings.ToLower(name)

		if _, known := parameterDefaults[name]; !known && name != defaultReadOnlyName {
			return unknownParameter(name)
		}

		if found {
			return s.srv.alterSystem(name, settingValue(value), false)
		}
	}

	return errorf(stateSyntax, "syntax error in ALTER SYSTEM")
}
