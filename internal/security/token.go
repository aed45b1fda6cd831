package security

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/timer"
)

// minTokenBytes keeps tokens from being guessed.
const minTokenBytes = 16

// tokenInterval is the interval at which a token's file is read again.
const tokenInterval = time.Minute

// Token is a bearer token that a file holds. It is safe for concurrent use.
type Token struct {
	watched *watched[[sha256.Size]byte]
}

// NewToken reads a token from a file, space around it ignored, and reads it again each minute.
func NewToken(file string, clock timer.Service, logger *slog.Logger) (*Token, error) {
	found, err := watch([]string{file}, tokenInterval, clock, logger, func(contents [][]byte) (*[sha256.Size]byte, error) {
		text := bytes.TrimSpace(contents[0])
		if len(text) < minTokenBytes {
			return nil, eris.Errorf("token file %s holds %d bytes, at least %d are needed", file, len(text), minTokenBytes)
		}

		digest := sha256.Sum256(text)

		return &digest, nil
	})
	if err != nil {
		return nil, err
	}

	return &Token{watched: found}, nil
}

// Matches compares a presented token in constant time.
func (t *Token) Matches(presented string) bool {
	digest := sha256.Sum256([]byte(presented))

	return subtle.ConstantTimeCompare(digest[:], t.watched.current.Load()[:]) == 1
}

// Reload reads the file now.
func (t *Token) Reload() error {
	return t.watched.reload()
}

// Close ends the reading of the file. The token stays usable.
func (t *Token) Close() {
	t.watched.stop()
}
