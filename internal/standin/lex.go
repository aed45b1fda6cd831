package standin

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

type kind uint8

const (
	space kind = iota
	word
	quotedName
	text
	number
	parameter
	symbol
)

// token is a piece of SQL text. Joining the tokens of a text gives the text.
type token struct {
	kind kind
	raw  string
}

// is reports whether a token is the given keyword or symbol; keywords are given in lower case.
func (t token) is(words ...string) bool {
	for _, w := range words {
		if t.kind == word && strings.EqualFold(t.raw, w) || t.kind == symbol && t.raw == w {
			return true
		}
	}

	return false
}

// tokenize splits SQL text into tokens. An unterminated quote extends to the end of the text.
func tokenize(sql string) []token {
	var tokens []token

	for len(sql) > 0 {
		k, n := scan(sql)
		tokens = append(tokens, token{kind: k, raw: sql[:n]})
		sql = sql[n:]
	}

	return tokens
}

func isDigit(r rune) bool {
	return r >= '0' && r <= '9'
}

func inName(r rune) bool {
	return r == '_' || r == '$' || unicode.IsLetter(r) || unicode.IsDigit(r)
}

// scanSpace returns the length of the space or comment at the beginning, or zero.
func scanSpace(sql string) int {
	switch {
	case strings.HasPrefix(sql, "--"):
		return until(sql, 2, "\n")
	case strings.HasPrefix(sql, "/*"):
		return until(sql, 2, "*/")
	default:
		return len(sql) - len(strings.TrimLeftFunc(sql, unicode.IsSpace))
	}
}

func scan(sql string) (kind, int) {
	if n := scanSpace(sql); n > 0 {
		return space, n
	}

	first, width := utf8.DecodeRuneInString(sql)

	switch {
	case (first == 'e' || first == 'E') && len(sql) > 1 && sql[1] == '\'':
		return text, quote(sql, 1, true)
	case first == '\'', first == '"':
		return map[rune]kind{'\'': text, '"': quotedName}[first], quote(sql, 0, false)
	case first == '$':
		return scanDollar(sql)
	case isDigit(first) || first == '.' && len(sql) > 1 && isDigit(rune(sql[1])):
		return number, scanNumber(sql)
	case inName(first):
		return word, len(sql) - len(strings.TrimLeftFunc(sql, inName))
	case strings.HasPrefix(sql, "::"):
		return symbol, len("::")
	default:
		return symbol, width
	}
}

func until(sql string, from int, end string) int {
	if i := strings.Index(sql[from:], end); i >= 0 {
		return from + i + len(end)
	}

	return len(sql)
}

// quote returns the length of a quoted text whose opening quote is at start. A doubled quote stands for itself.
func quote(sql string, start int, backslash bool) int {
	mark := sql[start]

	for i := start + 1; i < len(sql); i++ {
		switch {
		case backslash && sql[i] == '\\':
			i++
		case sql[i] == mark && i+1 < len(sql) && sql[i+1] == mark:
			i++
		case sql[i] == mark:
			return i + 1
		}
	}

	return len(sql)
}

func scanDollar(sql string) (kind, int) {
	digits := len(sql) - 1 - len(strings.TrimLeft(sql[1:], "0123456789"))
	if digits > 0 {
		return parameter, digits + 1
	}

	end := strings.IndexByte(sql[1:], '$')
	if end < 0 || strings.ContainsAny(sql[1:end+1], " '\"(),;") {
		return symbol, 1
	}

	tag := sql[:end+2]

	return text, until(sql, len(tag), tag)
}

func scanNumber(sql string) int {
	i := 0
	for i < len(sql) {
		c := sql[i]
		exponent := i > 0 && (c == '+' || c == '-') && (sql[i-1] == 'e' || sql[i-1] == 'E')

		if c != '.' && !exponent && !isDigit(rune(c)) && c != '_' && !unicode.IsLetter(rune(c)) {
			break
		}

		i++
	}

	return i
}

// literalValue returns the value of a text token.
func literalValue(raw string) string {
	switch raw[0] {
	case '$':
		tag := raw[:strings.IndexByte(raw[1:], '$')+2]
		return strings.TrimSuffix(strings.TrimPrefix(raw, tag), tag)
	case '\'':
		return strings.ReplaceAll(strings.TrimSuffix(raw[1:], "'"), "''", "'")
	default:
		inner := strings.ReplaceAll(strings.TrimSuffix(raw[2:], "'"), "''", "'")
		return strings.NewReplacer(`\\`, `\`, `\'`, `'`, `\n`, "\n", `\t`, "\t", `\r`, "\r").Replace(inner)
	}
}

func literal(value string) string {
	return "'" + strings.ReplaceAll(value, "'", "''") + "'"
}

// Statements separates a script into its statements.
func Statements(script string) []string {
	parts := split(script)
	statements := make([]string, len(parts))

	for i, part := range parts {
		for _, t := range part {
			statements[i] += t.raw
		}
	}

	return statements
}

// split separates a script into statements, without spaces and comments at both ends of each.
func split(sql string) [][]token {
	var (
		statements [][]token
		current    []token
	)

	flush := func() {
		for len(current) > 0 && current[len(current)-1].kind == space {
			current = current[:len(current)-1]
		}

		if len(current) > 0 {
			statements = append(statements, current)
		}

		current = nil
	}

	for _, t := range tokenize(sql) {
		switch {
		case t.is(";"):
			flush()
		case t.kind == space && len(current) == 0 && !strings.HasPrefix(t.raw, "/*"):
		default:
			current = append(current, t)
		}
	}

	flush()

	return statements
}
