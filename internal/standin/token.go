package standin

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

type tokenKind uint8

const (
	tokenSpace tokenKind = iota
	tokenWord
	tokenQuotedName
	tokenString
	tokenNumber
	tokenParameter
	tokenSymbol
)

// token is a lexical token of SQL text. The tokens of a text, concatenated, equal the text.
type token struct {
	kind tokenKind
	raw  string
}

// is reports whether a token is one of the given keywords and symbols; keywords are matched without regard to case.
func (t token) is(words ...string) bool {
	for _, w := range words {
		if t.kind == tokenWord && strings.EqualFold(t.raw, w) || t.kind == tokenSymbol && t.raw == w {
			return true
		}
	}

	return false
}

// tokenize splits SQL text into tokens. An unterminated quote extends to the end of the text.
func tokenize(sql string) []token {
	var tokens []token

	for len(sql) > 0 {
		k, n := scanToken(sql)
		tokens = append(tokens, token{kind: k, raw: sql[:n]})
		sql = sql[n:]
	}

	return tokens
}

func isDigit(r rune) bool {
	return r >= '0' && r <= '9'
}

func isNameRune(r rune) bool {
	return r == '_' || r == '$' || unicode.IsLetter(r) || unicode.IsDigit(r)
}

// scanSpace returns the length of the white space or the comment at the beginning of the text, or zero.
func scanSpace(sql string) int {
	switch {
	case strings.HasPrefix(sql, "--"):
		return indexAfter(sql, 2, "\n")
	case strings.HasPrefix(sql, "/*"):
		return indexAfter(sql, 2, "*/")
	default:
		return len(sql) - len(strings.TrimLeftFunc(sql, unicode.IsSpace))
	}
}

func scanToken(sql string) (tokenKind, int) {
	if n := scanSpace(sql); n > 0 {
		return tokenSpace, n
	}

	first, width := utf8.DecodeRuneInString(sql)

	switch {
	case (first == 'e' || first == 'E') && len(sql) > 1 && sql[1] == '\'':
		return tokenString, scanQuoted(sql, 1, true)
	case first == '\'', first == '"':
		return map[rune]tokenKind{'\'': tokenString, '"': tokenQuotedName}[first], scanQuoted(sql, 0, false)
	case first == '$':
		return scanDollar(sql)
	case isDigit(first) || first == '.' && len(sql) > 1 && isDigit(rune(sql[1])):
		return tokenNumber, scanNumber(sql)
	case isNameRune(first):
		return tokenWord, len(sql) - len(strings.TrimLeftFunc(sql, isNameRune))
	case strings.HasPrefix(sql, "::"):
		return tokenSymbol, len("::")
	default:
		return tokenSymbol, width
	}
}

func indexAfter(sql string, from int, marker string) int {
	if i := strings.Index(sql[from:], marker); i >= 0 {
		return from + i + len(marker)
	}

	return len(sql)
}

// scanQuoted returns the index after a quoted text whose opening quote is at start. A doubled quote is an escaped
// quote, and with backslash set, a backslash escapes the next character.
func scanQuoted(sql string, start int, backslash bool) int {
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

func scanDollar(sql string) (tokenKind, int) {
	digits := len(sql) - 1 - len(strings.TrimLeft(sql[1:], "0123456789"))
	if digits > 0 {
		return tokenParameter, digits + 1
	}

	end := strings.IndexByte(sql[1:], '$')
	if end < 0 || strings.ContainsAny(sql[1:end+1], " '\"(),;") {
		return tokenSymbol, 1
	}

	tag := sql[:end+2]

	return tokenString, indexAfter(sql, len(tag), tag)
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

// unquoteLiteral returns the value of a string token.
func unquoteLiteral(raw string) string {
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

func quoteLiteral(value string) string {
	return "'" + strings.ReplaceAll(value, "'", "''") + "'"
}

// SplitStatements splits a script into its statements.
func SplitStatements(script string) []string {
	parts := splitTokens(script)
	statements := make([]string, len(parts))

	for i, part := range parts {
		for _, t := range part {
			statements[i] += t.raw
		}
	}

	return statements
}

// splitTokens splits a script into the tokens of its statements, without white space and comments at both ends of each,
// except that /* */ comments in front of a statement stay.
func splitTokens(sql string) [][]token {
	var (
		statements [][]token
		current    []token
	)

	flush := func() {
		for len(current) > 0 && current[len(current)-1].kind == tokenSpace {
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
		case t.kind == tokenSpace && len(current) == 0 && !strings.HasPrefix(t.raw, "/*"):
		default:
			current = append(current, t)
		}
	}

	flush()

	return statements
}
