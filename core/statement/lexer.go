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
	// tokenString is a string constant in any form.
	tokenString
	tokenNumber
	tokenSemicolon
	// tokenOther is an operator, a parameter or punctuation.
	tokenOther
	// tokenUnterminated is a string, quoted identifier or comment that isn't terminated.
	tokenUnterminated
)

type token struct {
	kind tokenKind
	// text is the token as written, without the quotes of an identifier or a string.
	text  string
	start int
	end   int
}

// isKeyword reports whether the token is the given keyword. The argument must be in lower case.
func (t token) isKeyword(keyword string) bool {
	return t.kind == tokenWord && strings.EqualFold(t.text, keyword)
}

// name returns an identifier, folded to lower case like in the server if it isn't quoted.
func (t token) name() string {
	if t.kind == tokenWord {
		return strings.ToLower(t.text)
	}

	return t.text
}

// lexer splits SQL text into tokens. It skips comments and white space.
type lexer struct {
	text   string
	offset int
}

func (l *lexer) next() token {
	if !l.skipSpace() {
		return l.unterminated()
	}

	if l.offset >= len(l.text) {
		return token{kind: tokenEnd, start: len(l.text), end: len(l.text)}
	}

	start := l.offset
	char := l.text[start]

	switch {
	case char == ';':
		l.offset++

		return token{kind: tokenSemicolon, text: ";", start: start, end: l.offset}
	case char == '\'':
		return l.readQuoted(0, tokenString, false)
	case char == '"':
		return l.readQuoted(0, tokenQuoted, false)
	case char == '$':
		return l.readDollar()
	case isWordStart(char):
		return l.readWord()
	case isDigit(char):
		for l.offset < len(l.text) && (isWordPart(l.text[l.offset]) || l.text[l.offset] == '.') {
			l.offset++
		}

		return token{kind: tokenNumber, text: l.text[start:l.offset], start: start, end: l.offset}
	}

	l.offset++

	return token{kind: tokenOther, text: l.text[start:l.offset], start: start, end: l.offset}
}

// skipSpace skips white space and comments. It returns false for an unterminated comment.
func (l *lexer) skipSpace() bool {
	for l.offset < len(l.text) {
		switch rest := l.text[l.offset:]; {
		case isSpace(rest[0]):
			l.offset++
		case strings.HasPrefix(rest, "--"):
			end := strings.IndexAny(rest, "\r\n")
			if end < 0 {
				l.offset = len(l.text)
			} else {
				l.offset += end
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

// skipComment skips a comment of the form /* */, which may contain others. It returns false if the comment isn't
// terminated.
func (l *lexer) skipComment() bool {
	depth := 0

	for at := l.offset; at+1 < len(l.text); {
		switch l.text[at : at+2] {
		case "/*":
			depth++
			at += 2
		case "*/":
			depth--
			at += 2

			if depth == 0 {
				l.offset = at

				return true
			}
		default:
			at++
		}
	}

	return false
}

// readQuoted reads a quoted constant or identifier, in which a doubled quote stands for a quote. It begins with a prefix of the
// given number of bytes.
func (l *lexer) readQuoted(prefix int, kind tokenKind, backslash bool) token {
	start := l.offset
	quote := l.text[start+prefix]
	content := start + prefix + 1
	at := content

	for at < len(l.text) {
		switch {
		case backslash && l.text[at] == '\\':
			at += 2
		case l.text[at] != quote:
			at++
		case at+1 < len(l.text) && l.text[at+1] == quote:
			at += 2
		default:
			text := l.text[content:at]
			l.offset = at + 1

			if strings.IndexByte(text, quote) >= 0 {
				text = strings.ReplaceAll(text, string([]byte{quote, quote}), string(quote))
			}

			return token{kind: kind, text: text, start: start, end: l.offset}
		}
	}

	return l.unterminated()
}

// readDollar reads a dollar-quoted string or a parameter such as $1.
func (l *lexer) readDollar() token {
	start := l.offset
	at := start + 1

	for at < len(l.text) && isTagPart(l.text[at]) {
		at++
	}

	tagged := at == start+1 || !isDigit(l.text[start+1])
	if !tagged || at >= len(l.text) || l.text[at] != '$' {
		l.offset = at

		return token{kind: tokenOther, text: l.text[start:at], start: start, end: at}
	}

	tag := l.text[start : at+1]

	end := strings.Index(l.text[at+1:], tag)
	if end < 0 {
		return l.unterminated()
	}

	text := l.text[at+1 : at+1+end]
	l.offset = at + 1 + end + len(tag)

	return token{kind: tokenString, text: text, start: start, end: l.offset}
}

// readWord reads a keyword or identifier, or a string constant with a prefix such as E'...'.
func (l *lexer) readWord() token {
	start := l.offset
	rest := l.text[start:]

	if len(rest) > 1 && rest[1] == '\'' {
		switch rest[0] {
		case 'e', 'E':
			return l.readQuoted(1, tokenString, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			return l.readQuoted(1, tokenString, false)
		}
	}

	if len(rest) > 2 && (rest[0] == 'u' || rest[0] == 'U') && rest[1] == '&' {
		switch rest[2] {
		case '\'':
			return l.readQuoted(len("U&"), tokenString, false)
		case '"':
			return l.readQuoted(len("U&"), tokenQuoted, false)
		}
	}

	for l.offset < len(l.text) && isWordPart(l.text[l.offset]) {
		l.offset++
	}

	return token{kind: tokenWord, text: l.text[start:l.offset], start: start, end: l.offset}
}

func (l *lexer) unterminated() token {
	start := l.offset
	l.offset = len(l.text)

	return token{kind: tokenUnterminated, text: l.text[start:], start: start, end: l.offset}
}

func isSpace(char byte) bool {
	return char == ' ' || char >= '\t' && char <= '\r'
}

func isDigit(char byte) bool {
	return char >= '0' && char <= '9'
}

// isWordStart reports whether a byte can begin an identifier. Like the server, it accepts all bytes above ASCII.
func isWordStart(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char == '_' || char >= 0x80
}

func isTagPart(char byte) bool {
	return isWordStart(char) || isDigit(char)
}

func isWordPart(char byte) bool {
	return isTagPart(char) || char == '$'
}
