package statement

import "strings"

// tokenKind is the class of a token.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	// tokenWord is a keyword or an unquoted identifier.
	tokenWord
	// tokenQuoted is a quoted identifier.
	tokenQuoted
	// tokenString is any form of string constant.
	tokenString
	tokenNumber
	tokenSemicolon
	// tokenOther is an operator, a parameter or punctuation.
	tokenOther
	// tokenBroken is a string, identifier or comment without its end.
	tokenBroken
)

type token struct {
	kind tokenKind
	// text is the token as written, without the quotes of an identifier or string.
	text  string
	start int
	end   int
}

// is reports whether a token is a keyword, which must be given in lower case.
func (t token) is(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

// name returns an identifier as the server folds it.
func (t token) name() string {
	if t.kind == tokenWord {
		return strings.ToLower(t.text)
	}

	return t.text
}

// lexer splits SQL text into tokens. Comments and spaces are dropped.
type lexer struct {
	text string
	at   int
}

func (l *lexer) next() token {
	if !l.skipSpace() {
		return l.broken()
	}

	if l.at >= len(l.text) {
		return token{kind: tokenEnd, start: len(l.text), end: len(l.text)}
	}

	start := l.at
	char := l.text[start]

	switch {
	case char == ';':
		l.at++

		return token{kind: tokenSemicolon, text: ";", start: start, end: l.at}
	case char == '\'':
		return l.quoted('\'', tokenString, false)
	case char == '"':
		return l.quoted('"', tokenQuoted, false)
	case char == '$':
		return l.dollar()
	case isWordStart(char):
		return l.word()
	case isDigit(char):
		for l.at < len(l.text) && (isWordPart(l.text[l.at]) || l.text[l.at] == '.') {
			l.at++
		}

		return token{kind: tokenNumber, text: l.text[start:l.at], start: start, end: l.at}
	}

	l.at++

	return token{kind: tokenOther, text: l.text[start:l.at], start: start, end: l.at}
}

// skipSpace drops spaces and comments. It reports false for a comment without end.
func (l *lexer) skipSpace() bool {
	for l.at < len(l.text) {
		switch rest := l.text[l.at:]; {
		case isSpace(rest[0]):
			l.at++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexAny(rest, "\r\n")
			if end < 0 {
				l.at = len(l.text)
			} else {
				l.at += end
			}
		case strings.HasPrefix(rest, "/*"):
			if !l.skipComment() {
				return false
			}
		default:
			return true
		}
	}

	return true
}

// skipComment drops a comment of the form /* */, which may nest.
func (l *lexer) skipComment() bool {
	depth := 0

	for at := l.at; at+1 < len(l.text); {
		switch l.text[at : at+2] {
		case "/*":
			depth++
			at += 2
		case "*/":
			depth--
			at += 2

			if depth == 0 {
				l.at = at

				return true
			}
		default:
			at++
		}
	}

	return false
}

// quoted reads a constant or identifier between quotes; a doubled quote stands for itself.
func (l *lexer) quoted(quote byte, kind tokenKind, backslash bool) token {
	start := l.at
	at := start + 1

	for at < len(l.text) {
		switch {
		case backslash && l.text[at] == '\\':
			at += 2
		case l.text[at] != quote:
			at++
		case at+1 < len(l.text) && l.text[at+1] == quote:
			at += 2
		default:
			text := l.text[start+1 : at]
			l.at = at + 1

			if strings.IndexByte(text, quote) >= 0 {
				text = strings.ReplaceAll(text, string([]byte{quote, quote}), string(quote))
			}

			return token{kind: kind, text: text, start: start, end: l.at}
		}
	}

	return l.broken()
}

// dollar reads a dollar-quoted string or a parameter such as $1.
func (l *lexer) dollar() token {
	start := l.at
	at := start + 1

	for at < len(l.text) && isTagPart(l.text[at]) {
		at++
	}

	tagged := at == start+1 || !isDigit(l.text[start+1])
	if !tagged || at >= len(l.text) || l.text[at] != '$' {
		l.at = at

		return token{kind: tokenOther, text: l.text[start:at], start: start, end: at}
	}

	tag := l.text[start : at+1]

	end := strings.Index(l.text[at+1:], tag)
	if end < 0 {
		return l.broken()
	}

	text := l.text[at+1 : at+1+end]
	l.at = at + 1 + end + len(tag)

	return token{kind: tokenString, text: text, start: start, end: l.at}
}

// word reads a keyword or identifier, or a string constant with a prefix such as E'...'.
func (l *lexer) word() token {
	start := l.at
	rest := l.text[start:]

	if len(rest) > 1 && rest[1] == '\'' {
		switch rest[0] {
		case 'e', 'E':
			l.at++

			return l.quoted('\'', tokenString, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			l.at++

			return l.quoted('\'', tokenString, false)
		}
	}

	if len(rest) > 2 && (rest[0] == 'u' || rest[0] == 'U') && rest[1] == '&' {
		switch rest[2] {
		case '\'':
			l.at += 2

			return l.quoted('\'', tokenString, false)
		case '"':
			l.at += 2

			return l.quoted('"', tokenQuoted, false)
		}
	}

	for l.at < len(l.text) && isWordPart(l.text[l.at]) {
		l.at++
	}

	return token{kind: tokenWord, text: l.text[start:l.at], start: start, end: l.at}
}

func (l *lexer) broken() token {
	start := l.at
	l.at = len(l.text)

	return token{kind: tokenBroken, text: l.text[start:], start: start, end: l.at}
}

func isSpace(char byte) bool {
	return char == ' ' || char >= '\t' && char <= '\r'
}

func isDigit(char byte) bool {
	return char >= '0' && char <= '9'
}

// isWordStart accepts every byte above ASCII, as the server does.
func isWordStart(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char == '_' || char >= 0x80
}

func isTagPart(char byte) bool {
	return isWordStart(char) || isDigit(char)
}

func isWordPart(char byte) bool {
	return isTagPart(char) || char == '$'
}
