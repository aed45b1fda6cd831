package statement

import "strings"

// literal returns the value of a token that is assigned to a parameter, and whether it is known.
func (t token) literal(text string) (value string, known bool) {
	written := text[t.start:t.end]

	switch {
	case t.kind == tokenWord:
		return strings.ToLower(t.text), true
	case t.kind == tokenNumber, t.kind == tokenQuoted && written[0] == '"', t.kind == tokenString && (written[0] == '\'' || written[0] == '$'):
		return t.text, true
	case t.kind == tokenString && (written[0] == 'e' || written[0] == 'E'):
		return unescape(t.text)
	default:
		return "", false
	}
}

// unescape returns the value of a string with backslashes, in which doubled quotes have been replaced. It returns false for escapes
// by number.
func unescape(text string) (value string, known bool) {
	var unescaped strings.Builder

	for at := 0; at < len(text); at++ {
		if text[at] != '\\' {
			unescaped.WriteByte(text[at])

			continue
		}

		at++

		if at == len(text) {
			return "", false
		}

		switch char := text[at]; {
		case char == 'b':
			unescaped.WriteByte('\b')
		case char == 'f':
			unescaped.WriteByte('\f')
		case char == 'n':
			unescaped.WriteByte('\n')
		case char == 'r':
			unescaped.WriteByte('\r')
		case char == 't':
			unescaped.WriteByte('\t')
		case isDigit(char) || char == 'x' || char == 'u' || char == 'U':
			return "", false
		default:
			unescaped.WriteByte(char)
		}
	}

	return unescaped.String(), true
}
