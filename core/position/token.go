package position

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// ErrTokenDamaged is wrapped by all errors of ParseToken.
var ErrTokenDamaged = errors.New("session token is damaged")

const (
	// maxTokenBytes bounds the text of a token from a caller.
	maxTokenBytes = 16 << 10
	// checksumBytes is the size of the CRC-32C that precedes the body of a token.
	checksumBytes = 4
	// fieldsPerPart is the number of fields in each part of a token: group, term and LSN.
	fieldsPerPart = 3
)

//nolint:gochecknoglobals // The table is constant.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Token holds the position of a session in each group that it has used. The zero Token is empty and ready to use. A Token
// isn't safe for concurrent use.
type Token struct {
	positions map[string]Position
}

// Floor returns the position that reads of a group must cover, and whether the token holds one for the group.
func (t *Token) Floor(group string) (Position, bool) {
	floor, found := t.positions[group]

	return floor, found
}

// RaiseFloor raises the floor of a group to a position. A position below the current floor has no effect.
func (t *Token) RaiseFloor(group string, to Position) {
	if t.positions == nil {
		t.positions = make(map[string]Position)
	}

	if present, found := t.positions[group]; !found || present.Less(to) {
		t.positions[group] = to
	}
}

// Merge raises the floors to those of another token.
func (t *Token) Merge(other Token) {
	for group, floor := range other.positions {
		t.RaiseFloor(group, floor)
	}
}

// String returns the text form: the base64url encoding of a CRC-32C and of GROUP:TERM:LSN parts separated by commas.
func (t *Token) String() string {
	parts := make([]string, 0, len(t.positions))
	for group, floor := range t.positions {
		parts = append(parts, group+":"+strconv.FormatUint(uint64(floor.Term), 10)+":"+
			strconv.FormatUint(uint64(floor.LSN), 10))
	}

	slices.Sort(parts)

	body := []byte(strings.Join(parts, ","))
	raw := binary.BigEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli))

	return base64.RawURLEncoding.EncodeToString(append(raw, body...))
}

// ParseToken parses the text form that Token.String returns. An empty text is an empty token.
func ParseToken(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}

	if len(text) > maxTokenBytes {
		return Token{}, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrTokenDamaged, len(text), maxTokenBytes)
	}

	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Token{}, fmt.Errorf("%w: %w", ErrTokenDamaged, err)
	}

	if len(raw) < checksumBytes {
		return Token{}, fmt.Errorf("%w: %d bytes are too few for the checksum", ErrTokenDamaged, len(raw))
	}

	body := raw[checksumBytes:]
	if binary.BigEndian.Uint32(raw) != crc32.Checksum(body, castagnoli) {
		return Token{}, fmt.Errorf("%w: checksum does not match", ErrTokenDamaged)
	}

	return parseTokenBody(string(body))
}

func parseTokenBody(body string) (Token, error) {
	var token Token

	if body == "" {
		return token, nil
	}

	for part := range strings.SplitSeq(body, ",") {
		fields := strings.Split(part, ":")
		if len(fields) != fieldsPerPart {
			return Token{}, fmt.Errorf("%w: part %q is not GROUP:TERM:LSN", ErrTokenDamaged, part)
		}

		term, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			return Token{}, fmt.Errorf("%w: term of part %q: %w", ErrTokenDamaged, part, err)
		}

		lsn, err := strconv.ParseUint(fields[2], 10, 64)
		if err != nil {
			return Token{}, fmt.Errorf("%w: LSN of part %q: %w", ErrTokenDamaged, part, err)
		}

		token.RaiseFloor(fields[0], Position{Term: Term(term), LSN: LSN(lsn)})
	}

	return token, nil
}
