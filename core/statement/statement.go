package statement

import (
	"strconv"
	"strings"
)

// Kind determines how the proxy handles a statement.
type Kind uint8

// The kinds of statements.
const (
	// Write is any statement that is not known to be of another kind.
	Write Kind = iota
	// Read is a query that is known only to read.
	Read
	// Begin starts a transaction, which is read-only if Statement.ReadOnly is set.
	Begin
	// Commit ends a transaction.
	Commit
	// Rollback aborts a transaction.
	Rollback
	// Savepoint, Release and RollbackTo apply to the savepoint Statement.Name.
	Savepoint
	Release
	RollbackTo
	// Set sets the session parameter Statement.Name to Statement.Value, only until the end of the transaction if
	// Statement.Local is set.
	Set
	// Reset restores the parameter Statement.Name, or all of them if the name is "all".
	Reset
	// Show returns the value of the parameter Statement.Name.
	Show
	// Discard drops state of the session; Statement.Name is what, such as "all".
	Discard
	// Deallocate drops the prepared statement Statement.Name, or all of them if Statement.All is set.
	Deallocate
	// CopyIn is COPY FROM STDIN, CopyOut is COPY TO STDOUT.
	CopyIn
	CopyOut
)

// Statement is a classified statement.
type Statement struct {
	Kind Kind
	// Text is the text of the statement without the semicolon that ends it.
	Text string
	// Name and Value are set for some kinds. Value is SQL text that can follow SET NAME =.
	Name  string
	Value string
	// Literal is the value as servers read it. HasLiteral is false if that is not known: the value is not a single token, or it
	// has escapes for the numbers of characters.
	Literal    string
	HasLiteral bool
	// All distinguishes DEALLOCATE ALL from DEALLOCATE of a statement with that name.
	All bool
	// ReadOnly is true for BEGIN READ ONLY.
	ReadOnly bool
	// Local is true for SET LOCAL.
	Local bool
	// PinsConnection is true if the statement leaves state on the connection that only DISCARD ALL or closing the
	// connection removes.
	PinsConnection bool
	// Chain is true for COMMIT AND CHAIN and ROLLBACK AND CHAIN.
	Chain bool
	// ChangesReading is true if the statement makes servers split later texts otherwise than this package does.
	ChangesReading bool
}

// ParameterPrefix is the prefix of the parameters that the proxy itself implements.
const ParameterPrefix = "almondgrade."

// IsProxyParameter reports whether the statement sets, resets or shows a parameter that the proxy itself implements.
func (s *Statement) IsProxyParameter() bool {
	return (s.Kind == Set || s.Kind == Show || s.Kind == Reset) && strings.HasPrefix(s.Name, ParameterPrefix)
}

// Classify splits a text into statements and classifies them. It skips empty statements.
func Classify(text string) []Statement {
	lexer := lexer{text: text}

	// Most texts hold a single statement.
	statements := make([]Statement, 0, 1)

	var (
		buffer    [16]token
		bodyDepth int
	)

	tokens := buffer[:0]

	for {
		next := lexer.next()

		switch next.kind {
		case tokenWord:
			if len(tokens) > 0 && (next.isKeyword("begin") || next.isKeyword("case")) && (bodyDepth > 0 || next.isKeyword("begin") && mayHaveAtomicBody(tokens)) {
				bodyDepth++
			} else if bodyDepth > 0 && next.isKeyword("end") {
				bodyDepth--
			}
		case tokenQuoted, tokenString, tokenNumber, tokenOther:
		case tokenSemicolon, tokenEnd, tokenUnterminated:
			if next.kind == tokenUnterminated {
				tokens = append(tokens, next)
			} else if next.kind == tokenSemicolon && bodyDepth > 0 {
				// A semicolon inside BEGIN ATOMIC ... END does not end the statement.
				continue
			}

			if len(tokens) > 0 {
				first, last := tokens[0], tokens[len(tokens)-1]
				statement := classifyTokens(tokens, text)
				statement.Text = text[first.start:last.end]
				statement.ChangesReading = changesReading(&statement, tokens)
				statements = append(statements, statement)
			}

			if next.kind != tokenSemicolon {
				return statements
			}

			tokens, bodyDepth = tokens[:0], 0

			continue
		}

		tokens = append(tokens, next)
	}
}

// mayHaveAtomicBody reports whether a statement is CREATE FUNCTION or CREATE PROCEDURE, whose body may hold statements.
func mayHaveAtomicBody(tokens []token) bool {
	if !tokens[0].isKeyword("create") {
		return false
	}

	for _, t := range tokens[1:] {
		if t.isKeyword("function") || t.isKeyword("procedure") {
			return true
		}
	}

	return false
}

//nolint:gocyclo // One case for each keyword that begins a statement.
func classifyTokens(tokens []token, text string) Statement {
	if tokens[len(tokens)-1].kind == tokenUnterminated {
		return Statement{Kind: Write}
	}

	first := tokens[0]
	if first.kind == tokenOther && first.text == "(" {
		return classifyQuery(tokens)
	}

	if first.kind != tokenWord {
		return Statement{Kind: Write}
	}

	switch strings.ToLower(first.text) {
	case "select", "with", "values", "table":
		return classifyQuery(tokens)
	case "explain":
		return classifyExplain(tokens)
	case "begin":
		return Statement{Kind: Begin, ReadOnly: isReadOnly(tokens)}
	case "start":
		if len(tokens) > 1 && tokens[1].isKeyword("transaction") {
			return Statement{Kind: Begin, ReadOnly: isReadOnly(tokens)}
		}
	case "commit", "end":
		if keywordAt(tokens, 1) == "prepared" {
			return Statement{Kind: Write}
		}

		return Statement{Kind: Commit, Chain: hasChain(tokens)}
	case "abort":
		return Statement{Kind: Rollback, Chain: hasChain(tokens)}
	case "rollback":
		return classifyRollback(tokens)
	case "savepoint":
		return Statement{Kind: Savepoint, Name: nameAt(tokens, 1)}
	case "release":
		return Statement{Kind: Release, Name: tokens[len(tokens)-1].name()}
	case "set":
		return classifySet(tokens, text)
	case "reset":
		return classifyReset(tokens)
	case "show":
		return Statement{Kind: Show, Name: parameterName(tokens[1:])}
	case "discard":
		return Statement{Kind: Discard, Name: keywordAt(tokens, 1)}
	case "deallocate":
		return classifyDeallocate(tokens)
	case "copy":
		return classifyCopy(tokens)
	case "prepare":
		// PREPARE TRANSACTION leaves no state on the connection.
		return Statement{Kind: Write, PinsConnection: keywordAt(tokens, 1) != "transaction"}
	case "listen", "unlisten", "load":
		return Statement{Kind: Write, PinsConnection: true}
	case "create":
		return Statement{Kind: Write, PinsConnection: isTemporary(tokens)}
	case "declare":
		return Statement{Kind: Write, PinsConnection: hasWithHold(tokens)}
	}

	pins, _ := functionEffects(tokens)

	return Statement{Kind: Write, PinsConnection: pins}
}

// classifyQuery classifies a statement that begins like a query, which may still write.
func classifyQuery(tokens []token) Statement {
	pins, needsPrimary := functionEffects(tokens)
	if pins || needsPrimary {
		return Statement{Kind: Write, PinsConnection: pins}
	}

	for i, t := range tokens {
		if t.kind != tokenWord {
			continue
		}

		switch strings.ToLower(t.text) {
		case "insert", "update", "delete", "merge":
			// An unquoted word like these belongs to a data-modifying WITH or to FOR UPDATE, unless it is a column's name
			// behind a dot.
			return Statement{Kind: Write}
		case "into":
			return Statement{Kind: Write, PinsConnection: keywordAt(tokens, i+1) == "temp" || keywordAt(tokens, i+1) == "temporary"}
		case "for":
			switch keywordAt(tokens, i+1) {
			case "update", "share", "no", "key":
				return Statement{Kind: Write}
			}
		}
	}

	return Statement{Kind: Read}
}

// classifyExplain classifies EXPLAIN, which runs its statement only with the ANALYZE option.
//
//nolint:gocyclo,misspell // The conditions follow the grammar; the keyword has two spellings.
func classifyExplain(tokens []token) Statement {
	runs := false

	for _, t := range tokens[1:] {
		if t.isKeyword("analyze") || t.isKeyword("analyse") {
			runs = true
		}
	}

	if !runs {
		return Statement{Kind: Read}
	}

	depth := 0

	for i, t := range tokens[1:] {
		switch {
		case t.text == "(" && t.kind == tokenOther:
			depth++
		case t.text == ")" && t.kind == tokenOther:
			depth--
		case depth == 0 && (t.isKeyword("select") || t.isKeyword("with") || t.isKeyword("values") || t.isKeyword("table")):
			return classifyQuery(tokens[1+i:])
		case depth == 0 && !t.isKeyword("analyze") && !t.isKeyword("analyse") && !t.isKeyword("verbose"):
			return Statement{Kind: Write}
		}
	}

	return Statement{Kind: Write}
}

// functionEffects reports whether the tokens call a function that leaves state on the connection, and whether they call
// one that needs the primary.
func functionEffects(tokens []token) (pins, needsPrimary bool) {
	for i, t := range tokens {
		if t.kind != tokenWord && t.kind != tokenQuoted || i+1 >= len(tokens) || tokens[i+1].text != "(" {
			continue
		}

		name := t.name()

		switch name {
		case "nextval", "setval", "currval", "lastval", "pg_notify", "txid_current", "pg_current_xact_id",
			"pg_terminate_backend", "pg_cancel_backend", "pg_reload_conf", "pg_promote", "pg_switch_wal":
			needsPrimary = true
		case "set_config":
			needsPrimary = true
			pins = pins || !isLocalSetConfig(tokens[i+1:])
		}

		if strings.HasPrefix(name, "pg_advisory") || strings.HasPrefix(name, "pg_try_advisory") {
			needsPrimary = true
			pins = pins || !strings.Contains(name, "xact")
		}
	}

	return pins, needsPrimary
}

// isLocalSetConfig reports whether the last argument of set_config is the constant true, which limits the change to the
// transaction.
func isLocalSetConfig(tokens []token) bool {
	depth := 0

	for i, t := range tokens {
		if t.kind != tokenOther {
			continue
		}

		switch t.text {
		case "(":
			depth++
		case ")":
			depth--
			if depth == 0 {
				return tokens[i-1].isKeyword("true") && tokens[i-2].text == ","
			}
		}
	}

	return false
}

func isReadOnly(tokens []token) bool {
	result := false

	for i, t := range tokens {
		if t.isKeyword("read") {
			result = keywordAt(tokens, i+1) == "only"
		}
	}

	return result
}

func hasChain(tokens []token) bool {
	last := len(tokens) - 1

	return last > 0 && tokens[last].isKeyword("chain") && !tokens[last-1].isKeyword("no")
}

func classifyRollback(tokens []token) Statement {
	for i, t := range tokens {
		if i > 0 && t.isKeyword("prepared") && i == 1 {
			return Statement{Kind: Write}
		}

		if i > 0 && t.isKeyword("to") {
			return Statement{Kind: RollbackTo, Name: tokens[len(tokens)-1].name()}
		}
	}

	return Statement{Kind: Rollback, Chain: hasChain(tokens)}
}

// classifySet classifies SET [SESSION | LOCAL] NAME { = | TO } VALUE and its special forms.
//
//nolint:gocyclo // One case for each form.
func classifySet(tokens []token, text string) Statement {
	rest := tokens[1:]
	local := false

	switch {
	case len(rest) > 1 && rest[0].isKeyword("local"):
		local = true
		rest = rest[1:]
	case len(rest) > 1 && rest[0].isKeyword("session") && !rest[1].isKeyword("characteristics") && !rest[1].isKeyword("authorization"):
		rest = rest[1:]
	}

	switch {
	case len(rest) > 0 && (rest[0].isKeyword("transaction") || rest[0].isKeyword("constraints")):
		return Statement{Kind: Write}
	case len(rest) > 0 && (rest[0].isKeyword("role") || rest[0].isKeyword("session")):
		// SET ROLE, SET SESSION AUTHORIZATION and SET SESSION CHARACTERISTICS.
		return Statement{Kind: Write, PinsConnection: !local}
	case len(rest) == 2 && rest[0].isKeyword("names"):
		return classifyAssignment("client_encoding", rest[1:], text, local)
	case len(rest) > 2 && rest[0].isKeyword("time") && rest[1].isKeyword("zone"):
		return classifyAssignment("timezone", rest[2:], text, local)
	}

	for i, t := range rest {
		if i > 0 && (t.isKeyword("to") || t.kind == tokenOther && t.text == "=") && i+1 < len(rest) {
			return classifyAssignment(parameterName(rest[:i]), rest[i+1:], text, local)
		}
	}

	// SET SCHEMA and other forms that set a parameter without naming it.
	return Statement{Kind: Write, PinsConnection: !local}
}

func classifyAssignment(name string, value []token, text string, local bool) Statement {
	if name == "role" || name == "session_authorization" {
		return Statement{Kind: Write, PinsConnection: !local}
	}

	result := Statement{Kind: Set, Name: name, Local: local, Value: text[value[0].start:value[len(value)-1].end]}
	if len(value) == 1 {
		result.Literal, result.HasLiteral = value[0].literal(text)
	}

	if len(value) == 1 && value[0].isKeyword("default") {
		result = Statement{Kind: Reset, Name: name, Local: local}
	}

	return result
}

func classifyReset(tokens []token) Statement {
	switch {
	case len(tokens) == 3 && tokens[1].isKeyword("time") && tokens[2].isKeyword("zone"):
		return Statement{Kind: Reset, Name: "timezone"}
	case keywordAt(tokens, 1) == "role" || keywordAt(tokens, 1) == "session":
		return Statement{Kind: Write, PinsConnection: true}
	}

	return Statement{Kind: Reset, Name: parameterName(tokens[1:])}
}

func classifyDeallocate(tokens []token) Statement {
	at := 1
	if keywordAt(tokens, 1) == "prepare" && len(tokens) > 2 {
		at = 2
	}

	return Statement{Kind: Deallocate, Name: nameAt(tokens, at), All: keywordAt(tokens, at) == "all"}
}

// classifyCopy classifies COPY. COPY TO STDOUT of a table or of a query that only reads is CopyOut; with a query that may
// write, it is classified like the query.
func classifyCopy(tokens []token) Statement {
	depth := 0

	for i, t := range tokens {
		switch {
		case t.kind == tokenOther && t.text == "(":
			depth++
		case t.kind == tokenOther && t.text == ")":
			depth--
		case depth == 0 && t.isKeyword("from"):
			if keywordAt(tokens, i+1) == "stdin" {
				return Statement{Kind: CopyIn}
			}

			return Statement{Kind: Write}
		case depth == 0 && t.isKeyword("to"):
			if keywordAt(tokens, i+1) != "stdout" {
				return Statement{Kind: Write}
			}

			if inner := classifyQuery(tokens[1:i]); inner.Kind != Read {
				return inner
			}

			return Statement{Kind: CopyOut}
		}
	}

	return Statement{Kind: Write}
}

func isTemporary(tokens []token) bool {
	for _, t := range tokens[1:min(len(tokens), 5)] {
		if t.isKeyword("temp") || t.isKeyword("temporary") {
			return true
		}
	}

	return false
}

func hasWithHold(tokens []token) bool {
	for i, t := range tokens {
		if t.isKeyword("hold") && i > 0 && tokens[i-1].isKeyword("with") {
			return true
		}
	}

	return false
}

// parameterName joins the tokens of a parameter's name, such as almondgrade.token, in lower case, because the server
// ignores case in the names of parameters.
func parameterName(tokens []token) string {
	if len(tokens) == 1 {
		return strings.ToLower(tokens[0].text)
	}

	if len(tokens) == 2 && tokens[0].isKeyword("time") && tokens[1].isKeyword("zone") {
		return "timezone"
	}

	var name strings.Builder
	for _, t := range tokens {
		name.WriteString(strings.ToLower(t.text))
	}

	return name.String()
}

func keywordAt(tokens []token, index int) string {
	if index < len(tokens) && tokens[index].kind == tokenWord {
		return strings.ToLower(tokens[index].text)
	}

	return ""
}

func nameAt(tokens []token, index int) string {
	if index < len(tokens) {
		return tokens[index].name()
	}

	return ""
}

// HighestParameter returns the highest number of a parameter in a text, such as 2 for a text with $1 and $2.
func HighestParameter(text string) int {
	lexer := lexer{text: text}
	highest := 0

	for {
		next := lexer.next()

		switch next.kind {
		case tokenEnd, tokenUnterminated:
			return highest
		case tokenOther:
			if len(next.text) < 2 || next.text[0] != '$' {
				continue
			}

			// The protocol allows at most 65535 parameters.
			if number, err := strconv.ParseUint(next.text[1:], 10, 16); err == nil {
				highest = max(highest, int(number))
			}
		default:
		}
	}
}
