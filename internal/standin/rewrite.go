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
	verbTempTable
	verbBegin
	verbCommit
	verbRollback
	verbSavepoint
	verbSet
	verbShow
	verbReset
	verbDiscard
	verbAlterSystem
	verbCopy
	verbIgnored
)

// statement is one analysed SQL statement.
type statement struct {
	verb verb
	// words are the tokens without spaces and comments.
	words []token
	raw   string
	// tag is the command tag without the row count; tagHasCount reports whether the count belongs to the tag.
	tag         string
	tagHasCount bool
	// returnsRows reports whether the statement returns rows.
	returnsRows bool
	// locksRows reports whether a SELECT takes row locks.
	locksRows bool
	cost      time.Duration
	// hasCost is true if cost overrides Options.StatementCost.
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
		"table": verbRead, "explain": verbRead, "with": verbRead, "listen": verbIgnored, "unlisten": verbIgnored,
		"notify": verbIgnored, "vacuum": verbIgnored, "analyze": verbIgnored, //nolint:misspell // PostgreSQL keyword.
		"checkpoint": verbIgnored,
		"deallocate": verbIgnored, "insert": verbWrite, "update": verbWrite, "delete": verbWrite, "create": verbWrite,
		"drop": verbWrite, "alter": verbWrite, "truncate": verbWrite, "lock": verbWrite, "comment": verbIgnored,
		"grant": verbIgnored, "revoke": verbIgnored,
	}
	countedTags = map[string]string{
		"insert": "INSERT 0", "update": "UPDATE", "delete": "DELETE", selectVerb: "SELECT", valuesVerb: "SELECT",
		"table": "SELECT",
	}
)

// analyse returns the statement that the tokens form.
func analyse(tokens []token) (*statement, error) {
	st := &statement{}

	var raw strings.Builder

	for _, t := range tokens {
		raw.WriteString(t.raw)

		if t.kind != tokenSpace {
			st.words = append(st.words, t)
		}
	}

	st.raw = raw.String()

	if match := costComment.FindStringSubmatch(st.raw); match != nil {
		if cost, err := time.ParseDuration(match[1]); err == nil {
			st.cost, st.hasCost = cost, true
		}
	}

	if len(st.words) == 0 {
		st.verb = verbIgnored
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

	st.tag, st.tagHasCount = countedTags[main], countedTags[main] != ""
	if st.tag == "" {
		st.tag = strings.ToUpper(first)
	}

	switch main {
	case "create", "drop", "alter":
		st.classifyDefinition(main)
	case "insert", "update", "delete":
		st.returnsRows = st.hasKeyword("returning")
	case selectVerb, valuesVerb, "table", "explain":
		st.returnsRows = true
		st.locksRows = st.hasKeywordPair("for", "update") || st.hasKeywordPair("for", "share") || st.hasKeywordPair("for", "no")
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
			st.verb = verbTempTable
		}

		rest = rest[1:]
	}

	if len(rest) > 0 {
		st.tag = strings.ToUpper(first + " " + rest[0].raw)
	}

	if first == "alter" && len(rest) > 0 && rest[0].is("system") {
		st.verb, st.tag = verbAlterSystem, "ALTER SYSTEM"
	}
}

// mainVerb returns the verb that follows the WITH clause of a statement.
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

func (st *statement) hasKeyword(keyword string) bool {
	for _, t := range st.words {
		if t.is(keyword) {
			return true
		}
	}

	return false
}

// hasKeywordPair reports whether the statement has the first keyword directly before the second.
func (st *statement) hasKeywordPair(first, second string) bool {
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

// runsInSQLite reports whether SQLite executes the statement.
func (st *statement) runsInSQLite() bool {
	return st.is(verbRead, verbWrite, verbTempTable)
}

// wordAt returns the word at an index, or an empty token if the index is out of range.
func (st *statement) wordAt(i int) token {
	if i < 0 || i >= len(st.words) {
		return token{}
	}

	return st.words[i]
}

// functionPrefix is the prefix of the names under which the server's SQL functions are registered in SQLite. Their
// first argument is the key of the environment that they run in.
const functionPrefix = "ag_"

// sqliteInteger is the type name that makes a primary key an alias of SQLite's rowid.
const sqliteInteger = "INTEGER"

//nolint:gochecknoglobals // Constant tables.
var (
	castTypes = map[string]string{
		"int": sqliteInteger, "int2": sqliteInteger, "int4": sqliteInteger, "int8": sqliteInteger,
		"integer": sqliteInteger, "bigint": sqliteInteger, "smallint": sqliteInteger, "oid": sqliteInteger, "float4": "REAL", "float8": "REAL", "real": "REAL",
		"double": "REAL", "numeric": "NUMERIC", "decimal": "NUMERIC", "bytea": "BLOB",
	}
	// keywordsBeforeParenthesis holds the keywords that may precede an expression in parentheses; other names before a
	// parenthesis are function names.
	keywordsBeforeParenthesis = []string{
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

// rewriter rewrites PostgreSQL syntax to SQLite syntax.
type rewriter struct {
	environmentKey int64
	in             []token
	pos            int
	out            []string
	epochDepth     int
	depth          int
}

// rewrite returns the SQLite text of a statement. Its function calls run in the environment with the given key.
func (st *statement) rewrite(key int64) string {
	r := &rewriter{environmentKey: key, in: st.words, epochDepth: -1}
	for r.pos = 0; r.pos < len(r.in); r.pos++ {
		r.rewriteToken()
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

func (r *rewriter) rewriteToken() {
	t := r.in[r.pos]

	switch t.kind {
	case tokenParameter:
		r.emit("?" + t.raw[1:])
	case tokenString:
		r.emit(quoteLiteral(unquoteLiteral(t.raw)))
	case tokenWord:
		r.rewriteWord(t)
	case tokenSymbol:
		r.rewriteSymbol(t)
	default:
		r.emit(t.raw)
	}
}

func (r *rewriter) rewriteSymbol(t token) {
	switch {
	case t.is("::"):
		r.pos++
		r.emitCast(r.takeOperand(), r.readTypeName())

		return
	case t.is("("):
		r.depth++
	case t.is(")"):
		r.depth--

		if r.depth == r.epochDepth {
			r.epochDepth = -1
		}
	}

	// The tokenizer splits operators of several characters; SQLite requires them without spaces.
	previous := r.peek(-1)
	if len(r.out) > 0 && previous.is("<", ">", "=", "!", "|", "-") && t.is("<", ">", "=", "|") {
		r.out[len(r.out)-1] += t.raw
		return
	}

	r.emit(t.raw)
}

func (r *rewriter) rewriteWord(t token) {
	name := strings.ToLower(t.raw)

	switch {
	case r.skipUnsupported(name):
	case viewColumns[name] != nil && r.peek(-1).is("from", "join", ",", "."):
		r.rewriteView(name)
	case name == "extract" && r.peek(1).is("(") && r.peek(2).is("epoch") && r.peek(3).is("from"):
		r.epochDepth = r.depth
		r.depth++
		r.pos += 3
		r.emit("(")
	case sqlFunctions[name] != nil && r.peek(1).is("("):
		r.rewriteCall(name)
	case name == "current_user" || name == "session_user":
		r.emit(functionPrefix+"current_user(", fmt.Sprint(r.environmentKey), ")")
	case name == "like":
		r.emit(t.raw)
		r.rewriteLike()
	case name == "truncate":
		r.emit("DELETE FROM")

		if r.peek(1).is("table") {
			r.pos++
		}
	case r.rewriteDefinition(t):
	default:
		r.emit(t.raw)
	}
}

// rewriteDefinition rewrites serial types and a default of now() in column definitions. It reports whether it did.
func (r *rewriter) rewriteDefinition(t token) bool {
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

// skipUnsupported omits the names of built-in schemas and the clause for row locks, which the server itself handles. It
// reports whether it did.
func (r *rewriter) skipUnsupported(name string) bool {
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

// rewriteCall emits the call of a server function up to its first argument.
func (r *rewriter) rewriteCall(name string) {
	if name == "now" && r.epochDepth >= 0 {
		name = "now_epoch"
	}

	r.emit(functionPrefix+name+"(", fmt.Sprint(r.environmentKey))
	r.pos++
	r.depth++

	if !r.peek(1).is(")") {
		r.emit(",")
	}
}

func (r *rewriter) rewriteView(name string) {
	columns := make([]string, len(viewColumns[name]))
	for i, column := range viewColumns[name] {
		columns[i] = fmt.Sprintf("json_extract(value, '$.%s') AS %s", column, column)
	}

	r.emit(fmt.Sprintf("(SELECT %s FROM json_each(%sview(%d, '%s')))",
		strings.Join(columns, ", "), functionPrefix, r.environmentKey, name))

	if next := r.peek(1); next.kind != tokenWord || next.is("where", "group", "order", "limit", "join", "cross", "left") {
		r.emit("AS", name)
	}
}

// rewriteLike adds PostgreSQL's default escape character to LIKE, since SQLite has none.
func (r *rewriter) rewriteLike() {
	next := r.peek(1)
	if (next.kind == tokenString || next.kind == tokenParameter) && !r.peek(2).is("escape", "|") {
		r.pos++
		r.rewriteToken()
		r.emit(`ESCAPE '\'`)
	}
}

// takeOperand removes the operand at the end of the output and returns it.
func (r *rewriter) takeOperand() string {
	depth, from := 0, len(r.out)

	for from > 0 {
		from--
		depth += closingParentheses(r.out[from])

		if depth > 0 {
			continue
		}

		if from > 0 && r.out[from-1] == "." {
			from--
			continue
		}

		if r.out[from] == "(" && from > 0 && plainName.MatchString(r.out[from-1]) &&
			!(token{tokenWord, r.out[from-1]}).is(keywordsBeforeParenthesis...) {
			from--
		}

		break
	}

	operand := strings.Join(r.out[from:], " ")
	r.out = r.out[:from]

	return operand
}

// closingParentheses returns the number of closing parentheses minus the number of opening ones in a piece of output.
func closingParentheses(piece string) int {
	if strings.HasPrefix(piece, "'") || strings.HasPrefix(piece, `"`) {
		return 0
	}

	return strings.Count(piece, ")") - strings.Count(piece, "(")
}

// readTypeName reads the type name at the position and moves the position to its last token.
func (r *rewriter) readTypeName() string {
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

func (r *rewriter) emitCast(operand, name string) {
	switch {
	case name == "bool" || name == "boolean":
		r.emit(functionPrefix + "bool(0, " + operand + ")")
	case castTypes[name] != "":
		r.emit("CAST(" + operand + " AS " + castTypes[name] + ")")
	default:
		r.emit("CAST(" + operand + " AS TEXT)")
	}
}
