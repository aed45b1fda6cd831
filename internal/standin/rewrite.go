package standin

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

type verb uint8

const (
	selectVerb = "select"
	valuesVerb = "values"
)

const (
	verbRead verb = iota
	verbWrite
	verbTemp
	verbBegin
	verbCommit
	verbRollback
	verbSavepoint
	verbSet
	verbShow
	verbReset
	verbDiscard
	verbSystem
	verbCopy
	verbNothing
)

// statement is one analysed SQL statement.
type statement struct {
	verb verb
	// words are the tokens without spaces and comments.
	words []token
	raw   string
	// tag is the command tag without a count; counted says whether a count belongs to it.
	tag     string
	counted bool
	// rows reports whether the statement returns rows.
	rows bool
	// locks reports whether a read takes row locks.
	locks bool
	cost  time.Duration
	// hasCost is true if the statement names its cost.
	hasCost bool
}

//nolint:gochecknoglobals // Constant tables.
var (
	plainName   = regexp.MustCompile(`^\w+$`)
	costComment = regexp.MustCompile(`/\*\s*cost\s+([0-9a-z.µ]+)\s*\*/`)
	verbs       = map[string]verb{
		"begin": verbBegin, "start": verbBegin, "commit": verbCommit, "end": verbCommit, "rollback": verbRollback,
		"abort": verbRollback, "savepoint": verbSavepoint, "release": verbSavepoint, "set": verbSet, "show": verbShow,
		"reset": verbReset, "discard": verbDiscard, "copy": verbCopy, selectVerb: verbRead, valuesVerb: verbRead,
		"table": verbRead, "explain": verbRead, "with": verbRead, "listen": verbNothing, "unlisten": verbNothing,
		"notify": verbNothing, "vacuum": verbNothing, "analyze": verbNothing, //nolint:misspell // The keyword of PostgreSQL.
		"checkpoint": verbNothing,
		"deallocate": verbNothing, "insert": verbWrite, "update": verbWrite, "delete": verbWrite, "create": verbWrite,
		"drop": verbWrite, "alter": verbWrite, "truncate": verbWrite, "lock": verbWrite, "comment": verbNothing,
		"grant": verbNothing, "revoke": verbNothing,
	}
	countedTags = map[string]string{
		"insert": "INSERT 0", "update": "UPDATE", "delete": "DELETE", selectVerb: "SELECT", valuesVerb: "SELECT",
		"table": "SELECT",
	}
)

// analyse describes the statement that the tokens form.
func analyse(tokens []token) (*statement, error) {
	st := &statement{}

	var raw strings.Builder

	for _, t := range tokens {
		raw.WriteString(t.raw)

		if t.kind != space {
			st.words = append(st.words, t)
		}
	}

	st.raw = raw.String()

	if found := costComment.FindStringSubmatch(st.raw); found != nil {
		if cost, err := time.ParseDuration(found[1]); err == nil {
			st.cost, st.hasCost = cost, true
		}
	}

	if len(st.words) == 0 {
		st.verb = verbNothing
		return st, nil
	}

	first := strings.ToLower(st.words[0].raw)
	if first == "(" {
		first = selectVerb
	}

	known, ok := verbs[first]
	if !ok {
		return nil, errorf(stateSyntax, "syntax error at or near %q", st.words[0].raw)
	}

	st.verb = known
	st.classify(first)

	return st, nil
}

func (st *statement) classify(first string) {
	main := first
	if first == "with" {
		main = st.mainVerb()
		st.verb = verbs[main]
	}

	st.tag, st.counted = countedTags[main], countedTags[main] != ""
	if st.tag == "" {
		st.tag = strings.ToUpper(first)
	}

	switch main {
	case "create", "drop", "alter":
		st.classifyDefinition(main)
	case "insert", "update", "delete":
		st.rows = st.has("returning")
	case selectVerb, valuesVerb, "table", "explain":
		st.rows = true
		st.locks = st.sequence("for", "update") || st.sequence("for", "share") || st.sequence("for", "no")
	case "truncate":
		st.tag = "TRUNCATE TABLE"
	case "start":
		st.tag = "START TRANSACTION"
	case "end":
		st.tag = "COMMIT"
	case "abort":
		st.tag = "ROLLBACK"
	case "lock":
		st.tag = "LOCK TABLE"
	}
}

func (st *statement) classifyDefinition(first string) {
	rest := st.words[1:]
	for len(rest) > 1 && rest[0].is("or", "replace", "temp", "temporary", "unique", "global", "local", "unlogged") {
		if rest[0].is("temp", "temporary") {
			st.verb = verbTemp
		}

		rest = rest[1:]
	}

	if len(rest) > 0 {
		st.tag = strings.ToUpper(first + " " + rest[0].raw)
	}

	if first == "alter" && len(rest) > 0 && rest[0].is("system") {
		st.verb, st.tag = verbSystem, "ALTER SYSTEM"
	}
}

// mainVerb returns the verb of a statement that begins with WITH.
func (st *statement) mainVerb() string {
	depth, main := 0, selectVerb

	for _, t := range st.words {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case t.is("insert", "update", "delete"):
			if depth == 0 {
				return strings.ToLower(t.raw)
			}
		}
	}

	return main
}

func (st *statement) has(keyword string) bool {
	for _, t := range st.words {
		if t.is(keyword) {
			return true
		}
	}

	return false
}

// sequence reports whether two keywords follow each other.
func (st *statement) sequence(first, second string) bool {
	for i := 1; i < len(st.words); i++ {
		if st.words[i-1].is(first) && st.words[i].is(second) {
			return true
		}
	}

	return false
}

func (st *statement) is(verbs ...verb) bool {
	return slices.Contains(verbs, st.verb)
}

// runsSQL reports whether SQLite runs the statement.
func (st *statement) runsSQL() bool {
	return st.is(verbRead, verbWrite, verbTemp)
}

// at returns the word at an index, or a token that equals nothing.
func (st *statement) at(i int) token {
	if i < 0 || i >= len(st.words) {
		return token{}
	}

	return st.words[i]
}

// functionPrefix begins the names of the server's own SQL functions. Their first argument is the key of the
// environment that they run in.
const functionPrefix = "ag_"

// sqliteInteger is the type name that makes a primary key an alias of SQLite's row number.
const sqliteInteger = "INTEGER"

//nolint:gochecknoglobals // Constant tables.
var (
	castTypes = map[string]string{
		"int": sqliteInteger, "int2": sqliteInteger, "int4": sqliteInteger, "int8": sqliteInteger,
		"integer": sqliteInteger, "bigint": sqliteInteger, "smallint": sqliteInteger, "oid": sqliteInteger, "float4": "REAL", "float8": "REAL", "real": "REAL",
		"double": "REAL", "numeric": "NUMERIC", "decimal": "NUMERIC", "bytea": "BLOB",
	}
	// beforeOperand are the keywords that may precede an expression in parentheses.
	beforeOperand = []string{
		selectVerb, "where", "and", "or", "not", "in", valuesVerb, "on", "when", "then", "else", "case", "from", "by", "set",
		"returning", "having", "limit", "offset", "as", "between", "like", "distinct", "all",
	}
	serialTypes = []string{"serial", "bigserial", "smallserial", "serial4", "serial8"}
	viewColumns = map[string][]string{
		"pg_stat_activity": {
			"pid", "datname", userName, applicationName, clientAddress, "state", "query", "backend_type",
		},
		"pg_stat_replication": {
			"pid", userName, applicationName, clientAddress, "state", "sent_lsn", "write_lsn", "flush_lsn",
			"replay_lsn", "sync_state",
		},
		"pg_stat_wal_receiver": {
			"pid", "status", "flushed_lsn", "last_msg_receipt_time", "sender_host", "sender_port", "conninfo",
		},
		"pg_settings": {"name", "setting"},
	}
)

// rewriter turns PostgreSQL syntax into SQLite syntax.
type rewriter struct {
	key   int64
	in    []token
	pos   int
	out   []string
	epoch int
	depth int
}

// rewrite returns the SQLite text of a statement, for functions that run in the environment with the given key.
func (st *statement) rewrite(key int64) string {
	r := &rewriter{key: key, in: st.words, epoch: -1}
	for r.pos = 0; r.pos < len(r.in); r.pos++ {
		r.step()
	}

	return strings.Join(r.out, " ")
}

func (r *rewriter) peek(offset int) token {
	if i := r.pos + offset; i >= 0 && i < len(r.in) {
		return r.in[i]
	}

	return token{}
}

func (r *rewriter) emit(parts ...string) {
	r.out = append(r.out, parts...)
}

func (r *rewriter) step() {
	t := r.in[r.pos]

	switch t.kind {
	case parameter:
		r.emit("?" + t.raw[1:])
	case text:
		r.emit(literal(literalValue(t.raw)))
	case word:
		r.word(t)
	case symbol:
		r.symbol(t)
	default:
		r.emit(t.raw)
	}
}

func (r *rewriter) symbol(t token) {
	switch {
	case t.is("::"):
		r.pos++
		r.cast(r.operand(), r.typeName())

		return
	case t.is("("):
		r.depth++
	case t.is(")"):
		r.depth--

		if r.depth == r.epoch {
			r.epoch = -1
		}
	}

	// Operators of several characters must stay together.
	previous := r.peek(-1)
	if len(r.out) > 0 && previous.is("<", ">", "=", "!", "|", "-") && t.is("<", ">", "=", "|") {
		r.out[len(r.out)-1] += t.raw
		return
	}

	r.emit(t.raw)
}

func (r *rewriter) word(t token) {
	name := strings.ToLower(t.raw)

	switch {
	case r.skip(name):
	case viewColumns[name] != nil && r.peek(-1).is("from", "join", ",", "."):
		r.view(name)
	case name == "extract" && r.peek(1).is("(") && r.peek(2).is("epoch") && r.peek(3).is("from"):
		r.epoch = r.depth
		r.depth++
		r.pos += 3
		r.emit("(")
	case functions[name] != nil && r.peek(1).is("("):
		r.call(name)
	case name == "current_user" || name == "session_user":
		r.emit(functionPrefix+"current_user(", fmt.Sprint(r.key), ")")
	case name == "like":
		r.emit(t.raw)
		r.like()
	case name == "truncate":
		r.emit("DELETE FROM")

		if r.peek(1).is("table") {
			r.pos++
		}
	case r.definition(t):
	default:
		r.emit(t.raw)
	}
}

// definition rewrites what occurs in column definitions.
func (r *rewriter) definition(t token) bool {
	switch {
	case t.is("default") && r.peek(1).is("now") && r.peek(2).is("("):
		r.emit("DEFAULT CURRENT_TIMESTAMP")
		r.pos += 3
	case t.is(serialTypes...):
		r.emit(sqliteInteger)
	default:
		return false
	}

	return true
}

// skip leaves out the names of built-in schemas and the clause for row locks, which the server takes itself.
func (r *rewriter) skip(name string) bool {
	switch {
	case (name == "public" || name == "pg_catalog") && r.peek(1).is("."):
		r.pos++
	case name == "for" && r.peek(1).is("update", "share", "no", "key") && r.depth == 0:
		r.pos = len(r.in)
	default:
		return false
	}

	return true
}

// call writes the call of a server function up to its first argument.
func (r *rewriter) call(name string) {
	if name == "now" && r.epoch >= 0 {
		name = "now_epoch"
	}

	r.emit(functionPrefix+name+"(", fmt.Sprint(r.key))
	r.pos++
	r.depth++

	if !r.peek(1).is(")") {
		r.emit(",")
	}
}

func (r *rewriter) view(name string) {
	columns := make([]string, len(viewColumns[name]))
	for i, column := range viewColumns[name] {
		columns[i] = fmt.Sprintf("json_extract(value, '$.%s') AS %s", column, column)
	}

	r.emit(fmt.Sprintf("(SELECT %s FROM json_each(%sview(%d, '%s')))",
		strings.Join(columns, ", "), functionPrefix, r.key, name))

	if next := r.peek(1); next.kind != word || next.is("where", "group", "order", "limit", "join", "cross", "left") {
		r.emit("AS", name)
	}
}

// like adds PostgreSQL's default escape character.
func (r *rewriter) like() {
	next := r.peek(1)
	if (next.kind == text || next.kind == parameter) && !r.peek(2).is("escape", "|") {
		r.pos++
		r.step()
		r.emit(`ESCAPE '\'`)
	}
}

// operand removes the operand that was written last and returns it.
func (r *rewriter) operand() string {
	depth, from := 0, len(r.out)

	for from > 0 {
		from--
		depth += nesting(r.out[from])

		if depth > 0 {
			continue
		}

		if from > 0 && r.out[from-1] == "." {
			from--
			continue
		}

		if r.out[from] == "(" && from > 0 && plainName.MatchString(r.out[from-1]) &&
			!(token{word, r.out[from-1]}).is(beforeOperand...) {
			from--
		}

		break
	}

	operand := strings.Join(r.out[from:], " ")
	r.out = r.out[:from]

	return operand
}

// nesting returns how many more parentheses a piece of output closes than it opens.
func nesting(piece string) int {
	if strings.HasPrefix(piece, "'") || strings.HasPrefix(piece, `"`) {
		return 0
	}

	return strings.Count(piece, ")") - strings.Count(piece, "(")
}

// typeName reads a type name at the position and leaves the position at its last token.
func (r *rewriter) typeName() string {
	name := strings.ToLower(r.peek(0).raw)

	if name == "double" && r.peek(1).is("precision") {
		r.pos++
	}

	if r.peek(1).is("(") {
		for r.pos+1 < len(r.in) && !r.in[r.pos].is(")") {
			r.pos++
		}
	}

	return name
}

func (r *rewriter) cast(operand, name string) {
	switch {
	case name == "bool" || name == "boolean":
		r.emit(functionPrefix + "bool(0, " + operand + ")")
	case castTypes[name] != "":
		r.emit("CAST(" + operand + " AS " + castTypes[name] + ")")
	default:
		r.emit("CAST(" + operand + " AS TEXT)")
	}
}
