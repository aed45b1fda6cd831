package statement

import "strings"

// backslashEncodings are the encodings with characters whose second byte may be that of a backslash, as servers compare their
// names: in lower case, without anything but letters and digits.
//
//nolint:gochecknoglobals // The table is constant.
var backslashEncodings = map[string]bool{
	"big5": true, "gb18030": true, "gbk": true, "johab": true, "mskanji": true, "shiftjis": true, "shiftjis2004": true, "sjis": true,
	"uhc": true, "win932": true, "win936": true, "win949": true, "win950": true,
	"windows932": true, "windows936": true, "windows949": true, "windows950": true,
}

// ChangesReading reports whether a value of a parameter makes servers split texts otherwise than this package does. Then a text
// could end, for the proxy, inside of a string or begin a statement there.
func ChangesReading(parameter, value string) bool {
	switch strings.ToLower(parameter) {
	case "standard_conforming_strings":
		switch strings.ToLower(value) {
		case "on", "true", "yes", "1":
			return false
		}

		return true
	case "client_encoding":
		return backslashEncodings[strings.Map(func(r rune) rune {
			if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
				return r
			}

			return -1
		}, strings.ToLower(value))]
	}

	return false
}

// changesReading reports whether a statement sets a parameter as ChangesReading says, itself or by the function set_config.
func changesReading(statement *Statement, tokens []token) bool {
	switch statement.Kind {
	case Set:
		// A value that is not known may be any.
		return ChangesReading(statement.Name, statement.Literal) || !statement.HasLiteral && strings.EqualFold(statement.Name, "client_encoding")
	case Write:
	default:
		return false
	}

	for i, t := range tokens {
		if i+setConfigValue < len(tokens) && (t.kind == tokenWord || t.kind == tokenQuoted) && tokens[i+1].text == "(" && t.name() == "set_config" &&
			ChangesReading(tokens[i+setConfigName].text, tokens[i+setConfigValue].text) {
			return true
		}
	}

	return false
}

// The places of the first two arguments of set_config behind its name, if they are constants.
const (
	setConfigName  = 2
	setConfigValue = 4
)
