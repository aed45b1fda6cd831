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

// minTokenBytes is the least length of a token. It makes tokens hard to guess.
const minTokenBytes = 16

// tokenReloadInterval is the interval at which a token's file is reloaded.
const tokenReloadInterval = time.Minute

// Token is a bearer token from a file. It is safe for concurrent use.
type Token struct {
	watched *watchedFiles[[sha256.Size]byte]
}

// NewToken reads a token from a file and reloads it every minute. Leading and trailing white space is ignored.
func NewToken(file string, clock timer.Service, logger *slog.Logger) (*Token, error) {
	found, err := watchFiles([]string{file}, tokenReloadInterval, clock, logger, func(contents [][]byte) (*[sha256.Size]byte, error) {
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

// Matches reports whether a presented token is this one. It compares them in constant time.
func (t *Token) Matches(presented string) bool {
	digest := sha256.Sum256([]byte(presented))

	return subtle.ConstantTimeCompare(digest[:], t.watched.current.Load()[:]) == 1
}

// Reload reads the file now.
func (t *Token) Reload() error {
	return t.watched.reload()
}

// Close stops reloading the file. The token stays usable.
func (t *Token) Close() {
	t.watched.stop()
}
